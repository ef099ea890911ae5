/* Tests the latency estimates of routes, and from which age on a request counts as late
   or overdue. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <math.h>

#include <core/latency.h>

#define ROUTE 7u
#define MEDIAN_US (100.0 * MS_US)

/* Draws a log-normal sample; the sum of twelve uniform ones approximates a normal one. */
static gint64
draw_sample (GRand *rand, double median_us, double sd)
{
  double sum = -6;

  for (guint i = 0; i < 12; i++)
    sum += g_rand_double (rand);
  return (gint64)(median_us * exp (sd * sum));
}

static LatencyStats *
create_filled (double median_us, double sd, guint count)
{
  LatencyStats *stats = latency_stats_create ();
  GRand *rand = g_rand_new_with_seed (5);

  for (guint i = 0; i < count; i++)
    latency_stats_add (stats, ROUTE, draw_sample (rand, median_us, sd));
  g_rand_free (rand);
  return stats;
}

static void
test_a_fit_follows_its_samples (void **state)
{
  LatencyStats *stats = create_filled (MEDIAN_US, 0.5, 400);
  LatencyFit fit = latency_stats_fit (stats, ROUTE);

  assert_true (fabs (fit.log_mean - log (MEDIAN_US)) < 0.2);
  assert_true (fabs (fit.log_sd - 0.5) < 0.15);
  assert_in_range (latency_fit_mean_us (&fit), 90 * MS_US, 140 * MS_US);
  latency_stats_destroy (stats);
}

static void
test_an_unknown_fit_makes_no_statement (void **state)
{
  LatencyStats *stats = create_filled (MEDIAN_US, 0.5, 4);
  LatencyFit few = latency_stats_fit (stats, ROUTE);
  LatencyFit none = latency_stats_fit (stats, ROUTE + 1);

  assert_false (latency_fit_is_known (&few));
  assert_true (latency_fit_log_survival (&few, 3600 * SECOND_US) == 0);
  assert_true (latency_fit_log_survival (&none, 3600 * SECOND_US) == 0);
  assert_int_equal (latency_fit_mean_us (&none), 0);
  latency_stats_destroy (stats);
}

/* The same rule works for routes of 5 ms and of 2 s. */
static void
test_lateness_is_relative_to_the_route (void **state)
{
  const double medians_us[] = { 5.0 * MS_US, 100.0 * MS_US, 2000.0 * MS_US };

  for (guint i = 0; i < G_N_ELEMENTS (medians_us); i++)
    {
      LatencyStats *stats = create_filled (medians_us[i], 0.5, 400);
      LatencyFit fit = latency_stats_fit (stats, ROUTE);
      double half = latency_fit_log_survival (&fit, (gint64)medians_us[i]);
      double five = latency_fit_log_survival (&fit, (gint64)(5 * medians_us[i]));
      gint64 late = latency_fit_late_us (&fit);

      assert_true (half > log (0.35) && half < log (0.65));
      assert_true (five < log (0.02));
      assert_in_range (late, MAX ((gint64)(2 * medians_us[i]), 50 * MS_US),
                       MAX ((gint64)(6 * medians_us[i]), 50 * MS_US));
      assert_true (latency_fit_is_late (&fit, late + MS_US));
      assert_false (latency_fit_is_late (&fit, late - MS_US));
      latency_stats_destroy (stats);
    }
}

static void
test_overdue_is_relative_to_the_route (void **state)
{
  LatencyFit quick = { log (5.0 * MS_US), 0.4, 60 };
  LatencyFit longer = { log (600.0 * MS_US), 0.6, 60 };
  LatencyFit unknown = { 0 };

  assert_false (latency_fit_is_overdue (&quick, 90 * MS_US));
  assert_true (latency_fit_is_overdue (&quick, 110 * MS_US));
  assert_false (latency_fit_is_overdue (&longer, 2 * SECOND_US));
  assert_true (latency_fit_is_overdue (&longer, 8 * SECOND_US));
  assert_false (latency_fit_is_overdue (&unknown, 60 * SECOND_US));
  assert_false (latency_fit_is_late (&unknown, 60 * SECOND_US));
}

static void
test_a_fit_survives_its_packing (void **state)
{
  LatencyFit fit = { log (MEDIAN_US), 0.512, 60 };
  LatencyFit back = latency_fit_unpack (latency_fit_pack (&fit));
  LatencyFit none = { 0 };

  assert_true (fabs (back.log_mean - fit.log_mean) < 0.002);
  assert_true (fabs (back.log_sd - fit.log_sd) < 0.002);
  assert_true (latency_fit_is_known (&back));
  none = latency_fit_unpack (latency_fit_pack (&none));
  assert_int_equal (none.samples, 0);
}

/* One slow target of three does not change the fit that the others are compared with. */
static void
test_a_slow_target_does_not_change_the_median (void **state)
{
  LatencyViews *views = latency_views_create ();
  LatencyFit good = { log (MEDIAN_US), 0.5, 10 };
  LatencyFit slow = { log (12 * MEDIAN_US), 0.5, 10 };
  LatencyFit seen;

  latency_views_note (views, ROUTE, "slow", &slow);
  latency_views_note (views, ROUTE, "a", &good);
  latency_views_note (views, ROUTE, "b", &good);
  latency_views_note (views, ROUTE, "slow", &slow);
  seen = latency_views_fit (views, ROUTE);
  assert_true (fabs (seen.log_mean - good.log_mean) < 0.001);
  assert_int_equal (seen.samples, 30);
  assert_int_equal (latency_views_fit (views, ROUTE + 1).samples, 0);
  latency_views_destroy (views);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_a_fit_follows_its_samples),
    cmocka_unit_test (test_an_unknown_fit_makes_no_statement),
    cmocka_unit_test (test_lateness_is_relative_to_the_route),
    cmocka_unit_test (test_overdue_is_relative_to_the_route),
    cmocka_unit_test (test_a_fit_survives_its_packing),
    cmocka_unit_test (test_a_slow_target_does_not_change_the_median),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
