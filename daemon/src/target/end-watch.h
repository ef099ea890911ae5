/*
 * Targets that end under their work. A broken exchange is no end: targets in a bad spell
 * break off single requests and live on. An end breaks all that is at work at once, and
 * then nothing listens there any more.
 */
#ifndef DAEMON_END_WATCH_H
#define DAEMON_END_WATCH_H

#include <core/fingerprint.h>

#include "node.h"

/* A request that its target has broken off. */
typedef struct
{
  Fingerprints prints;
  char *attempt;  /* its name in logs; taken over */
  gboolean trial; /* of a request that is held back otherwise */
  gint64 ran_us;
} BrokenWork;

/* Where it was; texts are copied. */
typedef struct
{
  const char *name;
  const char *service;
  const char *address;
} WatchedTarget;

/* What the watches ask and tell their owner. */
typedef struct
{
  /* Whether something that was sent to the target before then is at work there still. */
  gboolean (*works_on) (const char *target, gint64 before_us, gpointer data);
  /* A target has ended under these requests (Fingerprint), each of which stands once. */
  void (*ended) (const char *service, const GArray *requests, gpointer data);
  /* It lives on, and this trial was broken off. */
  void (*trial_broken) (const Fingerprints *prints, gpointer data);
} EndWatchOwner;

typedef struct EndWatches EndWatches;

/* `owner` is borrowed. */
EndWatches *
end_watches_create (const Node *node, const EndWatchOwner *owner, gpointer data);
void end_watches_destroy (EndWatches *watches);

void end_watches_note_break (EndWatches *watches,
                             const WatchedTarget *target,
                             const BrokenWork *work);

#endif
