/* Tests strict detection: one broken exchange makes a target sick, and trials decide when
   it is healthy again. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <core/detector.h>

#define TOOK_US (100 * MS_US)

typedef struct
{
  Clock *clock;
  Detector *detector;
} Fixture;

static Fixture
setup (Detection setting)
{
  Fixture fixture = { .clock = clock_create_manual (SECOND_US) };

  fixture.detector = detector_create (setting, fixture.clock);
  return fixture;
}

static void
teardown (Fixture *fixture)
{
  detector_destroy (fixture->detector);
  clock_destroy (fixture->clock);
}

static void
observe (Fixture *fixture, gboolean failed, gboolean broken)
{
  DetectorSample sample = { failed, broken, TOOK_US, TOOK_US, 0 };

  clock_advance (fixture->clock, 150 * MS_US);
  detector_observe (fixture->detector, &sample);
}

static gboolean
is_sick (Fixture *fixture)
{
  return detector_severity (fixture->detector) > 0;
}

static void
test_one_broken_exchange_is_enough (void **state)
{
  Fixture fixture = setup (DETECTION_STRICT);

  observe (&fixture, TRUE, TRUE);
  assert_true (is_sick (&fixture));
  assert_false (detector_is_slow (fixture.detector));
  teardown (&fixture);
}

static void
test_one_failing_answer_is_not (void **state)
{
  Fixture fixture = setup (DETECTION_STRICT);

  observe (&fixture, TRUE, FALSE);
  assert_false (is_sick (&fixture));
  teardown (&fixture);
}

static void
test_careful_needs_more_than_one_break (void **state)
{
  Fixture fixture = setup (DETECTION_CAREFUL);

  observe (&fixture, TRUE, TRUE);
  assert_false (is_sick (&fixture));
  teardown (&fixture);
}

static void
test_one_good_trial_ends_a_single_break (void **state)
{
  Fixture fixture = setup (DETECTION_STRICT);

  observe (&fixture, TRUE, TRUE);
  observe (&fixture, FALSE, FALSE);
  assert_false (is_sick (&fixture));
  teardown (&fixture);
}

static void
test_a_bad_spell_takes_two_good_trials_in_a_row (void **state)
{
  Fixture fixture = setup (DETECTION_STRICT);

  observe (&fixture, TRUE, TRUE);
  observe (&fixture, TRUE, TRUE);
  assert_int_equal (detector_failed_trials (fixture.detector), 1);
  observe (&fixture, FALSE, FALSE);
  assert_true (is_sick (&fixture));
  observe (&fixture, TRUE, TRUE);
  observe (&fixture, FALSE, FALSE);
  assert_true (is_sick (&fixture));
  observe (&fixture, FALSE, FALSE);
  assert_false (is_sick (&fixture));
  teardown (&fixture);
}

/* A request sent before the target became sick is no evidence of its state since. */
static void
test_an_older_request_that_fails_is_no_trial (void **state)
{
  Fixture fixture = setup (DETECTION_STRICT);
  DetectorSample old = { TRUE, TRUE, 5 * SECOND_US, TOOK_US, 0 };

  observe (&fixture, TRUE, TRUE);
  clock_advance (fixture.clock, 2900 * MS_US);
  assert_false (detector_observe (fixture.detector, &old));
  assert_int_equal (detector_failed_trials (fixture.detector), 0);
  clock_advance (fixture.clock, 200 * MS_US);
  assert_false (is_sick (&fixture));
  teardown (&fixture);
}

static void
test_an_idle_target_gets_another_chance (void **state)
{
  Fixture fixture = setup (DETECTION_STRICT);

  observe (&fixture, TRUE, TRUE);
  clock_advance (fixture.clock, 2 * SECOND_US);
  assert_true (is_sick (&fixture));
  /* Trials usually come earlier; this is for services without repeatable requests. */
  clock_advance (fixture.clock, 1200 * MS_US);
  assert_false (is_sick (&fixture));
  teardown (&fixture);
}

static void
test_quick_failures_do_not_lower_the_latency (void **state)
{
  Fixture fixture = setup (DETECTION_STRICT);
  DetectorSample quick = { TRUE, TRUE, MS_US, TOOK_US, 0 };
  guint latency;
  guint failures;
  guint samples;

  observe (&fixture, FALSE, FALSE);
  for (guint i = 0; i < 5; i++)
    detector_observe (fixture.detector, &quick);
  detector_summary (fixture.detector, &latency, &failures, &samples);
  assert_int_equal (latency, TOOK_US);
  teardown (&fixture);
}

static void
test_an_abrupt_break_differs_from_a_late_one (void **state)
{
  static const gint64 took_us[] = { 2 * MS_US, 2 * SECOND_US };

  for (gsize i = 0; i < G_N_ELEMENTS (took_us); i++)
    {
      Fixture fixture = setup (DETECTION_STRICT);
      DetectorSample sample = { TRUE, TRUE, took_us[i], TOOK_US, 0 };

      clock_advance (fixture.clock, 5 * SECOND_US);
      detector_observe (fixture.detector, &sample);
      assert_true (is_sick (&fixture));
      assert_int_equal (detector_is_abrupt (fixture.detector), i == 0);
      teardown (&fixture);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_one_broken_exchange_is_enough),
    cmocka_unit_test (test_one_failing_answer_is_not),
    cmocka_unit_test (test_careful_needs_more_than_one_break),
    cmocka_unit_test (test_one_good_trial_ends_a_single_break),
    cmocka_unit_test (test_a_bad_spell_takes_two_good_trials_in_a_row),
    cmocka_unit_test (test_an_older_request_that_fails_is_no_trial),
    cmocka_unit_test (test_an_idle_target_gets_another_chance),
    cmocka_unit_test (test_quick_failures_do_not_lower_the_latency),
    cmocka_unit_test (test_an_abrupt_break_differs_from_a_late_one),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
