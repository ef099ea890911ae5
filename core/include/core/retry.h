/*
 * The retry budget of a service: retries may be a share of first attempts and no more,
 * so that sick targets do not multiply the load. And the pause before a retry.
 */
#ifndef CORE_RETRY_H
#define CORE_RETRY_H

#include <core/clock.h>

typedef struct RetryBudget RetryBudget;

/* What an attempt is to the budget of the service that it is sent to. */
typedef enum
{
  RETRY_NONE,      /* the first of a caller's request: allows for a share of a retry */
  RETRY_CALL,      /* the first of a call that a target makes: allows for none */
  RETRY_INHERITED, /* the same, for a request that is not at its first attempt: counts as
                      a retry, though it cannot be denied any more */
  RETRY_AGAIN,     /* another one: needs a retry in the budget */
  RETRY_KINDS
} RetryKind;

/*
 * In any span of `window_us`, `percent` retries for each hundred first attempts in it,
 * and a burst of ten unless retry_budget_set_burst says otherwise, so that a quiet
 * service can retry too. What a window leaves is not saved up. `clock` is borrowed.
 */
RetryBudget *retry_budget_create (guint percent, gint64 window_us, Clock *clock);
void retry_budget_destroy (RetryBudget *budget);
void retry_budget_set_percent (RetryBudget *budget, guint percent);

/* `hundredths` of a retry come on top in each window. */
void retry_budget_set_burst (RetryBudget *budget, guint hundredths);

/* Whether the budget has room for an attempt, and that it is made. */
gboolean retry_budget_allows (const RetryBudget *budget, RetryKind kind);
void retry_budget_note (RetryBudget *budget, RetryKind kind);

/* Notes a first attempt. */
void retry_budget_deposit (RetryBudget *budget);

/* Whether a retry could be taken out now. */
gboolean retry_budget_has (const RetryBudget *budget);

/* Takes one retry out; FALSE when there is none left. */
gboolean retry_budget_withdraw (RetryBudget *budget);

/* Takes one retry out though there may be none left; it is missing to later ones. */
void retry_budget_borrow (RetryBudget *budget);

/* A pause before retry number `retry` (from 1): full jitter over a doubling bound. */
gint64 retry_pause_us (guint retry, GRand *rand);

#endif
