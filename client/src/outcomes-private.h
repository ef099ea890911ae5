/*
 * What the files of the outcomes share: outcomes.c reads the lines, outcomes-report.c
 * counts what they tell and prints it.
 */
#ifndef CLIENT_OUTCOMES_PRIVATE_H
#define CLIENT_OUTCOMES_PRIVATE_H

#include "outcomes.h"

/* Why a request was not served, at the root. */
typedef enum
{
  CAUSE_NONE,
  CAUSE_TARGET_FAILED, /* its own target answered that it failed */
  CAUSE_HUNG,          /* a target did not answer in time */
  CAUSE_BROKEN,        /* an answer was cut, crossed or too large */
  CAUSE_NODE_LOST,     /* the node before the target did not answer, or was not reached */
  CAUSE_NO_SLOT,       /* every target that was asked was full */
  CAUSE_QUEUE,         /* it waited, and could not be done in the time left */
  CAUSE_BUDGET,        /* another try was not allowed any more */
  CAUSE_SICK,          /* the targets that were left were held sick */
  CAUSE_NOBODY_LEFT,   /* no target at all */
  CAUSE_LEAVING,       /* the node or the target was leaving */
  CAUSE_CALLER_LEFT,
  CAUSE_OTHER,
  CAUSE_COUNT
} Cause;

typedef enum
{
  FATE_SERVED,
  FATE_LATE, /* served after its objective */
  FATE_REFUSED,
  FATE_FAILED,
  FATE_COUNT
} Fate;

typedef struct
{
  char *class;
  gint64 began_s;
  gint64 took_us;
  Fate fate;
  Cause cause;
  gboolean over;      /* its last line was found */
  gboolean by_target; /* the target's own answer says that it failed */
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
  GHashTable *bytes[2]; /* kind → guint64 *, of finished lives: own hall, others */
  GHashTable *last[2];  /* "node kind" → guint64 *, of lives that go on */
  guint64 omitted;
  guint bad;
};

/* Adds to the sum of one kind of bytes; `table` is kind → guint64 *. */
void request_outcomes_add_bytes (GHashTable *table, const char *kind, guint64 bytes);

#endif
