#include <core/retry.h>

/* Budgets are counted in hundredths of a retry. */
#define ONE_RETRY 100
/* What a quiet service may spend at once, and what a busy one may save. */
#define START_RETRIES 10
#define SAVED_RETRIES 100
#define PAUSE_FIRST_US 5000
#define PAUSE_MAX_US 250000

struct RetryBudget
{
  guint percent;
  gint saved_max; /* hundredths */
  gint hundredths;
};

RetryBudget *
retry_budget_create (guint percent)
{
  RetryBudget *budget = g_new0 (RetryBudget, 1);

  budget->percent = percent;
  budget->saved_max = SAVED_RETRIES * ONE_RETRY;
  budget->hundredths = percent ? START_RETRIES * ONE_RETRY : 0;
  return budget;
}

void
retry_budget_destroy (RetryBudget *budget)
{
  g_free (budget);
}

void
retry_budget_set_percent (RetryBudget *budget, guint percent)
{
  budget->percent = percent;
  if (!percent)
    budget->hundredths = 0;
}

void
retry_budget_set_burst (RetryBudget *budget, guint hundredths)
{
  budget->saved_max = (gint)hundredths;
  budget->hundredths = MIN (budget->hundredths, budget->saved_max);
}

void
retry_budget_deposit (RetryBudget *budget)
{
  budget->hundredths =
      MIN (budget->hundredths + (gint)budget->percent, budget->saved_max);
}

gboolean
retry_budget_has (const RetryBudget *budget)
{
  return budget->hundredths >= ONE_RETRY;
}

gboolean
retry_budget_withdraw (RetryBudget *budget)
{
  if (!retry_budget_has (budget))
    return FALSE;
  budget->hundredths -= ONE_RETRY;
  return TRUE;
}

void
retry_budget_borrow (RetryBudget *budget)
{
  budget->hundredths -= ONE_RETRY;
}

gint64
retry_pause_us (guint retry, GRand *rand)
{
  gint64 bound = PAUSE_FIRST_US << MIN (retry - 1, 10u);

  return g_rand_int_range (rand, 0, (gint32)MIN (bound, PAUSE_MAX_US) + 1);
}
