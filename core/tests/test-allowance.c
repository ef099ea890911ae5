/* Tests that the requests lent across a fleet stay within an account's bound in every
   window. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <string.h>

#include <core/allowance.h>

#define ACCOUNT "acme"
#define WINDOW_US (5 * SECOND_US)
#define STEP_US (10 * MS_US)
#define STEPS 6000u /* one minute */
#define MANY 100000u

static const AllowanceRule rule = { WINDOW_US, 0.1, 20 };

static double
window_bound (const AllowanceTerms *terms)
{
  double window = (double)rule.window_us / SECOND_US;

  return (terms->per_s * window + terms->burst) * (1 + rule.overage) + rule.slack;
}

/* Returns the most requests in any window; `passed` counts them by step. */
static guint
worst_window (const guint *passed, guint steps)
{
  guint span = WINDOW_US / STEP_US + 1;
  guint sum = 0;
  guint worst = 0;

  for (guint i = 0; i < steps; i++)
    {
      sum += passed[i];
      if (i >= span)
        sum -= passed[i - span];
      worst = MAX (worst, sum);
    }
  return worst;
}

static gboolean
is_always_lender (const char *account, gpointer data)
{
  return TRUE;
}

static void
test_a_bucket_is_within_the_bound_for_any_terms (void **state)
{
  static const AllowanceTerms cases[] = { { 1, 1 },    { 8, 8 },    { 264, 264 },
                                          { 264, 0 },  { 0.5, 0 },  { 1, 500 },
                                          { 5000, 1 }, { 1e6, 1e6 } };
  double span = (double)(rule.window_us + ALLOWANCE_HOLD_US) / SECOND_US;

  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      AllowanceRate rate = allowance_rate (&rule, &cases[i], 1);

      assert_true (rate.per_s * span + rate.depth < window_bound (&cases[i]));
      assert_true (rate.depth >= 1);
      /* In the long run nearly the account's whole rate is lent. */
      assert_true (rate.per_s >= 0.95 * cases[i].per_s);
    }
}

/* Under a flood all available requests are lent. In every other span of 5 s they are used
   as late as possible, at the end of their holding time. */
static void
test_a_flood_stays_within_the_bound (void **state)
{
  const AllowanceTerms terms = { 40, 40 };
  Clock *clock = clock_create_manual (WINDOW_US);
  AllowanceBuckets *buckets = allowance_buckets_create (&rule, clock);
  guint hold = ALLOWANCE_HOLD_US / STEP_US;
  g_autofree guint *passed = g_new0 (guint, STEPS + hold + 1);
  guint all = 0;

  for (guint i = 0; i < STEPS; i++)
    {
      guint lent = allowance_buckets_lend (buckets, ACCOUNT, &terms, 1, 0, MANY).lent;

      passed[i + (i / 500 % 2 ? hold : 0)] += lent;
      all += lent;
      clock_advance (clock, STEP_US);
    }
  assert_true (worst_window (passed, STEPS + hold) <= window_bound (&terms));
  assert_true (all >= 0.95 * terms.per_s * STEPS * STEP_US / SECOND_US);
  allowance_buckets_destroy (buckets);
  clock_destroy (clock);
}

/* The account rests for longer than a bucket is kept without use, and its window is far
   longer than that. */
static void
test_a_drained_bucket_does_not_come_back_full (void **state)
{
  const AllowanceRule hour = { 3600 * SECOND_US, 0, 0 };
  const AllowanceTerms terms = { 0.1, 1000 };
  Clock *clock = clock_create_manual (24 * hour.window_us);
  AllowanceBuckets *buckets = allowance_buckets_create (&hour, clock);
  double bound = terms.per_s * 3600 + terms.burst;
  guint lent = 0;

  for (guint i = 0; i < 3600 / 70; i++)
    {
      lent += allowance_buckets_lend (buckets, ACCOUNT, &terms, 1, 0, MANY).lent;
      clock_advance (clock, 70 * SECOND_US);
      allowance_buckets_prune (buckets, is_always_lender, NULL);
    }
  assert_true (lent <= bound);
  allowance_buckets_destroy (buckets);
  clock_destroy (clock);
}

/* The lender restarts every 0.9 s and must not lend again what it lent before. */
static void
test_restarts_lend_nothing_twice (void **state)
{
  const AllowanceTerms terms = { 40, 40 };
  Clock *clock = clock_create_manual (WINDOW_US);
  AllowanceBuckets *buckets = allowance_buckets_create (&rule, clock);
  g_autofree guint *passed = g_new0 (guint, STEPS + 1);

  for (guint i = 0; i < STEPS; i++)
    {
      if (i % 90 == 0)
        {
          allowance_buckets_destroy (buckets);
          buckets = allowance_buckets_create (&rule, clock);
        }
      passed[i] =
          allowance_buckets_lend (buckets, ACCOUNT, &terms, 1, clock_now (clock), MANY)
              .lent;
      clock_advance (clock, STEP_US);
    }
  assert_true (worst_window (passed, STEPS) <= window_bound (&terms));
  allowance_buckets_destroy (buckets);
  clock_destroy (clock);
}

static void
test_a_lowered_allowance_is_in_force_at_once (void **state)
{
  const AllowanceTerms high = { 400, 400 };
  const AllowanceTerms low = { 40, 40 };
  Clock *clock = clock_create_manual (100 * SECOND_US);
  AllowanceBuckets *buckets = allowance_buckets_create (&rule, clock);
  g_autofree guint *passed = g_new0 (guint, STEPS + 1);

  allowance_buckets_lend (buckets, ACCOUNT, &high, 1, 0, 1);
  for (guint i = 0; i < STEPS; i++)
    {
      passed[i] = allowance_buckets_lend (buckets, ACCOUNT, &low, 1, 0, MANY).lent;
      clock_advance (clock, STEP_US);
    }
  assert_true (worst_window (passed, STEPS) <= window_bound (&low));
  allowance_buckets_destroy (buckets);
  clock_destroy (clock);
}

/* Requests within the allowance are never refused: neither a burst after a rest nor the
   account's full rate for 100 s. */
static void
test_requests_within_the_allowance_are_lent (void **state)
{
  const AllowanceTerms terms = { 8, 8 };
  Clock *clock = clock_create_manual (100 * SECOND_US);
  AllowanceBuckets *buckets = allowance_buckets_create (&rule, clock);

  for (guint burst = 0; burst < 3; burst++)
    assert_int_equal (allowance_buckets_lend (buckets, ACCOUNT, &terms, 1, 0, 8).lent, 8);
  clock_advance (clock, 10 * SECOND_US);
  for (guint i = 0; i < 800; i++)
    {
      assert_int_equal (allowance_buckets_lend (buckets, ACCOUNT, &terms, 1, 0, 1).lent,
                        1);
      clock_advance (clock, SECOND_US / 8);
    }
  allowance_buckets_destroy (buckets);
  clock_destroy (clock);
}

static void
test_a_refusal_says_when_to_retry (void **state)
{
  const AllowanceTerms terms = { 4, 0 };
  Clock *clock = clock_create_manual (100 * SECOND_US);
  AllowanceBuckets *buckets = allowance_buckets_create (&rule, clock);
  AllowanceGrant grant = allowance_buckets_lend (buckets, ACCOUNT, &terms, 1, 0, MANY);

  assert_true (grant.retry_after_us > 0);
  clock_advance (clock, grant.retry_after_us + MS_US);
  assert_int_equal (allowance_buckets_lend (buckets, ACCOUNT, &terms, 1, 0, 1).lent, 1);
  allowance_buckets_destroy (buckets);
  clock_destroy (clock);
}

static GArray *
make_nodes (guint halls, guint each)
{
  GArray *nodes = g_array_new (FALSE, FALSE, sizeof (AllowanceNode));

  for (guint i = 0; i < halls * each; i++)
    {
      AllowanceNode node = { g_strdup_printf ("vm-%u", i),
                             g_strdup_printf ("hall-%u", i % halls), 0 };

      node.hash = allowance_hash (node.node);

      g_array_append_val (nodes, node);
    }
  return nodes;
}

static void
free_nodes (GArray *nodes)
{
  for (guint i = 0; i < nodes->len; i++)
    {
      g_free ((char *)g_array_index (nodes, AllowanceNode, i).node);
      g_free ((char *)g_array_index (nodes, AllowanceNode, i).hall);
    }
  g_array_unref (nodes);
}

static void
test_lenders_are_agreed_on_and_in_different_halls (void **state)
{
  GArray *nodes = make_nodes (5, 10);
  const char *first[ALLOWANCE_LENDERS];
  const char *again[ALLOWANCE_LENDERS];
  guint moved = 0;

  assert_int_equal (allowance_select_lenders (nodes, ACCOUNT, first), ALLOWANCE_LENDERS);
  for (guint i = 0; i < nodes->len / 2; i++)
    {
      AllowanceNode node = g_array_index (nodes, AllowanceNode, i);
      guint other = nodes->len - 1 - i;

      g_array_index (nodes, AllowanceNode, i) =
          g_array_index (nodes, AllowanceNode, other);
      g_array_index (nodes, AllowanceNode, other) = node;
    }
  allowance_select_lenders (nodes, ACCOUNT, again);
  for (guint i = 0; i < ALLOWANCE_LENDERS; i++)
    assert_string_equal (first[i], again[i]);
  for (guint i = 0; i < ALLOWANCE_LENDERS; i++)
    for (guint j = 0; j < i; j++)
      assert_int_not_equal (atoi (first[i] + 3) % 5, atoi (first[j] + 3) % 5);
  /* Accounts are spread over the fleet: nearly all have another first lender. */
  for (guint i = 0; i < 200; i++)
    {
      g_autofree char *name = g_strdup_printf ("account-%u", i);

      allowance_select_lenders (nodes, name, again);
      moved += strcmp (again[0], first[0]) != 0;
    }
  assert_true (moved > 180);
  free_nodes (nodes);
}

static void
test_a_small_fleet_has_fewer_lenders (void **state)
{
  GArray *nodes = make_nodes (1, 2);
  const char *lenders[ALLOWANCE_LENDERS];

  assert_int_equal (allowance_select_lenders (nodes, ACCOUNT, lenders), 2);
  assert_string_not_equal (lenders[0], lenders[1]);
  free_nodes (nodes);
}

static void
test_lent_requests_expire (void **state)
{
  Clock *clock = clock_create_manual (SECOND_US);
  AllowanceCache *cache = allowance_cache_create (clock);

  assert_false (allowance_cache_take (cache, ACCOUNT));
  allowance_cache_add (cache, ACCOUNT, 2, clock_now (clock));
  assert_true (allowance_cache_take (cache, ACCOUNT));
  clock_advance (clock, ALLOWANCE_HOLD_US);
  assert_false (allowance_cache_take (cache, ACCOUNT));
  allowance_cache_destroy (cache);
  clock_destroy (clock);
}

static void
test_only_busy_nodes_prefetch (void **state)
{
  Clock *clock = clock_create_manual (SECOND_US);
  AllowanceCache *cache = allowance_cache_create (clock);

  allowance_cache_add (cache, ACCOUNT, 1, clock_now (clock));
  assert_true (allowance_cache_take (cache, ACCOUNT));
  assert_int_equal (allowance_cache_prefetch_count (cache, ACCOUNT), 0);
  for (guint i = 0; i < 200; i++)
    {
      clock_advance (clock, 20 * MS_US);
      allowance_cache_add (cache, ACCOUNT, 1, clock_now (clock));
      assert_true (allowance_cache_take (cache, ACCOUNT));
    }
  assert_in_range (allowance_cache_prefetch_count (cache, ACCOUNT), 9, 13);
  /* Nothing is prefetched while more than half of the wanted stock is left. */
  allowance_cache_add (cache, ACCOUNT, 10, clock_now (clock));
  assert_int_equal (allowance_cache_prefetch_count (cache, ACCOUNT), 0);
  allowance_cache_destroy (cache);
  clock_destroy (clock);
}

static void
test_an_empty_lender_is_paused (void **state)
{
  static const char *const lenders[] = { "a", "b" };
  Clock *clock = clock_create_manual (SECOND_US);
  AllowanceCache *cache = allowance_cache_create (clock);
  gint64 wait_us = 0;

  assert_int_equal (allowance_cache_pick_lender (cache, ACCOUNT, lenders, 2, &wait_us),
                    0);
  allowance_cache_pause_lender (cache, ACCOUNT, "a", 100 * MS_US);
  assert_int_equal (allowance_cache_pick_lender (cache, ACCOUNT, lenders, 2, &wait_us),
                    1);
  allowance_cache_pause_lender (cache, ACCOUNT, "b", 300 * MS_US);
  assert_int_equal (allowance_cache_pick_lender (cache, ACCOUNT, lenders, 2, &wait_us),
                    -1);
  assert_int_equal (wait_us, 100 * MS_US);
  clock_advance (clock, 100 * MS_US);
  assert_int_equal (allowance_cache_pick_lender (cache, ACCOUNT, lenders, 2, &wait_us),
                    0);
  allowance_cache_destroy (cache);
  clock_destroy (clock);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_a_bucket_is_within_the_bound_for_any_terms),
    cmocka_unit_test (test_a_flood_stays_within_the_bound),
    cmocka_unit_test (test_a_drained_bucket_does_not_come_back_full),
    cmocka_unit_test (test_restarts_lend_nothing_twice),
    cmocka_unit_test (test_a_lowered_allowance_is_in_force_at_once),
    cmocka_unit_test (test_requests_within_the_allowance_are_lent),
    cmocka_unit_test (test_a_refusal_says_when_to_retry),
    cmocka_unit_test (test_lenders_are_agreed_on_and_in_different_halls),
    cmocka_unit_test (test_a_small_fleet_has_fewer_lenders),
    cmocka_unit_test (test_lent_requests_expire),
    cmocka_unit_test (test_only_busy_nodes_prefetch),
    cmocka_unit_test (test_an_empty_lender_is_paused),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
