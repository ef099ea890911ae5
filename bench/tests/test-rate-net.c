/* Tests what a fleet of simulated ingresses sends to targets that name a rate. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "rate-net.h"

#define TARGETS 24u
#define RATE_PER_S 1.4
/* The users' bound for any 4 s: 1.5 times the rate, and 5 requests. */
#define ALLOWED 13u
/* 40 % and 110 % of the slots. */
#define LOW_LOAD_PER_S 150.0
#define OVERLOAD_PER_S 400.0

static RateNetFigures
run (guint ingresses, guint limited, double load_per_s)
{
  RateNetParams params = { .ingresses = ingresses,
                           .targets = TARGETS,
                           .limited = limited,
                           .rate_per_s = RATE_PER_S,
                           .load_per_s = load_per_s,
                           .seconds = 20,
                           .seed = 7 };

  return rate_net_run (&params);
}

static void
test_a_named_rate_holds_for_any_number_of_ingresses (void **state)
{
  static const guint sizes[] = { 1, 31, 400, 1200 };

  for (gsize i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      assert_in_range (run (sizes[i], 1, OVERLOAD_PER_S).worst_window, 1, ALLOWED);
      assert_in_range (run (sizes[i], TARGETS, OVERLOAD_PER_S).worst_window, 1, ALLOWED);
    }
}

static void
test_others_serve_the_share_of_a_limited_target (void **state)
{
  RateNetFigures none = run (31, 0, LOW_LOAD_PER_S);
  RateNetFigures one = run (31, 1, LOW_LOAD_PER_S);

  assert_true (one.served * 1000 >= one.requests * 999);
  /* Hardly any request is offered to the limited target first. */
  assert_true ((double)one.tries / one.requests <
               (double)none.tries / none.requests + 0.1);
}

static void
test_the_rates_of_limited_targets_are_used_when_there_are_no_others (void **state)
{
  RateNetFigures all = run (31, TARGETS, LOW_LOAD_PER_S);

  assert_true (all.starts_per_s > 0.9 * RATE_PER_S);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_a_named_rate_holds_for_any_number_of_ingresses),
    cmocka_unit_test (test_others_serve_the_share_of_a_limited_target),
    cmocka_unit_test (
        test_the_rates_of_limited_targets_are_used_when_there_are_no_others),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
