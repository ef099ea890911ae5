/* Allowances on a simulated fleet: no window exceeds the bound, and callers can use their
 * allowance. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "allowance-net.h"

#define SEEDS 2u

static const guint sizes[] = { 30, 93, 1200 };

static AllowanceResult
run (AllowancePattern pattern, guint nodes, guint seed)
{
  AllowanceCase it = { ALLOWANCE_LENT, pattern, nodes, seed };

  return allowance_net_run (&it);
}

static void
test_no_window_exceeds_the_bound (void **state)
{
  for (guint pattern = 0; pattern < ALLOWANCE_PATTERNS; pattern++)
    for (gsize i = 0; i < G_N_ELEMENTS (sizes); i++)
      for (guint seed = 1; seed <= SEEDS; seed++)
        assert_true (run (pattern, sizes[i], seed).worst < 1);
}

/* Demand below the allowance is let through, also when the callers move between halls,
   and for an account of one request a second whose callers use any of 1,200 nodes. */
static void
test_requests_within_the_allowance_pass (void **state)
{
  for (gsize i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      assert_true (run (ALLOWANCE_STEADY, sizes[i], 3).refused < 0.001);
      assert_true (run (ALLOWANCE_SMALL, sizes[i], 3).refused < 0.001);
      assert_true (run (ALLOWANCE_MOVING, sizes[i], 3).refused < 0.03);
      assert_true (run (ALLOWANCE_MOVING, sizes[i], 3).longest_wait_ms < 50);
    }
}

static void
test_a_hot_account_gets_its_allowance (void **state)
{
  for (gsize i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      assert_true (run (ALLOWANCE_ONE, sizes[i], 4).own > 0.95);
      assert_true (run (ALLOWANCE_ALL, sizes[i], 4).own > 0.95);
      assert_true (run (ALLOWANCE_HALLS, sizes[i], 4).own > 0.95);
    }
}

static void
test_allowance_traffic_is_bounded (void **state)
{
  assert_true (run (ALLOWANCE_STEADY, 93, 5).bytes < 150);
  assert_true (run (ALLOWANCE_ALL, 1200, 5).bytes < 500);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_no_window_exceeds_the_bound),
    cmocka_unit_test (test_requests_within_the_allowance_pass),
    cmocka_unit_test (test_a_hot_account_gets_its_allowance),
    cmocka_unit_test (test_allowance_traffic_is_bounded),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
