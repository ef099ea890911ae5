/* Tests which rate named by a target is in force, and when it ends. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <core/named-rate.h>

static const RateNotice absent = { .kind = RATE_NOTICE_ABSENT };
static const RateNotice malformed = { .kind = RATE_NOTICE_MALFORMED };

typedef struct
{
  Clock *clock;
  NamedRate *rate;
} Fixture;

static Fixture
setup (void)
{
  Fixture fixture = { clock_create_manual (1000 * SECOND_US), NULL };

  fixture.rate = named_rate_create (fixture.clock);
  return fixture;
}

static void
teardown (Fixture *fixture)
{
  named_rate_destroy (fixture->rate);
  clock_destroy (fixture->clock);
}

/* Notes an answer whose request started `ago_us` before. */
static NamedRateChange
note (Fixture *fixture, RateNotice notice, gint64 ago_us)
{
  return named_rate_note_answer (fixture->rate, &notice,
                                 clock_now (fixture->clock) - ago_us);
}

static NamedRateChange
name (Fixture *fixture, double per_s, gint64 ago_us)
{
  return note (fixture, (RateNotice){ RATE_NOTICE_NAMED, per_s }, ago_us);
}

static void
test_a_rate_is_in_force_until_a_later_answer_lacks_it (void **state)
{
  Fixture fixture = setup ();

  assert_false (named_rate_is_in_force (fixture.rate));
  assert_int_equal (note (&fixture, absent, 100), NAMED_RATE_UNCHANGED);
  assert_int_equal (name (&fixture, 1.4, 100), NAMED_RATE_BEGUN);
  assert_true (named_rate_per_s (fixture.rate) == 1.4);
  clock_advance (fixture.clock, SECOND_US);
  assert_int_equal (name (&fixture, 1.4, 100), NAMED_RATE_UNCHANGED);
  assert_int_equal (named_rate_age_us (fixture.rate), SECOND_US);
  clock_advance (fixture.clock, SECOND_US);
  assert_int_equal (note (&fixture, absent, 100), NAMED_RATE_ENDED);
  assert_false (named_rate_is_in_force (fixture.rate));
  teardown (&fixture);
}

static void
test_an_answer_that_began_before_the_limit_does_not_end_it (void **state)
{
  Fixture fixture = setup ();

  name (&fixture, 1.4, 0);
  clock_advance (fixture.clock, SECOND_US);
  assert_int_equal (note (&fixture, absent, 2 * SECOND_US), NAMED_RATE_UNCHANGED);
  assert_int_equal (note (&fixture, absent, SECOND_US), NAMED_RATE_UNCHANGED);
  assert_true (named_rate_is_in_force (fixture.rate));
  /* Each answer that names the limit again makes older requests too old to end it. */
  name (&fixture, 1.4, 10);
  assert_int_equal (note (&fixture, absent, SECOND_US / 2), NAMED_RATE_UNCHANGED);
  clock_advance (fixture.clock, SECOND_US);
  assert_int_equal (note (&fixture, absent, SECOND_US / 2), NAMED_RATE_ENDED);
  teardown (&fixture);
}

static void
test_a_lower_rate_counts_at_once_and_a_higher_one_if_it_is_later (void **state)
{
  Fixture fixture = setup ();

  name (&fixture, 5, 0);
  clock_advance (fixture.clock, SECOND_US);
  assert_int_equal (name (&fixture, 0.5, 3 * SECOND_US), NAMED_RATE_LOWERED);
  assert_true (named_rate_per_s (fixture.rate) == 0.5);
  clock_advance (fixture.clock, SECOND_US);
  assert_int_equal (name (&fixture, 5, 2 * SECOND_US), NAMED_RATE_UNCHANGED);
  assert_true (named_rate_per_s (fixture.rate) == 0.5);
  assert_int_equal (name (&fixture, 5, SECOND_US / 2), NAMED_RATE_RAISED);
  assert_true (named_rate_per_s (fixture.rate) == 5);
  teardown (&fixture);
}

static void
test_a_malformed_rate_changes_nothing (void **state)
{
  Fixture fixture = setup ();

  assert_int_equal (note (&fixture, malformed, 0), NAMED_RATE_UNCHANGED);
  assert_false (named_rate_is_in_force (fixture.rate));
  name (&fixture, 1.4, 0);
  clock_advance (fixture.clock, SECOND_US);
  assert_int_equal (note (&fixture, malformed, 0), NAMED_RATE_UNCHANGED);
  assert_true (named_rate_per_s (fixture.rate) == 1.4);
  teardown (&fixture);
}

static void
test_only_decimal_numbers_are_rates (void **state)
{
  static const char *const bad[] = { "",    "-1",   "+1",   "1,4",  "NaN",   "nan",
                                     "inf", "1e9",  "0x10", " 1",   "1 ",    "1.",
                                     ".5",  "1.4.", "1..4", "1.-",  "1.4s",  "one",
                                     "1;2", "1\t",  "1.4e", "1.4,", "1, 1.4" };
  g_autofree char *digits = g_strnfill (400, '9');

  for (gsize i = 0; i < G_N_ELEMENTS (bad); i++)
    assert_int_equal (rate_notice_parse (bad[i]).kind, RATE_NOTICE_MALFORMED);
  assert_int_equal (rate_notice_parse (digits).kind, RATE_NOTICE_MALFORMED);
  assert_true (rate_notice_parse ("1.4").per_s == 1.4);
  assert_true (rate_notice_parse ("0").per_s == 0);
  assert_int_equal (rate_notice_parse ("0").kind, RATE_NOTICE_NAMED);
  assert_true (rate_notice_parse ("0012.50").per_s == 12.5);
  assert_true (rate_notice_parse ("99999999999999999999").per_s <= 1e6);
}

static void
test_a_remembered_rate_holds_until_the_first_answer (void **state)
{
  Fixture fixture = setup ();

  assert_int_equal (named_rate_state (fixture.rate), NAMED_RATE_UNKNOWN);
  assert_int_equal (named_rate_note_remembered (fixture.rate, 1.4), NAMED_RATE_BEGUN);
  /* The lowest counts, because an ingress may remember an earlier one. */
  assert_int_equal (named_rate_note_remembered (fixture.rate, 5), NAMED_RATE_UNCHANGED);
  assert_int_equal (named_rate_note_remembered (fixture.rate, 1.2), NAMED_RATE_LOWERED);
  assert_true (named_rate_per_s (fixture.rate) == 1.2);
  assert_int_equal (note (&fixture, malformed, 0), NAMED_RATE_UNCHANGED);
  /* Any request of this sidecar started after the rate was remembered. */
  assert_int_equal (note (&fixture, absent, SECOND_US), NAMED_RATE_ENDED);
  assert_int_equal (named_rate_state (fixture.rate), NAMED_RATE_NONE);
  assert_int_equal (named_rate_note_remembered (fixture.rate, 1.4), NAMED_RATE_UNCHANGED);
  assert_false (named_rate_is_in_force (fixture.rate));
  teardown (&fixture);
}

static void
test_a_remembered_rate_does_not_change_what_the_target_named (void **state)
{
  Fixture fixture = setup ();

  name (&fixture, 5, 0);
  assert_int_equal (named_rate_note_remembered (fixture.rate, 1.4), NAMED_RATE_UNCHANGED);
  assert_true (named_rate_per_s (fixture.rate) == 5);
  teardown (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_a_rate_is_in_force_until_a_later_answer_lacks_it),
    cmocka_unit_test (test_an_answer_that_began_before_the_limit_does_not_end_it),
    cmocka_unit_test (test_a_lower_rate_counts_at_once_and_a_higher_one_if_it_is_later),
    cmocka_unit_test (test_a_malformed_rate_changes_nothing),
    cmocka_unit_test (test_a_remembered_rate_holds_until_the_first_answer),
    cmocka_unit_test (test_a_remembered_rate_does_not_change_what_the_target_named),
    cmocka_unit_test (test_only_decimal_numbers_are_rates),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
