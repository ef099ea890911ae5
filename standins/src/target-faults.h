/*
 * What a stand-in for a target does wrong, and how slowly, as /_control has it.
 */
#ifndef STANDINS_TARGET_FAULTS_H
#define STANDINS_TARGET_FAULTS_H

#include <glib.h>

typedef enum
{
  TARGET_WHOLE,
  TARGET_TRUNCATED,
  TARGET_LONG,
  TARGET_CROSSED,
  TARGET_SILENT,
  TARGET_HANGUP,
  TARGET_HALF,
  TARGET_REFUSED,
  TARGET_BUSY
} TargetAnswer;

typedef struct
{
  gint64 latency_us;
  guint error_percent;
  guint slow_percent; /* of the requests that slow_us holds for */
  gint64 slow_us;     /* 0 for none that are slow */
  gint64 flap_us;     /* the faults are on and off by turns of this length; 0 for on */
  TargetAnswer answer;
  char *deadly; /* a request whose path holds this text ends the process; NULL for none */
} TargetFaults;

gboolean target_faults_on (const TargetFaults *faults, gint64 now_us);

/* Whether a request for `path` ends the process that works on it. */
gboolean target_faults_is_deadly (const TargetFaults *faults, const char *path);

/* Takes the arguments of /_control; what is missing there stays as it is. */
void target_faults_set (TargetFaults *faults, const char *path);

#endif
