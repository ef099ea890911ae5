/* Tests of what a node may take on while it stops. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <core/stop.h>

#define ROUTE 1u
#define WORK_US (400 * MS_US)

static LatencyFit
fit_of (guint samples)
{
  LatencyStats *stats = latency_stats_create ();
  LatencyFit fit;

  for (guint i = 0; i < samples; i++)
    latency_stats_add (stats, ROUTE, WORK_US);
  fit = latency_stats_fit (stats, ROUTE);
  latency_stats_destroy (stats);
  return fit;
}

static void
test_work_starts_only_if_it_probably_ends_before_the_stop (void **state)
{
  LatencyFit fit = fit_of (20);

  assert_true (stop_may_start (&fit, 2 * WORK_US));
  assert_false (stop_may_start (&fit, WORK_US / 2));
  assert_false (stop_may_start (&fit, 0));
}

static void
test_work_waits_only_while_it_still_ends_before_the_stop (void **state)
{
  LatencyFit fit = fit_of (20);
  gint64 wait = stop_max_wait_us (&fit, 10 * WORK_US);

  assert_true (wait > 0);
  assert_true (wait <= 9 * WORK_US);
  assert_true (latency_fit_is_late (&fit, 10 * WORK_US - wait));
  assert_int_equal (stop_max_wait_us (&fit, WORK_US), 0);
}

static void
test_work_of_unknown_length_starts_but_does_not_wait (void **state)
{
  LatencyFit fit = fit_of (0);

  assert_true (stop_may_start (&fit, 1));
  assert_false (stop_may_start (&fit, 0));
  assert_int_equal (stop_max_wait_us (&fit, 10 * WORK_US), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_work_starts_only_if_it_probably_ends_before_the_stop),
    cmocka_unit_test (test_work_waits_only_while_it_still_ends_before_the_stop),
    cmocka_unit_test (test_work_of_unknown_length_starts_but_does_not_wait),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
