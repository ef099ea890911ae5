/* Tests how fast a cold target is given requests, without and with admission. */
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
  StartLimit *start_limit;
} Fixture;

static Fixture
setup (void)
{
  Fixture fixture = { clock_create_manual (1000 * SECOND_US), NULL };

  fixture.start_limit = start_limit_create (fixture.clock);
  start_limit_set_cold_rate (fixture.start_limit, PER_S, BURST);
  return fixture;
}

static void
teardown (Fixture *fixture)
{
  start_limit_destroy (fixture->start_limit);
  clock_destroy (fixture->clock);
}

/* Starts as many requests as allowed in each millisecond of a span. Returns the most in
   any one second, or G_MAXUINT after 10,000 starts. */
static guint
max_starts_in_a_second (Fixture *fixture, gint64 span_us)
{
  g_autoptr (GArray) starts = g_array_new (FALSE, FALSE, sizeof (gint64));
  guint most = 0;
  guint first = 0;

  for (gint64 at = 0; at < span_us; at += MS_US)
    {
      while (start_limit_allows (fixture->start_limit))
        {
          start_limit_count (fixture->start_limit);
          g_array_append_val (starts, at);
          if (starts->len > 10000)
            return G_MAXUINT;
        }
      while (first < starts->len &&
             g_array_index (starts, gint64, first) <= at - SECOND_US)
        first++;
      most = MAX (most, starts->len - first);
      clock_advance (fixture->clock, MS_US);
    }
  return most;
}

static void
test_a_cold_target_gets_a_bounded_rate (void **state)
{
  Fixture fixture = setup ();
  guint most;

  start_limit_note_cold (fixture.start_limit, 60 * SECOND_US);
  most = max_starts_in_a_second (&fixture, 10 * SECOND_US);
  assert_in_range (most, (guint)PER_S, COLD_STARTS_MAX_PER_S);
  teardown (&fixture);
}

static void
test_a_silent_target_counts_as_cold (void **state)
{
  Fixture fixture = setup ();

  assert_true (start_limit_is_limiting (fixture.start_limit));
  assert_in_range (max_starts_in_a_second (&fixture, 3 * SECOND_US), 1,
                   COLD_STARTS_MAX_PER_S);
  start_limit_note_cold (fixture.start_limit, 0);
  assert_false (start_limit_is_limiting (fixture.start_limit));
  assert_true (start_limit_allows (fixture.start_limit));
  start_limit_assume_cold (fixture.start_limit);
  assert_true (start_limit_is_limiting (fixture.start_limit));
  teardown (&fixture);
}

/* Starts just before the target turned cold count too, because the bound holds for any
   second. */
static void
test_starts_before_turning_cold_count (void **state)
{
  Fixture fixture = setup ();

  start_limit_note_cold (fixture.start_limit, 0);
  for (guint i = 0; i < 100; i++)
    start_limit_count (fixture.start_limit);
  start_limit_note_cold (fixture.start_limit, 10 * SECOND_US);
  assert_false (start_limit_allows (fixture.start_limit));
  clock_advance (fixture.clock, SECOND_US / 2);
  assert_false (start_limit_allows (fixture.start_limit));
  clock_advance (fixture.clock, SECOND_US);
  assert_true (start_limit_allows (fixture.start_limit));
  teardown (&fixture);
}

static void
test_a_target_is_warm_after_its_cold_time (void **state)
{
  Fixture fixture = setup ();

  start_limit_note_cold (fixture.start_limit, 2 * SECOND_US);
  clock_advance (fixture.clock, 2 * SECOND_US - 1);
  assert_true (start_limit_is_limiting (fixture.start_limit));
  clock_advance (fixture.clock, 1);
  assert_false (start_limit_is_limiting (fixture.start_limit));
  teardown (&fixture);
}

static void
test_without_a_rate_nothing_is_bounded (void **state)
{
  Fixture fixture = setup ();

  start_limit_set_cold_rate (fixture.start_limit, 0, 0);
  assert_false (start_limit_is_limiting (fixture.start_limit));
  for (guint i = 0; i < 1000; i++)
    {
      assert_true (start_limit_allows (fixture.start_limit));
      start_limit_count (fixture.start_limit);
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

  admission_set_start_limit (admission, fixture.start_limit);
  start_limit_note_cold (fixture.start_limit, 60 * SECOND_US);
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

  admission_set_start_limit (admission, fixture.start_limit);
  while (admission_hold (admission))
    ;
  assert_in_range (admission_retry_after_us (admission), 50 * MS_US, SECOND_US);
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
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
