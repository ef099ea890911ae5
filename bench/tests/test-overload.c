/* Admission limits and retries: goodput under overload, and with half of the targets
 * failing. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "overload.h"

static void
test_goodput_holds_over_capacity (void **state)
{
  static const double loads[] = { 1, 2, 4 };

  for (guint i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      OverloadCase with = { loads[i], FALSE, TRUE };
      OverloadResult result = overload_run (&with, 7);

      assert_true (result.goodput > 0.95);
      assert_true (result.attempts <= 1.01);
    }
}

static void
test_high_priority_is_served_first (void **state)
{
  OverloadCase with = { 2, FALSE, TRUE };
  OverloadResult result = overload_run (&with, 7);

  assert_true (result.by_priority[0] > 0.99);
  assert_true (result.by_priority[2] < result.by_priority[1]);
}

static void
test_failed_requests_are_answered_quickly (void **state)
{
  OverloadCase with = { 4, FALSE, TRUE };

  assert_true (overload_run (&with, 7).refused_ms < 20);
}

static void
test_no_retry_storm_with_half_the_targets_sick (void **state)
{
  static const double loads[] = { 0.5, 1, 2, 4 };

  for (guint i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      OverloadCase with = { loads[i], TRUE, TRUE };
      OverloadCase without = { loads[i], TRUE, FALSE };
      OverloadResult a = overload_run (&with, 7);

      assert_true (a.goodput > 0.45);
      assert_true (a.goodput > overload_run (&without, 7).goodput);
      assert_true (a.attempts < 1.25);
    }
}

static void
test_retries_are_bounded_without_ejection (void **state)
{
  OverloadCase no_detection = { 0.5, TRUE, TRUE, TRUE };
  OverloadResult result = overload_run (&no_detection, 7);

  assert_true (result.attempts > 1.1);
  assert_true (result.attempts < 1.25);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_goodput_holds_over_capacity),
    cmocka_unit_test (test_high_priority_is_served_first),
    cmocka_unit_test (test_failed_requests_are_answered_quickly),
    cmocka_unit_test (test_no_retry_storm_with_half_the_targets_sick),
    cmocka_unit_test (test_retries_are_bounded_without_ejection),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
