/*
 * Detects targets that crash while they run requests. A broken exchange alone is no proof
 * of a crash, because targets in a bad spell break off single requests and keep running.
 * A crash breaks all exchanges at once, and afterwards nothing listens at the address.
 */
#ifndef DAEMON_END_WATCH_H
#define DAEMON_END_WATCH_H

#include <core/fingerprint.h>

#include "node.h"

/* An attempt that its target has broken off. */
typedef struct
{
  Fingerprints prints;
  char *attempt;  /* the name used in logs; end_watches_note_break takes ownership */
  gboolean trial; /* this is a trial of a quarantined request */
  gint64 ran_us;
} BrokenWork;

/* The target of a broken attempt; texts are copied. */
typedef struct
{
  const char *name;
  const char *service;
  const char *address;
} WatchedTarget;

/* Callbacks to the owner of the watches. */
typedef struct
{
  /* Returns whether a request that was sent to the target before `before_us` still runs
     there. */
  gboolean (*works_on) (const char *target, gint64 before_us, gpointer data);
  /* A target has crashed while it ran these requests: an array of Fingerprint without
     duplicates. */
  void (*ended) (const char *service, const GArray *requests, gpointer data);
  /* A trial was broken off, but the target did not crash. */
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
