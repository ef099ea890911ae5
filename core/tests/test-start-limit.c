/* Tests how fast a cold target, and one that names a rate, is given requests, without and
   with admission. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <core/admission.h>

#define PER_S 13.0
#define BURST 4.0
/* The most requests that a cold target can take in any second, as the users state it: 1.5
   times its rate, and 8 more. */
#define COLD_STARTS_MAX_PER_S (guint) (PER_S * 1.5 + 8)

typedef struct
{
  Clock *clock;
  StartLimit *limit;
} Fixture;

static Fixture
setup (void)
{
  Fixture fixture = { clock_create_manual (1000 * SECOND_US), NULL };

  fixture.limit = start_limit_create (fixture.clock);
  start_limit_set_cold_rate (fixture.limit, PER_S, BURST);
  return fixture;
}

static void
teardown (Fixture *fixture)
{
  start_limit_destroy (fixture->limit);
  clock_destroy (fixture->clock);
}

/* Starts as many requests as allowed in each millisecond of a span. Returns the most in
   any `window_us`, or G_MAXUINT after 10,000 starts. */
static guint
max_starts (Fixture *fixture, gint64 span_us, gint64 window_us)
{
  g_autoptr (GArray) starts = g_array_new (FALSE, FALSE, sizeof (gint64));
  guint most = 0;
  guint first = 0;

  for (gint64 at = 0; at < span_us; at += MS_US)
    {
      while (start_limit_allows (fixture->limit))
        {
          start_limit_count (fixture->limit);
          g_array_append_val (starts, at);
          if (starts->len > 10000)
            return G_MAXUINT;
        }
      while (first < starts->len &&
             g_array_index (starts, gint64, first) <= at - window_us)
        first++;
      most = MAX (most, starts->len - first);
      clock_advance (fixture->clock, MS_US);
    }
  return most;
}

static guint
max_starts_in_a_second (Fixture *fixture, gint64 span_us)
{
  return max_starts (fixture, span_us, SECOND_US);
}

static void
test_a_cold_target_gets_a_bounded_rate (void **state)
{
  Fixture fixture = setup ();
  guint most;

  start_limit_note_cold (fixture.limit, 60 * SECOND_US);
  most = max_starts_in_a_second (&fixture, 10 * SECOND_US);
  assert_in_range (most, (guint)PER_S, COLD_STARTS_MAX_PER_S);
  teardown (&fixture);
}

static void
test_a_silent_target_counts_as_cold (void **state)
{
  Fixture fixture = setup ();

  assert_true (start_limit_is_cold (fixture.limit));
  assert_in_range (max_starts_in_a_second (&fixture, 3 * SECOND_US), 1,
                   COLD_STARTS_MAX_PER_S);
  start_limit_note_cold (fixture.limit, 0);
  assert_false (start_limit_is_cold (fixture.limit));
  assert_true (start_limit_allows (fixture.limit));
  start_limit_assume_cold (fixture.limit);
  assert_true (start_limit_is_cold (fixture.limit));
  teardown (&fixture);
}

/* Starts just before the target turned cold count too, because the bound holds for any
   second. */
static void
test_starts_before_turning_cold_count (void **state)
{
  Fixture fixture = setup ();

  start_limit_note_cold (fixture.limit, 0);
  for (guint i = 0; i < 100; i++)
    start_limit_count (fixture.limit);
  start_limit_note_cold (fixture.limit, 10 * SECOND_US);
  assert_false (start_limit_allows (fixture.limit));
  clock_advance (fixture.clock, SECOND_US / 2);
  assert_false (start_limit_allows (fixture.limit));
  clock_advance (fixture.clock, SECOND_US);
  assert_true (start_limit_allows (fixture.limit));
  teardown (&fixture);
}

static void
test_a_target_is_warm_after_its_cold_time (void **state)
{
  Fixture fixture = setup ();

  start_limit_note_cold (fixture.limit, 2 * SECOND_US);
  clock_advance (fixture.clock, 2 * SECOND_US - 1);
  assert_true (start_limit_is_cold (fixture.limit));
  clock_advance (fixture.clock, 1);
  assert_false (start_limit_is_cold (fixture.limit));
  teardown (&fixture);
}

static void
test_without_a_rate_nothing_is_bounded (void **state)
{
  Fixture fixture = setup ();

  start_limit_set_cold_rate (fixture.limit, 0, 0);
  assert_false (start_limit_is_cold (fixture.limit));
  for (guint i = 0; i < 1000; i++)
    {
      assert_true (start_limit_allows (fixture.limit));
      start_limit_count (fixture.limit);
    }
  teardown (&fixture);
}

/* The bound holds for every way to a slot: offers, slots reserved before the request
   comes, trials, and queued requests. A request that may not start waits if it can
   be in time. */
static void
test_admission_bounds_starts_of_a_cold_target (void **state)
{
  Fixture fixture = setup ();
  Admission *admission = admission_create (50, 100, fixture.clock);
  AdmissionParams order = { .deadline_us = clock_now (fixture.clock) + 60 * SECOND_US };
  guint started = 0;
  guint queued = 0;
  char items[40];

  admission_set_start_limit (admission, fixture.limit);
  start_limit_note_cold (fixture.limit, 60 * SECOND_US);
  for (guint i = 0; i < G_N_ELEMENTS (items); i++)
    {
      started += admission_hold (admission);
      started += admission_force (admission);
      switch (admission_offer (admission, &items[i], &order))
        {
        case ADMISSION_START:
          started++;
          break;
        case ADMISSION_QUEUED:
          queued++;
          break;
        default:
          break;
        }
    }
  assert_in_range (started, 1, COLD_STARTS_MAX_PER_S);
  assert_true (queued > 0);
  assert_false (admission_is_free (admission));
  /* The limit reported to ingresses leaves no room. */
  assert_int_equal (admission_limit (admission), started);
  for (guint ms = 0; ms < 1000; ms++)
    {
      while (admission_next (admission))
        started++;
      clock_advance (fixture.clock, MS_US);
    }
  assert_in_range (started, (guint)PER_S, COLD_STARTS_MAX_PER_S);
  admission_destroy (admission);
  teardown (&fixture);
}

static void
test_a_cold_target_says_when_to_retry (void **state)
{
  Fixture fixture = setup ();
  Admission *admission = admission_create (50, 100, fixture.clock);

  admission_set_start_limit (admission, fixture.limit);
  while (admission_hold (admission))
    ;
  assert_in_range (admission_retry_after_us (admission), 50 * MS_US, SECOND_US);
  admission_destroy (admission);
  teardown (&fixture);
}

/* The rate itself and a small burst; the users allow half as much again and 5. */
static void
test_a_named_rate_bounds_any_four_seconds (void **state)
{
  static const double rates[] = { 0, 0.2, 1.4, 6, 100 };

  for (gsize i = 0; i < G_N_ELEMENTS (rates); i++)
    {
      Fixture fixture = setup ();
      guint most;

      start_limit_note_cold (fixture.limit, 0);
      start_limit_set_named_rate (fixture.limit, rates[i]);
      most = max_starts (&fixture, 60 * SECOND_US, 4 * SECOND_US);
      assert_in_range (most, MAX ((guint)(4 * rates[i]), 1),
                       (guint)(4.25 * rates[i]) + 2);
      teardown (&fixture);
    }
}

static void
test_a_named_rate_begins_with_an_empty_bucket (void **state)
{
  Fixture fixture = setup ();

  start_limit_note_cold (fixture.limit, 0);
  clock_advance (fixture.clock, 60 * SECOND_US);
  start_limit_set_named_rate (fixture.limit, 2);
  assert_true (start_limit_named_is_used_up (fixture.limit));
  assert_false (start_limit_allows (fixture.limit));
  assert_int_equal (start_limit_wait_us (fixture.limit, 0), SECOND_US / 2);
  clock_advance (fixture.clock, SECOND_US / 2);
  assert_true (start_limit_allows (fixture.limit));
  /* Another rate does not fill it. */
  start_limit_count (fixture.limit);
  for (guint i = 0; i < 20; i++)
    {
      start_limit_set_named_rate (fixture.limit, i % 2 ? 2 : 100);
      assert_false (start_limit_allows (fixture.limit));
    }
  start_limit_end_named_rate (fixture.limit);
  assert_true (start_limit_allows (fixture.limit));
  teardown (&fixture);
}

/* Suspended for a minute, the node may start no more than after a second. */
static void
test_a_suspension_does_not_save_up_starts (void **state)
{
  Fixture fixture = setup ();
  guint started = 0;

  start_limit_note_cold (fixture.limit, 0);
  start_limit_set_named_rate (fixture.limit, 1.4);
  clock_advance (fixture.clock, 60 * SECOND_US);
  while (start_limit_allows (fixture.limit) && started < 100)
    {
      start_limit_count (fixture.limit);
      started++;
    }
  assert_int_equal (started, 1);
  teardown (&fixture);
}

static void
test_a_cold_target_that_names_a_rate_is_bounded_by_both (void **state)
{
  Fixture fixture = setup ();

  start_limit_note_cold (fixture.limit, 60 * SECOND_US);
  start_limit_set_named_rate (fixture.limit, 1000);
  assert_in_range (max_starts_in_a_second (&fixture, 5 * SECOND_US), (guint)PER_S,
                   COLD_STARTS_MAX_PER_S);
  start_limit_set_named_rate (fixture.limit, 1);
  assert_in_range (max_starts_in_a_second (&fixture, 5 * SECOND_US), 1, 2);
  teardown (&fixture);
}

/* The bound holds for every way to a slot while the target names a rate. */
static void
test_admission_bounds_starts_at_a_named_rate (void **state)
{
  Fixture fixture = setup ();
  Admission *admission = admission_create (50, 100, fixture.clock);
  AdmissionParams order = { .deadline_us = clock_now (fixture.clock) + 60 * SECOND_US };
  guint started = 0;
  char items[40];

  admission_set_start_limit (admission, fixture.limit);
  start_limit_note_cold (fixture.limit, 0);
  start_limit_set_named_rate (fixture.limit, 1.4);
  for (guint ms = 0; ms < 4000; ms++)
    {
      started += admission_hold (admission);
      started += admission_force (admission);
      if (ms % 100 == 0)
        started +=
            admission_offer (admission, &items[ms / 100], &order) == ADMISSION_START;
      while (admission_next (admission))
        started++;
      clock_advance (fixture.clock, MS_US);
    }
  assert_in_range (started, 4, 7);
  /* The request would be the last of those that wait. */
  assert_true (admission_retry_after_us (admission) >
               (gint64)(admission_queued (admission) / 1.4 * SECOND_US));
  admission_destroy (admission);
  teardown (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_a_cold_target_gets_a_bounded_rate),
    cmocka_unit_test (test_a_silent_target_counts_as_cold),
    cmocka_unit_test (test_starts_before_turning_cold_count),
    cmocka_unit_test (test_a_target_is_warm_after_its_cold_time),
    cmocka_unit_test (test_without_a_rate_nothing_is_bounded),
    cmocka_unit_test (test_admission_bounds_starts_of_a_cold_target),
    cmocka_unit_test (test_a_cold_target_says_when_to_retry),
    cmocka_unit_test (test_a_named_rate_bounds_any_four_seconds),
    cmocka_unit_test (test_a_named_rate_begins_with_an_empty_bucket),
    cmocka_unit_test (test_a_suspension_does_not_save_up_starts),
    cmocka_unit_test (test_a_cold_target_that_names_a_rate_is_bounded_by_both),
    cmocka_unit_test (test_admission_bounds_starts_at_a_named_rate),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
