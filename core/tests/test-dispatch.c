/* Tests of one request's dispatch: its retries and hedges, their budget, and the outcome
   that the caller gets. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <core/dispatch.h>

#define DEADLINE_US SECOND_US
#define WINDOW_US (10 * SECOND_US)
#define SLACK_US (100 * MS_US)
#define TRIES_LIMIT 100u

typedef struct
{
  Clock *clock;
  GRand *rand;
  Dispatch *dispatch;
} Fixture;

/* Creates a dispatch whose first attempt has just been sent. */
static Fixture
setup (gboolean repeatable, guint attempts)
{
  Fixture fixture = { .clock = clock_create_manual (SECOND_US) };
  DispatchPolicy policy = { .repeatable = repeatable,
                            .deadline_us = SECOND_US + DEADLINE_US,
                            .slack_us = SLACK_US,
                            .attempts_max = attempts };

  fixture.rand = g_rand_new_with_seed (1);
  fixture.dispatch = dispatch_create (&policy, fixture.rand, fixture.clock);
  assert_int_equal (dispatch_begin (fixture.dispatch).kind, DISPATCH_CHOOSE);
  assert_int_equal (dispatch_chosen (fixture.dispatch, TRUE, 0).kind, DISPATCH_SEND);
  return fixture;
}

static void
teardown (Fixture *fixture)
{
  dispatch_destroy (fixture->dispatch);
  g_rand_free (fixture->rand);
  clock_destroy (fixture->clock);
}

static void
test_an_attempt_may_take_until_the_deadline (void **state)
{
  Fixture fixture = setup (TRUE, 2);
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
  Fixture fixture = setup (FALSE, 1);
  DispatchStep step;
  guint tries = 1;

  while (tries < TRIES_LIMIT)
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
  /* More targets than a placement asks (test-placement.c). */
  assert_int_equal (tries, 32);
  assert_int_equal (dispatch_arrivals (fixture.dispatch), 0);
  teardown (&fixture);
}

static void
test_a_targets_own_refusal_counts_as_an_arrival (void **state)
{
  Fixture fixture = setup (FALSE, 1);
  DispatchStep step =
      dispatch_sent (fixture.dispatch, DISPATCH_REFUSED, REASON_TARGET_REFUSED, 0);

  assert_int_equal (dispatch_arrivals (fixture.dispatch), 1);
  assert_int_equal (step.kind, DISPATCH_ANSWER);
  assert_int_equal (step.outcome, OUTCOME_NOT_RUN);
  teardown (&fixture);
}

/* The sidecars keep the retry budget. A retry that one of them refuses for lack of budget
   is tried at others, and when all refuse it the request has not run. */
static void
test_a_second_arrival_needs_the_budget (void **state)
{
  Fixture fixture = setup (FALSE, 3);
  DispatchStep step;

  assert_int_equal (dispatch_retry_kind (fixture.dispatch), RETRY_FIRST_ATTEMPT);
  step = dispatch_sent (fixture.dispatch, DISPATCH_REFUSED, REASON_TARGET_REFUSED, 0);
  assert_int_equal (step.kind, DISPATCH_PAUSE);
  assert_int_equal (dispatch_resume (fixture.dispatch).kind, DISPATCH_CHOOSE);
  do
    {
      assert_int_equal (dispatch_retry_kind (fixture.dispatch), RETRY_FURTHER_ATTEMPT);
      assert_int_equal (dispatch_chosen (fixture.dispatch, TRUE, 0).kind, DISPATCH_SEND);
      step = dispatch_sent (fixture.dispatch, DISPATCH_REFUSED, REASON_BUDGET, 0);
    }
  while (step.kind == DISPATCH_CHOOSE);
  assert_int_equal (step.kind, DISPATCH_ANSWER);
  assert_int_equal (step.outcome, OUTCOME_NOT_RUN);
  assert_int_equal (dispatch_arrivals (fixture.dispatch), 1);
  teardown (&fixture);
}

static void
test_a_failing_answer_is_retried_or_delivered (void **state)
{
  Fixture fixture = setup (TRUE, 2);
  DispatchStep step = dispatch_sent (fixture.dispatch, DISPATCH_FAULT, REASON_NONE, 0);

  assert_int_equal (step.kind, DISPATCH_CHOOSE);
  assert_int_equal (dispatch_chosen (fixture.dispatch, TRUE, 0).kind, DISPATCH_SEND);
  step = dispatch_sent (fixture.dispatch, DISPATCH_FAILED, REASON_BROKEN, 0);
  assert_int_equal (step.kind, DISPATCH_ANSWER);
  assert_int_equal (step.outcome, OUTCOME_DONE); /* the kept answer of the first */
  teardown (&fixture);
}

static void
test_a_failing_answer_of_unrepeatable_work_is_final (void **state)
{
  Fixture fixture = setup (FALSE, 3);
  DispatchStep step = dispatch_sent (fixture.dispatch, DISPATCH_FAULT, REASON_NONE, 0);

  assert_int_equal (step.kind, DISPATCH_ANSWER);
  assert_int_equal (step.outcome, OUTCOME_DONE);
  teardown (&fixture);
}

static void
test_an_attempt_that_may_have_run_is_unknown (void **state)
{
  Fixture fixture = setup (TRUE, 2);
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
  Fixture fixture = setup (FALSE, 2);
  DispatchStep step = dispatch_sent (fixture.dispatch, DISPATCH_LOST, REASON_LOST, 0);

  assert_int_equal (step.kind, DISPATCH_QUERY_FENCE);
  clock_advance (fixture.clock, DEADLINE_US + SLACK_US);
  step = dispatch_queried (fixture.dispatch, DISPATCH_LOST, REASON_LOST, 0);
  assert_int_equal (step.kind, DISPATCH_ANSWER);
  assert_int_equal (step.outcome, OUTCOME_UNKNOWN);
  teardown (&fixture);
}

static void
test_only_requests_with_arrivals_left_are_hedged (void **state)
{
  Fixture two = setup (TRUE, 2);
  Fixture one = setup (TRUE, 1);
  Fixture unsafe = setup (FALSE, 3);

  assert_true (dispatch_may_hedge (two.dispatch));
  assert_false (dispatch_may_hedge (one.dispatch));
  assert_false (dispatch_may_hedge (unsafe.dispatch));
  dispatch_hedge_sent (two.dispatch);
  assert_false (dispatch_may_hedge (two.dispatch));
  /* A hedge that was refused before a target saw it may be sent again, but not one that
     has reached a target. */
  dispatch_hedge_over (two.dispatch, DISPATCH_REFUSED, REASON_OVERLOAD);
  assert_true (dispatch_may_hedge (two.dispatch));
  dispatch_hedge_sent (two.dispatch);
  dispatch_hedge_over (two.dispatch, DISPATCH_FAILED, REASON_BROKEN);
  assert_false (dispatch_may_hedge (two.dispatch));
  clock_advance (unsafe.clock, 2 * DEADLINE_US);
  assert_false (dispatch_may_hedge (unsafe.dispatch));
  teardown (&two);
  teardown (&one);
  teardown (&unsafe);
}

/* Of two concurrent attempts the last to end decides. If it fails too, a whole answer of
   the first still counts, and a lost first attempt makes the outcome unknown. */
static void
test_the_last_of_two_attempts_decides (void **state)
{
  Fixture good = setup (TRUE, 2);
  Fixture faulted = setup (TRUE, 2);
  Fixture lost = setup (TRUE, 2);

  dispatch_hedge_sent (good.dispatch);
  dispatch_hedge_over (good.dispatch, DISPATCH_LOST, REASON_TIMEOUT);
  assert_int_equal (dispatch_sent (good.dispatch, DISPATCH_DONE, REASON_NONE, 0).outcome,
                    OUTCOME_DONE);
  dispatch_hedge_sent (faulted.dispatch);
  dispatch_hedge_over (faulted.dispatch, DISPATCH_FAULT, REASON_NONE);
  assert_int_equal (
      dispatch_sent (faulted.dispatch, DISPATCH_FAILED, REASON_BROKEN, 0).outcome,
      OUTCOME_DONE);
  dispatch_hedge_sent (lost.dispatch);
  dispatch_hedge_over (lost.dispatch, DISPATCH_LOST, REASON_TIMEOUT);
  assert_int_equal (
      dispatch_sent (lost.dispatch, DISPATCH_FAILED, REASON_BROKEN, 0).outcome,
      OUTCOME_UNKNOWN);
  teardown (&good);
  teardown (&faulted);
  teardown (&lost);
}

/* A target that reports a failure has seen the request, whether or not it is retried. */
static void
test_a_failure_reported_by_the_target_is_an_arrival (void **state)
{
  Fixture safe = setup (TRUE, 1);
  Fixture unsafe = setup (FALSE, 1);

  dispatch_sent (safe.dispatch, DISPATCH_FAULT, REASON_NONE, 0);
  dispatch_sent (unsafe.dispatch, DISPATCH_FAULT, REASON_NONE, 0);
  assert_int_equal (dispatch_arrivals (safe.dispatch), 1);
  assert_int_equal (dispatch_refusals (safe.dispatch), 0);
  assert_int_equal (dispatch_arrivals (unsafe.dispatch), 1);
  assert_int_equal (dispatch_refusals (unsafe.dispatch), 0);
  teardown (&safe);
  teardown (&unsafe);
}

/* The users count retries against the callers' requests. Calls that targets make do not
   count as such, and calls for a retried request count as retries. */
static void
test_calls_add_nothing_to_the_retry_budget (void **state)
{
  Clock *clock = clock_create_manual (SECOND_US);
  RetryBudget *budget = retry_budget_create (100, WINDOW_US, clock);
  GRand *rand = g_rand_new_with_seed (1);
  DispatchPolicy policies[] = { { .attempts_max = 1 },
                                { .attempts_max = 1, .call = TRUE },
                                { .attempts_max = 1, .call = TRUE, .repeat = TRUE } };
  RetryKind kinds[] = { RETRY_FIRST_ATTEMPT, RETRY_CALL, RETRY_INHERITED };
  gboolean left[] = { TRUE, TRUE, FALSE };

  retry_budget_set_burst (budget, 0);
  for (guint i = 0; i < G_N_ELEMENTS (policies); i++)
    {
      Dispatch *dispatch = dispatch_create (&policies[i], rand, clock);

      dispatch_begin (dispatch);
      assert_int_equal (dispatch_retry_kind (dispatch), kinds[i]);
      /* First attempts are never denied, however little budget is left. */
      assert_true (retry_budget_allows (budget, kinds[i]));
      retry_budget_note (budget, kinds[i]);
      dispatch_destroy (dispatch);
      assert_int_equal (retry_budget_allows (budget, RETRY_FURTHER_ATTEMPT), left[i]);
    }
  retry_budget_note (budget, RETRY_FIRST_ATTEMPT);
  assert_true (retry_budget_allows (budget, RETRY_FURTHER_ATTEMPT));
  retry_budget_note (budget, RETRY_FURTHER_ATTEMPT);
  assert_false (retry_budget_allows (budget, RETRY_FURTHER_ATTEMPT));
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

/* Failures come in bursts, which may use the budget that quiet seconds of the window have
   left unused. */
static void
test_a_burst_of_failures_may_use_the_whole_window (void **state)
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
  /* A later window that contains these first attempts allows no more retries, and neither
     does one without any first attempt. */
  clock_advance (clock, WINDOW_US / 2);
  assert_false (retry_budget_has (budget));
  clock_advance (clock, WINDOW_US);
  assert_false (retry_budget_has (budget));
  retry_budget_destroy (budget);
  clock_destroy (clock);
}

/* A stop bounds what is at work, and leaves alone what would have ended before it. */
static void
test_the_end_of_a_stop_gives_a_request_more_time (void **state)
{
  Fixture fixture = setup (TRUE, 2);

  dispatch_set_end (fixture.dispatch, SECOND_US + 2 * DEADLINE_US);
  assert_int_equal (dispatch_remaining_us (fixture.dispatch), DEADLINE_US);
  dispatch_set_end (fixture.dispatch, SECOND_US + 300 * MS_US);
  assert_int_equal (dispatch_remaining_us (fixture.dispatch), 300 * MS_US);
  dispatch_set_end (fixture.dispatch, SECOND_US + 400 * MS_US);
  assert_int_equal (dispatch_remaining_us (fixture.dispatch), 300 * MS_US);
  teardown (&fixture);
}

/* The target that a refusal leads to is handed what the stop has left, or nothing. */
static void
test_a_request_is_tried_again_after_the_end_of_a_stop (void **state)
{
  Fixture before = setup (TRUE, 2);
  Fixture after = setup (TRUE, 2);
  DispatchStep step;

  dispatch_set_end (before.dispatch, SECOND_US + 300 * MS_US);
  clock_advance (before.clock, 200 * MS_US);
  step = dispatch_sent (before.dispatch, DISPATCH_REFUSED, REASON_OVERLOAD, 0);
  assert_int_equal (step.kind, DISPATCH_CHOOSE);
  step = dispatch_chosen (before.dispatch, TRUE, 0);
  assert_int_equal (step.kind, DISPATCH_SEND);
  assert_int_equal (step.remaining_us, 100 * MS_US);
  dispatch_set_end (after.dispatch, SECOND_US + 300 * MS_US);
  clock_advance (after.clock, 300 * MS_US);
  assert_false (dispatch_may_hedge (after.dispatch));
  step = dispatch_sent (after.dispatch, DISPATCH_REFUSED, REASON_OVERLOAD, 0);
  assert_int_equal (step.kind, DISPATCH_ANSWER);
  assert_int_equal (step.outcome, OUTCOME_NOT_RUN);
  assert_int_equal (dispatch_attempts (after.dispatch), 1);
  teardown (&before);
  teardown (&after);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_an_attempt_may_take_until_the_deadline),
    cmocka_unit_test (test_refusals_before_a_target_are_free_and_bounded),
    cmocka_unit_test (test_a_targets_own_refusal_counts_as_an_arrival),
    cmocka_unit_test (test_a_second_arrival_needs_the_budget),
    cmocka_unit_test (test_a_failing_answer_is_retried_or_delivered),
    cmocka_unit_test (test_a_failing_answer_of_unrepeatable_work_is_final),
    cmocka_unit_test (test_an_attempt_that_may_have_run_is_unknown),
    cmocka_unit_test (test_the_fence_is_asked_no_longer_than_the_slack),
    cmocka_unit_test (test_only_requests_with_arrivals_left_are_hedged),
    cmocka_unit_test (test_the_last_of_two_attempts_decides),
    cmocka_unit_test (test_a_failure_reported_by_the_target_is_an_arrival),
    cmocka_unit_test (test_calls_add_nothing_to_the_retry_budget),
    cmocka_unit_test (test_a_burst_is_bounded_in_each_window),
    cmocka_unit_test (test_a_burst_of_failures_may_use_the_whole_window),
    cmocka_unit_test (test_the_end_of_a_stop_gives_a_request_more_time),
    cmocka_unit_test (test_a_request_is_tried_again_after_the_end_of_a_stop),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
