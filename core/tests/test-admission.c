/* Tests admission: the exact slot count, the queue with its priorities and time bounds,
   the adaptive limit, and the retry budget. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <core/admission.h>
#include <core/retry.h>

#define SLOTS 4u
#define QUEUE 3u

typedef struct
{
  Clock *clock;
  Admission *admission;
  int items[16];
} Fixture;

static Fixture
setup (void)
{
  Fixture fixture = { .clock = clock_create_manual (SECOND_US) };

  fixture.admission = admission_create (SLOTS, QUEUE, fixture.clock);
  return fixture;
}

static void
teardown (Fixture *fixture)
{
  admission_destroy (fixture->admission);
  clock_destroy (fixture->clock);
}

static AdmissionAnswer
offer (Fixture *fixture, guint item, guint priority, gint64 left_us)
{
  AdmissionParams order = { priority, clock_now (fixture->clock) + left_us, 0 };

  return admission_offer (fixture->admission, &fixture->items[item], &order);
}

static void
fill (Fixture *fixture)
{
  for (guint i = 0; i < SLOTS; i++)
    assert_int_equal (offer (fixture, i, 1, SECOND_US), ADMISSION_START);
}

static void
test_slots_are_exact (void **state)
{
  Fixture fixture = setup ();

  fill (&fixture);
  assert_int_equal (admission_in_use (fixture.admission), SLOTS);
  assert_int_equal (offer (&fixture, 4, 1, SECOND_US), ADMISSION_QUEUED);
  assert_null (admission_next (fixture.admission));
  admission_release (fixture.admission, 1000);
  assert_ptr_equal (admission_next (fixture.admission), &fixture.items[4]);
  assert_null (admission_next (fixture.admission));
  assert_int_equal (admission_in_use (fixture.admission), SLOTS);
  teardown (&fixture);
}

/* With all slots held by requests that hang, a trial is admitted beyond them and no other
   request is. */
static void
test_a_trial_goes_beyond_the_slots (void **state)
{
  Fixture fixture = setup ();

  fill (&fixture);
  admission_force (fixture.admission);
  assert_int_equal (admission_in_use (fixture.admission), SLOTS + 1);
  assert_int_equal (offer (&fixture, 4, 1, SECOND_US), ADMISSION_QUEUED);
  admission_release (fixture.admission, -1);
  assert_null (admission_next (fixture.admission));
  admission_release (fixture.admission, -1);
  assert_ptr_equal (admission_next (fixture.admission), &fixture.items[4]);
  teardown (&fixture);
}

static void
test_queue_is_bounded_and_by_priority (void **state)
{
  Fixture fixture = setup ();

  fill (&fixture);
  for (guint i = 0; i < QUEUE; i++)
    assert_int_equal (offer (&fixture, 5 + i, 2, SECOND_US), ADMISSION_QUEUED);
  assert_int_equal (offer (&fixture, 9, 2, SECOND_US), ADMISSION_REFUSED);
  assert_int_equal (offer (&fixture, 10, 0, SECOND_US), ADMISSION_QUEUED);
  assert_ptr_equal (admission_displaced (fixture.admission), &fixture.items[7]);
  assert_null (admission_displaced (fixture.admission));
  admission_release (fixture.admission, 1000);
  assert_ptr_equal (admission_next (fixture.admission), &fixture.items[10]);
  assert_true (admission_withdraw (fixture.admission, &fixture.items[5]));
  assert_false (admission_withdraw (fixture.admission, &fixture.items[5]));
  assert_int_equal (admission_queued (fixture.admission), 1);
  teardown (&fixture);
}

static void
test_requests_that_cannot_start_in_time_are_refused (void **state)
{
  Fixture fixture = setup ();

  fill (&fixture);
  for (guint i = 0; i < 40; i++)
    {
      admission_release (fixture.admission, SECOND_US / 10);
      assert_int_equal (offer (&fixture, 0, 1, SECOND_US), ADMISSION_START);
    }
  assert_int_equal (offer (&fixture, 5, 1, SECOND_US / 20), ADMISSION_REFUSED);
  assert_true (admission_retry_after_us (fixture.admission) > 0);
  assert_int_equal (offer (&fixture, 6, 1, SECOND_US), ADMISSION_QUEUED);
  assert_null (admission_expired (fixture.admission));
  clock_advance (fixture.clock, SECOND_US);
  assert_ptr_equal (admission_expired (fixture.admission), &fixture.items[6]);
  assert_int_equal (offer (&fixture, 7, 1, 0), ADMISSION_REFUSED);
  teardown (&fixture);
}

/* `start_by_us` bounds the wait where the deadline would allow a longer one: a request is
   refused if it could not start by then, and expires if it has not. */
static void
test_the_wait_is_bounded_by_start_by (void **state)
{
  Fixture fixture = setup ();
  AdmissionParams soon = { 1, 60 * SECOND_US, 0 };
  AdmissionParams later = soon;

  fill (&fixture);
  for (guint i = 0; i < 40; i++)
    {
      admission_release (fixture.admission, SECOND_US / 10);
      assert_int_equal (offer (&fixture, 0, 1, SECOND_US), ADMISSION_START);
    }
  soon.start_by_us = clock_now (fixture.clock) + SECOND_US / 1000;
  later.start_by_us = clock_now (fixture.clock) + SECOND_US;
  assert_int_equal (admission_offer (fixture.admission, &fixture.items[5], &soon),
                    ADMISSION_REFUSED);
  assert_int_equal (admission_offer (fixture.admission, &fixture.items[6], &later),
                    ADMISSION_QUEUED);
  clock_advance (fixture.clock, SECOND_US - 1);
  assert_null (admission_expired (fixture.admission));
  clock_advance (fixture.clock, 1);
  assert_ptr_equal (admission_expired (fixture.admission), &fixture.items[6]);
  teardown (&fixture);
}

static void
test_limit_shrinks_with_slowness_and_comes_back (void **state)
{
  Fixture fixture = setup ();

  for (guint i = 0; i < 100; i++)
    {
      offer (&fixture, 0, 1, SECOND_US);
      admission_release (fixture.admission, 1000);
    }
  assert_int_equal (admission_limit (fixture.admission), SLOTS);
  for (guint i = 0; i < 30; i++)
    {
      offer (&fixture, 0, 1, SECOND_US);
      admission_release (fixture.admission, 20000);
    }
  assert_true (admission_limit (fixture.admission) < SLOTS);
  assert_true (admission_limit (fixture.admission) >= 1);
  for (guint i = 0; i < 200; i++)
    {
      offer (&fixture, 0, 1, SECOND_US);
      admission_release (fixture.admission, 1000);
    }
  assert_int_equal (admission_limit (fixture.admission), SLOTS);
  teardown (&fixture);
}

static void
test_retries_are_a_share_of_first_attempts (void **state)
{
  Clock *clock = clock_create_manual (SECOND_US);
  RetryBudget *budget = retry_budget_create (20, 10 * SECOND_US, clock);
  GRand *rand = g_rand_new_with_seed (1);
  guint retries = 0;

  for (guint i = 0; i < 1000; i++)
    {
      retry_budget_deposit (budget);
      while (retry_budget_withdraw (budget))
        retries++;
    }
  assert_true (retries >= 200 && retries <= 210);
  retry_budget_set_percent (budget, 0);
  assert_false (retry_budget_withdraw (budget));
  for (guint i = 1; i < 40; i++)
    {
      gint64 pause = retry_pause_us (i, rand);

      assert_true (pause >= 0 && pause <= 250000);
    }
  g_rand_free (rand);
  retry_budget_destroy (budget);
  clock_destroy (clock);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_slots_are_exact),
    cmocka_unit_test (test_a_trial_goes_beyond_the_slots),
    cmocka_unit_test (test_queue_is_bounded_and_by_priority),
    cmocka_unit_test (test_requests_that_cannot_start_in_time_are_refused),
    cmocka_unit_test (test_the_wait_is_bounded_by_start_by),
    cmocka_unit_test (test_limit_shrinks_with_slowness_and_comes_back),
    cmocka_unit_test (test_retries_are_a_share_of_first_attempts),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
