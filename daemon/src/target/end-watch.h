/*
 * Targets that end under their work. A broken exchange is no end: targets in a bad spell
 * break off single requests and live on. An end breaks all that is at work at once, and
 * then nothing listens there any more. What was at work is told to the quarantine.
 */
#ifndef DAEMON_END_WATCH_H
#define DAEMON_END_WATCH_H

#include "quarantine-node.h"

/* One request that was at work at the end. */
typedef struct
{
  RequestPrint print;
  char *attempt;  /* its name in logs */
  gboolean trial; /* of a request that is held back otherwise */
  gint64 ran_us;
} EndedWork;

typedef struct EndWatches EndWatches;
struct Submission;

EndWatches *end_watches_create (Node *node);
void end_watches_destroy (EndWatches *watches);

/* The target has broken off this submission, which is over with it. */
void end_watches_note_break (EndWatches *watches, const struct Submission *submission);

#endif
