/*
 * What a stand-in for a target has run: how often each id, and a file with a line a run.
 */
#ifndef STANDINS_TARGET_RUNS_H
#define STANDINS_TARGET_RUNS_H

#include <glib.h>
#include <stdio.h>

typedef struct TargetRuns TargetRuns;

/* `file` is borrowed; NULL for none. */
TargetRuns *target_runs_create (FILE *file);
void target_runs_destroy (TargetRuns *runs);

/* A run begins; NULL for an id or an expected target that the request does not name. */
void
target_runs_add (TargetRuns *runs, const char *id, const char *expected, gint64 now_us);

/* How often an id ran. */
guint target_runs_of (const TargetRuns *runs, const char *id);

/* The totals as JSON, beside how many slots are and were in use; the caller frees it. */
char *target_runs_totals (const TargetRuns *runs, guint busy, guint peak);

/* All ids as "ID COUNT" lines; the caller frees it. */
char *target_runs_ids (const TargetRuns *runs);

#endif
