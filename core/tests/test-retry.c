/* Tests that a service receives no more retries in any window than the fleet's budget
 * allows, under seeded schedules of requests, bursts of failures and restarts of the
 * sidecars that share the budget. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <core/retry.h>

#define SCHEDULES 300u
#define HOLDERS 6u
#define PERCENT 20u
#define BURST 60u
#define WINDOW_US (10 * SECOND_US)
#define LENGTH_US (60 * SECOND_US)

typedef struct
{
  RetryBudget *budget;
  gint64 began_us;
  gboolean first_incarnation;
} Holder;

typedef struct
{
  Clock *clock;
  GRand *rand;
  Holder holders[HOLDERS];
  GArray *first_attempts; /* of gint64: the time of each */
  GArray *retries;
} Fleet;

static void
start (Fleet *fleet, Holder *holder, gboolean first_incarnation)
{
  retry_budget_destroy (holder->budget);
  holder->budget = retry_budget_create (PERCENT, WINDOW_US, fleet->clock);
  holder->began_us = clock_now (fleet->clock);
  holder->first_incarnation = first_incarnation;
}

static void
try_attempt (Fleet *fleet, Holder *holder, RetryKind kind)
{
  gint64 now = clock_now (fleet->clock);
  gboolean burst = holder->first_incarnation || now - holder->began_us >= WINDOW_US;

  retry_budget_set_burst (holder->budget, burst ? 100 * BURST / HOLDERS : 0);
  if (!retry_budget_allows (holder->budget, kind))
    return;
  retry_budget_note (holder->budget, kind);
  g_array_append_val (
      kind == RETRY_FURTHER_ATTEMPT ? fleet->retries : fleet->first_attempts, now);
}

static guint
count (const GArray *times, gint64 from, gint64 to)
{
  guint n = 0;

  for (guint i = 0; i < times->len; i++)
    {
      gint64 at = g_array_index (times, gint64, i);

      n += at > from && at <= to;
    }
  return n;
}

/* Checks the window that ends with each retry, as the users count it: against the
   requests of that window, of the one before, or of the one half a window before,
   whichever has the most. */
static void
check (const Fleet *fleet, guint seed)
{
  for (guint i = 0; i < fleet->retries->len; i++)
    {
      gint64 to = g_array_index (fleet->retries, gint64, i);
      guint spent = count (fleet->retries, to - WINDOW_US, to);
      guint first_attempts = 0;

      for (gint64 back = 0; back <= WINDOW_US; back += WINDOW_US / 2)
        first_attempts = MAX (first_attempts, count (fleet->first_attempts,
                                                     to - WINDOW_US - back, to - back));
      if (spent * 100 > PERCENT * first_attempts + 100 * BURST)
        fail_msg ("schedule %u: %u retries for %u first attempts", seed, spent,
                  first_attempts);
    }
}

static void
run (guint seed)
{
  Fleet fleet = { .clock = clock_create_manual (SECOND_US),
                  .rand = g_rand_new_with_seed (seed) };
  guint rate = (guint)g_rand_int_range (fleet.rand, 1, 20);

  fleet.first_attempts = g_array_new (FALSE, FALSE, sizeof (gint64));
  fleet.retries = g_array_new (FALSE, FALSE, sizeof (gint64));
  for (guint i = 0; i < HOLDERS; i++)
    start (&fleet, &fleet.holders[i], TRUE);
  while (clock_now (fleet.clock) < LENGTH_US)
    {
      Holder *holder = &fleet.holders[g_rand_int_range (fleet.rand, 0, HOLDERS)];
      guint event = (guint)g_rand_int_range (fleet.rand, 0, 1000);

      if (event == 0)
        start (&fleet, holder, FALSE);
      /* Failures come in bursts. */
      else if (event < 20)
        for (guint i = 0; i < 40; i++)
          try_attempt (&fleet, &fleet.holders[g_rand_int_range (fleet.rand, 0, HOLDERS)],
                       RETRY_FURTHER_ATTEMPT);
      else
        try_attempt (&fleet, holder,
                     event < 700 ? RETRY_FIRST_ATTEMPT : RETRY_FURTHER_ATTEMPT);
      clock_advance (fleet.clock, SECOND_US / 10 / rate);
    }
  check (&fleet, seed);
  for (guint i = 0; i < HOLDERS; i++)
    retry_budget_destroy (fleet.holders[i].budget);
  g_array_unref (fleet.first_attempts);
  g_array_unref (fleet.retries);
  g_rand_free (fleet.rand);
  clock_destroy (fleet.clock);
}

static void
test_no_schedule_exceeds_the_fleets_budget (void **state)
{
  for (guint seed = 1; seed <= SCHEDULES; seed++)
    run (seed);
}

/* A sidecar's first incarnation may use its burst at once; a restarted one may not. */
static void
test_a_first_incarnation_may_burst_at_once (void **state)
{
  Fleet fleet = { .clock = clock_create_manual (SECOND_US) };
  Holder *holder = &fleet.holders[0];

  fleet.first_attempts = g_array_new (FALSE, FALSE, sizeof (gint64));
  fleet.retries = g_array_new (FALSE, FALSE, sizeof (gint64));
  start (&fleet, holder, TRUE);
  for (guint i = 0; i < 2 * BURST; i++)
    try_attempt (&fleet, holder, RETRY_FURTHER_ATTEMPT);
  assert_int_equal (fleet.retries->len, BURST / HOLDERS);
  start (&fleet, holder, FALSE);
  try_attempt (&fleet, holder, RETRY_FURTHER_ATTEMPT);
  assert_int_equal (fleet.retries->len, BURST / HOLDERS);
  retry_budget_destroy (holder->budget);
  g_array_unref (fleet.first_attempts);
  g_array_unref (fleet.retries);
  clock_destroy (fleet.clock);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_no_schedule_exceeds_the_fleets_budget),
    cmocka_unit_test (test_a_first_incarnation_may_burst_at_once),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
