/* The CUSUM detector at both settings, on seeded traces and a manual clock. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "traces.h"

#define SEEDS 6u

static const TraceShape payments = { 3, 20, 120 * SECOND_US, 60 * SECOND_US };

/* The maximum detection time of each fault, by setting. */
typedef struct
{
  TraceKind kind;
  gint64 careful_ms;
  gint64 quick_ms;
} Bound;

static const Bound bounds[] = {
  { TRACE_GRAY_5, 45000, 40000 }, { TRACE_GRAY_20, 8000, 6000 },
  { TRACE_GRAY_100, 1500, 500 },  { TRACE_SLOW_2, 10000, 8000 },
  { TRACE_SLOW_10, 1500, 800 },   { TRACE_FLAPPING, 1500, 500 },
};

static void
expect_detected (TraceKind kind, Detection setting, gint64 bound_ms)
{
  for (guint seed = 1; seed <= SEEDS; seed++)
    {
      TraceResult result = trace_run (kind, &payments, DETECTOR_CUSUM, setting, seed);

      if (result.detected_us < 0 || result.detected_us > bound_ms * MS_US)
        fail_msg ("%s, seed %u: %" G_GINT64_FORMAT " ms", trace_name (kind), seed,
                  result.detected_us / MS_US);
    }
}

static void
test_faults_are_found_in_time (void **state)
{
  for (gsize i = 0; i < G_N_ELEMENTS (bounds); i++)
    {
      expect_detected (bounds[i].kind, DETECTION_CAREFUL, bounds[i].careful_ms);
      expect_detected (bounds[i].kind, DETECTION_QUICK, bounds[i].quick_ms);
    }
}

static void
test_careful_never_ejects_a_healthy_target (void **state)
{
  for (TraceKind kind = 0; kind < TRACE_COUNT; kind++)
    for (guint seed = 1; seed <= SEEDS; seed++)
      assert_int_equal (
          trace_run (kind, &payments, DETECTOR_CUSUM, DETECTION_CAREFUL, seed)
              .false_ejections,
          0);
}

static void
feed (Detector *detector, Clock *clock, guint count, gboolean failed)
{
  DetectorSample sample = { failed, FALSE, 5000, 5000, 0 };

  for (guint i = 0; i < count; i++)
    {
      clock_advance (clock, SECOND_US / 10);
      detector_observe (detector, &sample);
    }
}

static void
test_return_needs_successes_and_time (void **state)
{
  Clock *clock = clock_create_manual (0);
  Detector *detector = detector_create (DETECTION_CAREFUL, clock);

  feed (detector, clock, 100, FALSE);
  feed (detector, clock, 30, TRUE);
  assert_true (detector_severity (detector) > 0);
  feed (detector, clock, 5, FALSE);
  assert_true (detector_severity (detector) > 0);
  feed (detector, clock, 30, FALSE);
  assert_int_equal (detector_severity (detector), 0);
  detector_destroy (detector);
  clock_destroy (clock);
}

static gint64
ejection_time_us (Detector *detector, Clock *clock)
{
  gint64 since = clock_now (clock);

  while (detector_severity (detector) > 0)
    clock_advance (clock, SECOND_US / 4);
  return clock_now (clock) - since;
}

static void
test_flapping_extends_the_ejection_and_idle_targets_return (void **state)
{
  Clock *clock = clock_create_manual (0);
  Detector *detector = detector_create (DETECTION_CAREFUL, clock);
  gint64 first;
  gint64 second;

  clock_advance (clock, 100 * SECOND_US);
  feed (detector, clock, 30, TRUE);
  first = ejection_time_us (detector, clock);
  feed (detector, clock, 30, TRUE);
  assert_true (detector_severity (detector) > 0);
  second = ejection_time_us (detector, clock);
  assert_true (second >= 2 * first - SECOND_US);
  detector_destroy (detector);
  clock_destroy (clock);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_faults_are_found_in_time),
    cmocka_unit_test (test_careful_never_ejects_a_healthy_target),
    cmocka_unit_test (test_return_needs_successes_and_time),
    cmocka_unit_test (test_flapping_extends_the_ejection_and_idle_targets_return),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
