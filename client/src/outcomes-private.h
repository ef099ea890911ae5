/*
 * Internals of the outcomes: outcomes.c reads log lines, and outcomes-report.c counts the
 * requests and writes the report.
 */
#ifndef CLIENT_OUTCOMES_PRIVATE_H
#define CLIENT_OUTCOMES_PRIVATE_H

#include "outcomes.h"

/* The root cause of a request that was not served. */
typedef enum
{
  CAUSE_NONE,
  CAUSE_TARGET_FAILED, /* the request's own target answered with an error */
  CAUSE_HUNG,          /* a target did not answer in time */
  CAUSE_BROKEN,        /* an answer was truncated, crossed or too large */
  CAUSE_NODE_LOST,     /* the target's node did not answer or was not reached */
  CAUSE_NO_SLOT,       /* every target that was tried was full */
  CAUSE_QUEUE,         /* the time left was too short, at once or after a wait */
  CAUSE_BUDGET,        /* the retry budget was exhausted */
  CAUSE_SICK,          /* the remaining targets counted as sick */
  CAUSE_NO_TARGET,     /* no target remained */
  CAUSE_LEAVING,       /* the node or the target was leaving */
  CAUSE_CALLER_LEFT,
  CAUSE_RATE_LIMITED, /* targets have named a rate, and it was used up */
  CAUSE_OTHER,
  CAUSE_COUNT
} Cause;

typedef enum
{
  RESULT_SERVED,
  RESULT_LATE, /* served later than its objective */
  RESULT_REFUSED,
  RESULT_FAILED,
  RESULT_COUNT
} RequestResult;

typedef struct
{
  char *class;
  gint64 began_s;
  gint64 took_us;
  RequestResult final_result;
  Cause cause;
  gboolean over;      /* its final log line was found */
  gboolean by_target; /* the target answered with a status of 500 or above */
  guint own_hall;     /* attempts */
  guint other_halls;
  guint retries;
  guint hedges;
  guint budget_denied;
} Request;

struct RequestOutcomes
{
  guint span_s;
  GHashTable *requests; /* id → Request */
  GHashTable *bytes[2]; /* kind → guint64 *, before node restarts: own hall, others */
  GHashTable *last[2];  /* "node kind" → guint64 *, last counts since node starts */
  guint64 omitted;
  guint bad;
};

/* Adds to the bytes sent of one kind; `table` maps kinds to guint64 *. */
void request_outcomes_add_bytes (GHashTable *table, const char *kind, guint64 bytes);

#endif
