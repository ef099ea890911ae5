/* Slots held for requests from other halls: at most the target's slots, taken only by the
 * attempt that asked, and released after a timeout. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "sidecar-holds.h"

#define SLOTS 2u

typedef struct
{
  Clock *clock;
  Node node;
  SidecarTarget *target;
  SidecarHolds *holds;
} Fixture;

static Fixture
setup (void)
{
  static const Service service = { .name = "pay", .detection = DETECTION_STRICT };
  static const Target config = { .name = "t", .address = "127.0.0.1:1", .slots = SLOTS };
  Fixture fixture = { .clock = clock_create_manual (SECOND_US) };

  fixture.node.clock = fixture.clock;
  fixture.target = sidecar_target_create (&fixture.node, &service, &config);
  fixture.holds = sidecar_holds_create (fixture.clock);
  return fixture;
}

static void
teardown (Fixture *fixture)
{
  sidecar_holds_destroy (fixture->holds);
  sidecar_target_destroy (fixture->target);
  clock_destroy (fixture->clock);
}

static AttemptId
attempt (guint64 counter)
{
  return (AttemptId){ "node", 1, counter };
}

static void
test_holds_are_limited_by_slots (void **state)
{
  Fixture fixture = setup ();
  AttemptId first = attempt (1);
  AttemptId second = attempt (2);
  AttemptId third = attempt (3);

  assert_true (sidecar_holds_add (fixture.holds, fixture.target, &first));
  assert_true (sidecar_holds_add (fixture.holds, fixture.target, &second));
  assert_false (sidecar_holds_add (fixture.holds, fixture.target, &third));
  assert_int_equal (admission_in_use (fixture.target->admission), SLOTS);
  teardown (&fixture);
}

static void
test_a_hold_is_taken_once_by_its_attempt (void **state)
{
  Fixture fixture = setup ();
  AttemptId asked = attempt (1);
  AttemptId other = attempt (2);

  assert_true (sidecar_holds_add (fixture.holds, fixture.target, &asked));
  assert_false (sidecar_holds_take (fixture.holds, fixture.target, &other));
  assert_true (sidecar_holds_take (fixture.holds, fixture.target, &asked));
  assert_false (sidecar_holds_take (fixture.holds, fixture.target, &asked));
  /* A slot that was taken belongs to the caller and does not expire. */
  clock_advance (fixture.clock, SECOND_US);
  sidecar_holds_expire (fixture.holds);
  assert_int_equal (admission_in_use (fixture.target->admission), 1);
  admission_release (fixture.target->admission, -1);
  teardown (&fixture);
}

static void
test_a_hold_expires_and_releases_its_slot (void **state)
{
  Fixture fixture = setup ();
  AttemptId asked = attempt (1);

  assert_true (sidecar_holds_add (fixture.holds, fixture.target, &asked));
  clock_advance (fixture.clock, 50 * MS_US);
  sidecar_holds_expire (fixture.holds);
  assert_int_equal (admission_in_use (fixture.target->admission), 1);
  clock_advance (fixture.clock, 20 * MS_US);
  sidecar_holds_expire (fixture.holds);
  assert_int_equal (admission_in_use (fixture.target->admission), 0);
  assert_false (sidecar_holds_take (fixture.holds, fixture.target, &asked));
  teardown (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_holds_are_limited_by_slots),
    cmocka_unit_test (test_a_hold_is_taken_once_by_its_attempt),
    cmocka_unit_test (test_a_hold_expires_and_releases_its_slot),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
