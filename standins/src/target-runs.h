/*
 * The executions of a target stand-in: a counter per request id, and a log file with a
 * line per execution and per refusal.
 */
#ifndef STANDINS_TARGET_RUNS_H
#define STANDINS_TARGET_RUNS_H

#include <glib.h>
#include <stdio.h>

typedef struct TargetRuns TargetRuns;

/* `file` is borrowed and may be NULL. */
TargetRuns *target_runs_create (FILE *file);
void target_runs_destroy (TargetRuns *runs);

/* Records the start of an execution. `id` and `expected`, the target that the request was
   meant for, are NULL if the request does not name them. */
void
target_runs_add (TargetRuns *runs, const char *id, const char *expected, gint64 now_us);

/* Records a request that the target has refused to execute; its line in the file has the
   prefix TARGET_RUNS_REFUSED before the id, and it is not counted. */
#define TARGET_RUNS_REFUSED "refused:"
void target_runs_note_refused (const TargetRuns *runs,
                               const char *id,
                               const char *expected,
                               gint64 now_us);

/* Returns how often a request id was executed. */
guint target_runs_count (const TargetRuns *runs, const char *id);

/* Returns totals as JSON, with `busy`, the slots in use, and `peak`, the most that were
   in use at once; the caller frees it. */
char *target_runs_totals (const TargetRuns *runs, guint busy, guint peak);

/* Returns all ids as "ID COUNT" lines; the caller frees it. */
char *target_runs_ids (const TargetRuns *runs);

#endif
