/*
 * Injected faults and delays of the target stand-in, as set by /_control.
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
  TARGET_BUSY,
  TARGET_AGAIN
} TargetAnswer;

typedef struct
{
  gint64 latency_us;
  guint error_percent;
  guint slow_percent; /* share of the requests that take slow_us */
  gint64 slow_us;     /* 0 disables slow requests */
  gint64 flap_us;     /* faults are on and off in turn, for this long; 0 for always on */
  gint64 forget_us;   /* connections that rested longer are reset as the next bytes come,
                         which are not read; 0 for never */
  guint body_kb;      /* padding of each whole answer */
  TargetAnswer answer;
  char *rate;    /* named in answers, may be malformed; NULL for none */
  char *leaving; /* value of the header that says that the target leaves; NULL for none */
  char *deadly;  /* the process exits on a path that contains this text; may be NULL */
} TargetFaults;

gboolean target_faults_on (const TargetFaults *faults, gint64 now_us);

/* Returns whether a request for `path` must end the process. */
gboolean target_faults_is_deadly (const TargetFaults *faults, const char *path);

/* Applies the arguments of a /_control path. Missing arguments change nothing. */
void target_faults_set (TargetFaults *faults, const char *path);

#endif
