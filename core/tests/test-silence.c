/* A target that hangs is told from one that only takes its time. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <math.h>

#include <core/silence.h>

/* Answers take 600 ms, one in six over 1.1 s. */
static const LatencyFit long_work = { 13.305, 0.6, 60 };
static const LatencyFit unknown = { 0 };

static gboolean
tells (guint requests, gint64 age_us, gint64 age_then_us)
{
  Silence silence = { 0 };

  for (guint i = 0; i < requests; i++)
    silence_add (&silence, &long_work, age_us, age_then_us);
  return silence_tells (&silence);
}

static void
test_many_that_wait_tell_sooner_than_one (void **state)
{
  assert_false (tells (1, 1000 * MS_US, 0));
  assert_true (tells (5, 1000 * MS_US, 0));
  assert_false (tells (5, 400 * MS_US, 0));
  assert_true (tells (1, 8 * SECOND_US, 0));
}

/* What was answered meanwhile shows that the target is there. */
static void
test_silence_counts_from_the_last_answer (void **state)
{
  assert_true (tells (4, 1200 * MS_US, 0));
  assert_false (tells (4, 1200 * MS_US, 1000 * MS_US));
}

static void
test_what_had_been_given_up_says_nothing (void **state)
{
  assert_false (tells (5, 20 * SECOND_US, 10 * SECOND_US));
}

static void
test_unknown_routes_say_nothing (void **state)
{
  Silence silence = { 0 };

  silence_add (&silence, &unknown, 60 * SECOND_US, 0);
  assert_false (silence_tells (&silence));
  assert_false (silence_is_overdue (&unknown, 60 * SECOND_US));
}

static void
test_one_request_is_overdue_by_its_routes_measure (void **state)
{
  LatencyFit quick = { log (5.0 * MS_US), 0.4, 60 };

  assert_false (silence_is_overdue (&quick, 90 * MS_US));
  assert_true (silence_is_overdue (&quick, 110 * MS_US));
  assert_false (silence_is_overdue (&long_work, 2 * SECOND_US));
  assert_true (silence_is_overdue (&long_work, 8 * SECOND_US));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_many_that_wait_tell_sooner_than_one),
    cmocka_unit_test (test_silence_counts_from_the_last_answer),
    cmocka_unit_test (test_what_had_been_given_up_says_nothing),
    cmocka_unit_test (test_unknown_routes_say_nothing),
    cmocka_unit_test (test_one_request_is_overdue_by_its_routes_measure),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
