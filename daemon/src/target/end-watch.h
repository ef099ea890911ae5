/*
 * Targets that end under their work. A broken exchange is no end: targets in a bad spell
 * break off single requests and live on. An end breaks all that is at work at once, and
 * then nothing listens there any more.
 */
#ifndef DAEMON_END_WATCH_H
#define DAEMON_END_WATCH_H

#include <core/fingerprint.h>

#include "node.h"

/* One request that was at work at the end. */
typedef struct
{
  Fingerprint fingerprint;
  char *attempt; /* its name in logs */
  gint64 ran_us;
} EndedWork;

typedef struct
{
  const char *target;
  const char *service;
  const GArray *work; /* of EndedWork */
} TargetEnd;

/* Told of each end; `end` is borrowed. */
typedef void (*TargetEndFunc) (const TargetEnd *end, gpointer data);

typedef struct EndWatches EndWatches;
struct Submission;

EndWatches *end_watches_create (Node *node, TargetEndFunc func, gpointer data);
void end_watches_destroy (EndWatches *watches);

/* The target has broken off this submission, which is over with it. */
void end_watches_note_break (EndWatches *watches, const struct Submission *submission);

#endif
