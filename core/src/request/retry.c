#include <core/retry.h>

/* The budget is counted in hundredths of a retry. */
#define ONE_RETRY 100
/* Default burst per window. */
#define BURST_RETRIES 10
#define PAUSE_FIRST_US 5000
#define PAUSE_MAX_US 250000
/* Number of slices in a window. The window is exact to one slice, in favour of fewer
   retries. */
#define SLICES 20

typedef struct
{
  gint64 number; /* of the slice, from the clock's origin */
  guint first_attempts;
  guint retries;
} Slice;

struct RetryBudget
{
  Clock *clock;
  gint64 slice_us;
  guint percent;
  guint burst; /* hundredths */
  /* Ring of the slices of a full window and the current one, indexed by their numbers. */
  Slice slices[SLICES + 1];
};

RetryBudget *
retry_budget_create (guint percent, gint64 window_us, Clock *clock)
{
  RetryBudget *budget = g_new0 (RetryBudget, 1);

  budget->clock = clock;
  budget->slice_us = MAX (window_us / SLICES, 1);
  budget->percent = percent;
  budget->burst = percent ? BURST_RETRIES * ONE_RETRY : 0;
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
    budget->burst = 0;
}

void
retry_budget_set_burst (RetryBudget *budget, guint hundredths)
{
  budget->burst = hundredths;
}

static gint64
slice_number (const RetryBudget *budget)
{
  return clock_now (budget->clock) / budget->slice_us;
}

/* Returns the current slice, reusing the place of one that has left the window. */
static Slice *
current_slice (RetryBudget *budget)
{
  gint64 number = slice_number (budget);
  Slice *slice = &budget->slices[number % (SLICES + 1)];

  if (slice->number != number)
    *slice = (Slice){ .number = number };
  return slice;
}

void
retry_budget_deposit (RetryBudget *budget)
{
  current_slice (budget)->first_attempts++;
}

/* The slice that lies only partly within the window counts for retries but not for first
   attempts, so that no window exceeds the budget. */
gboolean
retry_budget_has (const RetryBudget *budget)
{
  gint64 now = slice_number (budget);
  guint64 allowed = budget->burst;
  guint64 spent = 0;

  for (guint i = 0; i <= SLICES; i++)
    {
      const Slice *slice = &budget->slices[i];
      gint64 age = now - slice->number;

      if (age < SLICES)
        allowed += (guint64)slice->first_attempts * budget->percent;
      if (age <= SLICES)
        spent += (guint64)slice->retries * ONE_RETRY;
    }
  return spent + ONE_RETRY <= allowed;
}

gboolean
retry_budget_withdraw (RetryBudget *budget)
{
  if (!retry_budget_has (budget))
    return FALSE;
  retry_budget_charge (budget);
  return TRUE;
}

void
retry_budget_charge (RetryBudget *budget)
{
  current_slice (budget)->retries++;
}

gboolean
retry_budget_allows (const RetryBudget *budget, RetryKind kind)
{
  return kind != RETRY_FURTHER_ATTEMPT || retry_budget_has (budget);
}

void
retry_budget_note (RetryBudget *budget, RetryKind kind)
{
  if (kind == RETRY_FIRST_ATTEMPT)
    retry_budget_deposit (budget);
  else if (kind == RETRY_INHERITED || kind == RETRY_FURTHER_ATTEMPT)
    retry_budget_charge (budget);
}

gint64
retry_pause_us (guint retry, GRand *rand)
{
  gint64 bound = PAUSE_FIRST_US << MIN (retry - 1, 10u);

  return g_rand_int_range (rand, 0, (gint32)MIN (bound, PAUSE_MAX_US) + 1);
}
