/* The dispatch of one request: what is tried again, what it costs, what is said when. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <core/dispatch.h>

#define DEADLINE_US SECOND_US
#define WINDOW_US (10 * SECOND_US)
#define SLACK_US (100 * MS_US)
#define TRIES_TOO_MANY 100u

typedef struct
{
  Clock *clock;
  GRand *rand;
  RetryBudget *budget;
  Dispatch *dispatch;
} Fixture;

/* A dispatch whose first attempt has just been sent. */
static Fixture
setup (gboolean repeatable, guint attempts, guint retries)
{
  Fixture fixture = { .clock = clock_create_manual (SECOND_US) };
  DispatchPolicy policy = { .repeatable = repeatable,
                            .deadline_us = SECOND_US + DEADLINE_US,
                            .slack_us = SLACK_US,
                            .attempts_max = attempts };

  fixture.rand = g_rand_new_with_seed (1);
  /* As many retries as wanted, and none for the request itself. */
  fixture.budget = retry_budget_create (0, WINDOW_US, fixture.clock);
  retry_budget_set_burst (fixture.budget, 100 * retries);
  fixture.dispatch =
      dispatch_create (&policy, fixture.budget, fixture.rand, fixture.clock);
  assert_int_equal (dispatch_begin (fixture.dispatch).kind, DISPATCH_CHOOSE);
  assert_int_equal (dispatch_chosen (fixture.dispatch, TRUE, 0).kind, DISPATCH_SEND);
  return fixture;
}

static void
teardown (Fixture *fixture)
{
  dispatch_destroy (fixture->dispatch);
  retry_budget_destroy (fixture->budget);
  g_rand_free (fixture->rand);
  clock_destroy (fixture->clock);
}

static void
test_an_attempt_is_waited_for_to_the_deadline (void **state)
{
  Fixture fixture = setup (TRUE, 2, 1);
  DispatchStep step =
      dispatch_sent (fixture.dispatch, DISPATCH_REFUSED, REASON_OVERLOAD, 0);

  assert_int_equal (step.kind, DISPATCH_CHOOSE);
  clock_advance (fixture.clock, 200 * MS_US);
  step = dispatch_chosen (fixture.dispatch, TRUE, 0);
  assert_int_equal (step.remaining_us, DEADLINE_US - 200 * MS_US);
  assert_int_equal (step.wait_us, DEADLINE_US - 200 * MS_US + SLACK_US / 2);
  teardown (&fixture);
}

static void
test_refusals_before_a_target_are_free_and_bounded (void **state)
{
  Fixture fixture = setup (FALSE, 1, 0);
  DispatchStep step;
  guint tries = 1;

  while (tries < TRIES_TOO_MANY)
    {
      step = dispatch_sent (fixture.dispatch, DISPATCH_REFUSED, REASON_OVERLOAD, 7000);
      if (step.kind != DISPATCH_CHOOSE)
        break;
      tries++;
      assert_int_equal (dispatch_chosen (fixture.dispatch, TRUE, 0).kind, DISPATCH_SEND);
    }
  assert_int_equal (step.kind, DISPATCH_ANSWER);
  assert_int_equal (step.outcome, OUTCOME_NOT_RUN);
  assert_int_equal (step.retry_after_us, 7000);
  /* Six for a free slot, and three for a place in a queue. */
  assert_int_equal (tries, 9);
  assert_int_equal (dispatch_arrivals (fixture.dispatch), 0);
  teardown (&fixture);
}

static void
test_a_targets_own_refusal_counts_as_an_arrival (void **state)
{
  Fixture fixture = setup (FALSE, 1, 1);
  DispatchStep step =
      dispatch_sent (fixture.dispatch, DISPATCH_REFUSED, REASON_TARGET_REFUSED, 0);

  assert_int_equal (dispatch_arrivals (fixture.dispatch), 1);
  assert_int_equal (step.kind, DISPATCH_ANSWER);
  assert_int_equal (step.outcome, OUTCOME_NOT_RUN);
  teardown (&fixture);
}

static void
test_a_second_arrival_needs_the_budget (void **state)
{
  Fixture fixture = setup (FALSE, 3, 0);
  DispatchStep step =
      dispatch_sent (fixture.dispatch, DISPATCH_REFUSED, REASON_TARGET_REFUSED, 0);

  assert_int_equal (step.kind, DISPATCH_ANSWER);
  assert_int_equal (step.outcome, OUTCOME_NOT_RUN);
  teardown (&fixture);
}

static void
test_a_failing_answer_is_tried_again_and_else_delivered (void **state)
{
  Fixture fixture = setup (TRUE, 2, 1);
  DispatchStep step = dispatch_sent (fixture.dispatch, DISPATCH_FAULT, REASON_NONE, 0);

  assert_int_equal (step.kind, DISPATCH_CHOOSE);
  assert_int_equal (dispatch_chosen (fixture.dispatch, TRUE, 0).kind, DISPATCH_SEND);
  step = dispatch_sent (fixture.dispatch, DISPATCH_FAILED, REASON_BROKEN, 0);
  assert_int_equal (step.kind, DISPATCH_ANSWER);
  assert_int_equal (step.outcome, OUTCOME_DONE); /* the held answer of the first */
  teardown (&fixture);
}

static void
test_a_failing_answer_of_unrepeatable_work_is_final (void **state)
{
  Fixture fixture = setup (FALSE, 3, 2);
  DispatchStep step = dispatch_sent (fixture.dispatch, DISPATCH_FAULT, REASON_NONE, 0);

  assert_int_equal (step.kind, DISPATCH_ANSWER);
  assert_int_equal (step.outcome, OUTCOME_DONE);
  teardown (&fixture);
}

static void
test_what_may_have_run_is_never_called_not_run (void **state)
{
  Fixture fixture = setup (TRUE, 2, 1);
  DispatchStep step = dispatch_sent (fixture.dispatch, DISPATCH_FAILED, REASON_BROKEN, 0);

  assert_int_equal (step.kind, DISPATCH_PAUSE);
  clock_advance (fixture.clock, step.wait_us);
  assert_int_equal (dispatch_resume (fixture.dispatch).kind, DISPATCH_CHOOSE);
  step = dispatch_chosen (fixture.dispatch, FALSE, 0);
  assert_int_equal (step.kind, DISPATCH_ANSWER);
  assert_int_equal (step.outcome, OUTCOME_UNKNOWN);
  teardown (&fixture);
}

static void
test_the_fence_is_asked_no_longer_than_the_slack (void **state)
{
  Fixture fixture = setup (FALSE, 2, 1);
  DispatchStep step = dispatch_sent (fixture.dispatch, DISPATCH_LOST, REASON_LOST, 0);

  assert_int_equal (step.kind, DISPATCH_ASK);
  clock_advance (fixture.clock, DEADLINE_US + SLACK_US);
  step = dispatch_asked (fixture.dispatch, DISPATCH_LOST, REASON_LOST, 0);
  assert_int_equal (step.kind, DISPATCH_ANSWER);
  assert_int_equal (step.outcome, OUTCOME_UNKNOWN);
  teardown (&fixture);
}

static void
test_hanging_work_is_broken_off_only_with_a_retry_in_hand (void **state)
{
  Fixture with = setup (TRUE, 2, 1);
  Fixture without = setup (TRUE, 2, 0);
  Fixture last = setup (TRUE, 1, 1);
  DispatchStep step;

  assert_true (dispatch_has_retry (with.dispatch));
  assert_false (dispatch_has_retry (without.dispatch));
  assert_false (dispatch_has_retry (last.dispatch));
  /* The word that was given holds, though somebody else took the retry meanwhile. */
  assert_true (retry_budget_withdraw (with.budget));
  step = dispatch_sent (with.dispatch, DISPATCH_FAILED, REASON_TIMEOUT, 0);
  assert_int_equal (step.kind, DISPATCH_PAUSE);
  assert_false (retry_budget_has (with.budget));
  teardown (&with);
  teardown (&without);
  teardown (&last);
}

/* A target that says it failed has seen the request, whether or not it is tried again. */
static void
test_a_failure_told_by_the_target_is_an_arrival (void **state)
{
  Fixture safe = setup (TRUE, 1, 0);
  Fixture unsafe = setup (FALSE, 1, 0);

  dispatch_sent (safe.dispatch, DISPATCH_FAULT, REASON_NONE, 0);
  dispatch_sent (unsafe.dispatch, DISPATCH_FAULT, REASON_NONE, 0);
  assert_int_equal (dispatch_arrivals (safe.dispatch), 1);
  assert_int_equal (dispatch_refusals (safe.dispatch), 0);
  assert_int_equal (dispatch_arrivals (unsafe.dispatch), 1);
  assert_int_equal (dispatch_refusals (unsafe.dispatch), 0);
  teardown (&safe);
  teardown (&unsafe);
}

/* One retry in hand: sidecars that refuse it cost nothing, a target that fails it does.
 */
static void
test_a_retry_is_paid_for_once_until_a_target_sees_it (void **state)
{
  Fixture fixture = setup (TRUE, 3, 1);
  DispatchStep step = dispatch_sent (fixture.dispatch, DISPATCH_FAILED, REASON_BROKEN, 0);

  assert_int_equal (step.kind, DISPATCH_PAUSE);
  assert_int_equal (dispatch_resume (fixture.dispatch).kind, DISPATCH_CHOOSE);
  for (guint i = 0; i < 3; i++)
    {
      assert_int_equal (dispatch_chosen (fixture.dispatch, TRUE, 0).kind, DISPATCH_SEND);
      step = dispatch_sent (fixture.dispatch, DISPATCH_REFUSED, REASON_OVERLOAD, 0);
      assert_int_equal (step.kind, DISPATCH_CHOOSE);
    }
  assert_int_equal (dispatch_chosen (fixture.dispatch, TRUE, 0).kind, DISPATCH_SEND);
  step = dispatch_sent (fixture.dispatch, DISPATCH_FAILED, REASON_BROKEN, 0);
  assert_int_equal (step.kind, DISPATCH_ANSWER);
  assert_int_equal (step.outcome, OUTCOME_UNKNOWN);
  teardown (&fixture);
}

/* The users count retries against what callers asked for: a target's calls are not that,
   and those of a request that is repeated are retries themselves. */
static void
test_calls_allow_for_no_retries (void **state)
{
  Clock *clock = clock_create_manual (SECOND_US);
  RetryBudget *budget = retry_budget_create (100, WINDOW_US, clock);
  GRand *rand = g_rand_new_with_seed (1);
  DispatchPolicy policies[] = { { .attempts_max = 1 },
                                { .attempts_max = 1, .call = TRUE },
                                { .attempts_max = 1, .call = TRUE, .repeat = TRUE } };
  gboolean allowed[] = { TRUE, TRUE, FALSE };

  retry_budget_set_burst (budget, 0);
  for (guint i = 0; i < G_N_ELEMENTS (policies); i++)
    {
      Dispatch *dispatch = dispatch_create (&policies[i], budget, rand, clock);

      dispatch_begin (dispatch);
      dispatch_destroy (dispatch);
      assert_int_equal (retry_budget_has (budget), allowed[i]);
    }
  retry_budget_deposit (budget);
  assert_true (retry_budget_withdraw (budget));
  assert_false (retry_budget_has (budget));
  g_rand_free (rand);
  retry_budget_destroy (budget);
  clock_destroy (clock);
}

static void
test_a_burst_is_bounded_in_each_window (void **state)
{
  Clock *clock = clock_create_manual (SECOND_US);
  RetryBudget *budget = retry_budget_create (100, WINDOW_US, clock);

  retry_budget_set_burst (budget, 0);
  assert_false (retry_budget_has (budget));
  retry_budget_set_burst (budget, 150);
  assert_true (retry_budget_withdraw (budget));
  assert_false (retry_budget_withdraw (budget));
  clock_advance (clock, WINDOW_US);
  assert_false (retry_budget_withdraw (budget));
  clock_advance (clock, WINDOW_US / 10);
  assert_true (retry_budget_withdraw (budget));
  assert_false (retry_budget_withdraw (budget));
  retry_budget_destroy (budget);
  clock_destroy (clock);
}

/* Failures come in bunches: what calm seconds of the window left is still there. */
static void
test_a_bunch_of_failures_may_use_the_whole_window (void **state)
{
  Clock *clock = clock_create_manual (SECOND_US);
  RetryBudget *budget = retry_budget_create (20, WINDOW_US, clock);
  guint retries = 0;

  retry_budget_set_burst (budget, 0);
  for (guint i = 0; i < 100; i++)
    {
      retry_budget_deposit (budget);
      clock_advance (clock, WINDOW_US / 200);
    }
  while (retry_budget_withdraw (budget))
    retries++;
  assert_int_equal (retries, 20);
  /* And no more of it in any other window that holds those. */
  clock_advance (clock, WINDOW_US / 2);
  assert_false (retry_budget_has (budget));
  clock_advance (clock, WINDOW_US);
  assert_false (retry_budget_has (budget));
  retry_budget_destroy (budget);
  clock_destroy (clock);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_an_attempt_is_waited_for_to_the_deadline),
    cmocka_unit_test (test_refusals_before_a_target_are_free_and_bounded),
    cmocka_unit_test (test_a_targets_own_refusal_counts_as_an_arrival),
    cmocka_unit_test (test_a_second_arrival_needs_the_budget),
    cmocka_unit_test (test_a_failing_answer_is_tried_again_and_else_delivered),
    cmocka_unit_test (test_a_failing_answer_of_unrepeatable_work_is_final),
    cmocka_unit_test (test_what_may_have_run_is_never_called_not_run),
    cmocka_unit_test (test_the_fence_is_asked_no_longer_than_the_slack),
    cmocka_unit_test (test_hanging_work_is_broken_off_only_with_a_retry_in_hand),
    cmocka_unit_test (test_a_failure_told_by_the_target_is_an_arrival),
    cmocka_unit_test (test_a_retry_is_paid_for_once_until_a_target_sees_it),
    cmocka_unit_test (test_calls_allow_for_no_retries),
    cmocka_unit_test (test_a_burst_is_bounded_in_each_window),
    cmocka_unit_test (test_a_bunch_of_failures_may_use_the_whole_window),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
