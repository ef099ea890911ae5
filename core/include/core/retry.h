/*
 * Retry budget of a service, which limits retries to a percentage of the first attempts,
 * so that sick targets do not multiply the load; and the backoff before a retry.
 */
#ifndef CORE_RETRY_H
#define CORE_RETRY_H

#include <core/clock.h>

typedef struct RetryBudget RetryBudget;

/* How an attempt counts in the budget of the service that it is sent to. */
typedef enum
{
  RETRY_FIRST_ATTEMPT, /* first attempt for an external caller: adds to the budget */
  RETRY_CALL,          /* first attempt of a call made by a target: adds nothing */
  RETRY_INHERITED, /* first attempt of a call that a target makes while it serves a retry:
                      counts as a retry, but is always allowed */
  RETRY_FURTHER_ATTEMPT, /* a further attempt: allowed if the budget has a retry left */
  RETRY_KINDS
} RetryKind;

/*
 * Allows, in any period of `window_us`, `percent` retries per hundred first attempts in
 * the period, and a burst on top so that a service with little traffic can retry too: ten
 * retries unless retry_budget_set_burst changes it, and none if `percent` is 0. Unused
 * retries do not carry over. `clock` is borrowed and must outlive the budget.
 */
RetryBudget *retry_budget_create (guint percent, gint64 window_us, Clock *clock);
void retry_budget_destroy (RetryBudget *budget);
/* Sets the percentage; 0 also sets the burst to 0. */
void retry_budget_set_percent (RetryBudget *budget, guint percent);

/* Sets the burst per window, in hundredths of a retry. */
void retry_budget_set_burst (RetryBudget *budget, guint hundredths);

/* retry_budget_allows tells whether an attempt may be made; retry_budget_note records one
   that was made. */
gboolean retry_budget_allows (const RetryBudget *budget, RetryKind kind);
void retry_budget_note (RetryBudget *budget, RetryKind kind);

/* Records a first attempt. */
void retry_budget_deposit (RetryBudget *budget);

/* Returns whether the budget allows a retry now. */
gboolean retry_budget_has (const RetryBudget *budget);

/* Takes one retry; returns FALSE, with no effect, if none is left. */
gboolean retry_budget_withdraw (RetryBudget *budget);

/* Counts one retry even if none is left, at the expense of later ones. */
void retry_budget_charge (RetryBudget *budget);

/* Returns the pause before retry number `retry` (from 1): exponential backoff with full
   jitter, uniform between 0 and a bound that doubles from 5 ms up to 250 ms. */
gint64 retry_pause_us (guint retry, GRand *rand);

#endif
