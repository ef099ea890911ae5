/* Tests of late heartbeats from target starts that have crashed. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <core/target-starts.h>

#define INTERVAL_US (1500 * MS_US)

typedef struct
{
  Clock *clock;
  TargetStarts *target_starts;
} Fixture;

static Fixture
setup (void)
{
  Fixture fixture = { .clock = clock_create_manual (SECOND_US) };

  fixture.target_starts = target_starts_create (fixture.clock);
  return fixture;
}

static void
teardown (Fixture *fixture)
{
  target_starts_destroy (fixture->target_starts);
  clock_destroy (fixture->clock);
}

/* Delivers a heartbeat, one interval after the previous one. */
static TargetStartsResult
deliver_heartbeat (Fixture *fixture, const char *name, gint64 sequence)
{
  clock_advance (fixture->clock, INTERVAL_US);
  return target_starts_heartbeat (fixture->target_starts, name, sequence);
}

static void
test_a_new_start_takes_over_at_once (void **state)
{
  Fixture fixture = setup ();

  assert_int_equal (deliver_heartbeat (&fixture, "old", 1), TARGET_STARTS_NEW);
  assert_int_equal (deliver_heartbeat (&fixture, "old", 2), TARGET_STARTS_CURRENT);
  assert_int_equal (deliver_heartbeat (&fixture, "old", 2), TARGET_STARTS_STALE);
  assert_int_equal (deliver_heartbeat (&fixture, "new", 1), TARGET_STARTS_NEW);
  assert_string_equal (target_starts_current (fixture.target_starts), "new");
  teardown (&fixture);
}

/* The heartbeat comes after its sender has crashed and the next start has registered. */
static void
test_a_late_heartbeat_of_a_crashed_start_changes_nothing (void **state)
{
  Fixture fixture = setup ();

  deliver_heartbeat (&fixture, "old", 1);
  deliver_heartbeat (&fixture, "new", 1);
  assert_int_equal (deliver_heartbeat (&fixture, "old", 2), TARGET_STARTS_STALE);
  assert_int_equal (deliver_heartbeat (&fixture, "new", 2), TARGET_STARTS_CURRENT);
  assert_int_equal (deliver_heartbeat (&fixture, "old", 3), TARGET_STARTS_STALE);
  assert_int_equal (deliver_heartbeat (&fixture, "new", 3), TARGET_STARTS_CURRENT);
  assert_string_equal (target_starts_current (fixture.target_starts), "new");
  teardown (&fixture);
}

/* The node has restarted and does not know of the crash, so the late heartbeat takes
   over. The live start becomes current again because its heartbeats go on. */
static void
test_a_late_heartbeat_takes_over_only_briefly (void **state)
{
  Fixture fixture = setup ();

  deliver_heartbeat (&fixture, "alive", 7);
  assert_int_equal (deliver_heartbeat (&fixture, "crashed", 3), TARGET_STARTS_NEW);
  assert_int_equal (deliver_heartbeat (&fixture, "alive", 8), TARGET_STARTS_STALE);
  assert_int_equal (deliver_heartbeat (&fixture, "alive", 9), TARGET_STARTS_NEW);
  assert_int_equal (deliver_heartbeat (&fixture, "alive", 10), TARGET_STARTS_CURRENT);
  assert_int_equal (deliver_heartbeat (&fixture, "crashed", 4), TARGET_STARTS_STALE);
  teardown (&fixture);
}

static void
test_a_start_that_announced_its_end_never_returns (void **state)
{
  Fixture fixture = setup ();

  deliver_heartbeat (&fixture, "old", 1);
  target_starts_note_end (fixture.target_starts, "old");
  assert_int_equal (deliver_heartbeat (&fixture, "new", 1), TARGET_STARTS_NEW);
  for (gint64 sequence = 2; sequence < 10; sequence++)
    assert_int_equal (deliver_heartbeat (&fixture, "old", sequence), TARGET_STARTS_STALE);
  teardown (&fixture);
}

/* A start may announce its end before any of its heartbeats arrives. */
static void
test_an_end_before_any_heartbeat_is_remembered (void **state)
{
  Fixture fixture = setup ();

  target_starts_note_end (fixture.target_starts, "old");
  assert_int_equal (deliver_heartbeat (&fixture, "old", 5), TARGET_STARTS_STALE);
  assert_null (target_starts_current (fixture.target_starts));
  teardown (&fixture);
}

/* A target that restarts under the same identifier counts its heartbeats from 1 again. */
static void
test_a_start_under_the_same_identifier_takes_over (void **state)
{
  Fixture fixture = setup ();
  g_autofree char *first = target_start_name ("i-1", 1000);
  g_autofree char *second = target_start_name ("i-1", 2000);

  deliver_heartbeat (&fixture, first, 7);
  assert_int_equal (deliver_heartbeat (&fixture, second, 1), TARGET_STARTS_NEW);
  for (gint64 sequence = 8; sequence < 20; sequence++)
    {
      clock_advance (fixture.clock, 4 * SECOND_US);
      assert_int_equal (deliver_heartbeat (&fixture, first, sequence),
                        TARGET_STARTS_STALE);
    }
  assert_int_equal (deliver_heartbeat (&fixture, second, 1), TARGET_STARTS_STALE);
  assert_int_equal (deliver_heartbeat (&fixture, second, 2), TARGET_STARTS_CURRENT);
  /* A heartbeat without a start time does not take over either. */
  assert_int_equal (deliver_heartbeat (&fixture, "i-1", 50), TARGET_STARTS_STALE);
  target_starts_note_end (fixture.target_starts, first);
  assert_string_equal (target_starts_current (fixture.target_starts), second);
  teardown (&fixture);
}

static void
test_a_name_holds_its_identifier (void **state)
{
  static const char *const identifiers[] = { "i-7f3a91c2", "i.b", "i.bq", "i-1.b1f",
                                             "b" };
  static const gint64 borns[] = { 0, 1, 1796256000000, G_MAXINT64 };

  for (gsize i = 0; i < G_N_ELEMENTS (identifiers); i++)
    for (gsize j = 0; j < G_N_ELEMENTS (borns); j++)
      {
        g_autofree char *name = target_start_name (identifiers[i], borns[j]);
        g_autofree char *back = target_start_identifier (name);

        assert_string_equal (back, identifiers[i]);
      }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_a_new_start_takes_over_at_once),
    cmocka_unit_test (test_a_late_heartbeat_of_a_crashed_start_changes_nothing),
    cmocka_unit_test (test_a_late_heartbeat_takes_over_only_briefly),
    cmocka_unit_test (test_a_start_that_announced_its_end_never_returns),
    cmocka_unit_test (test_an_end_before_any_heartbeat_is_remembered),
    cmocka_unit_test (test_a_start_under_the_same_identifier_takes_over),
    cmocka_unit_test (test_a_name_holds_its_identifier),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
