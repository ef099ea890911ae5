/* Tests of the announced ends of targets that nodes remember for each other. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <core/departures.h>

/* Longer than any end is kept. */
#define LONG_US (2 * 3600 * SECOND_US)

typedef struct
{
  Clock *clock;
  Departures *departures;
} Fixture;

static int
setup (void **state)
{
  Fixture *fixture = g_new0 (Fixture, 1);

  fixture->clock = clock_create_manual (SECOND_US);
  fixture->departures = departures_create (fixture->clock);
  *state = fixture;
  return 0;
}

static int
teardown (void **state)
{
  Fixture *fixture = *state;

  departures_destroy (fixture->departures);
  clock_destroy (fixture->clock);
  g_free (fixture);
  return 0;
}

static void
test_an_end_holds_for_its_start_and_its_vm_alone (void **state)
{
  const Fixture *fixture = *state;

  assert_true (departures_add (fixture->departures, "vm-1", "a"));
  assert_false (departures_add (fixture->departures, "vm-1", "a"));
  assert_true (departures_contains (fixture->departures, "vm-1", "a"));
  assert_false (departures_contains (fixture->departures, "vm-1", "b"));
  assert_false (departures_contains (fixture->departures, "vm-2", "a"));
}

/* The end of a start held for other names of the same start, or for later ones. */
static void
test_an_end_holds_for_earlier_starts_and_no_later_one (void **state)
{
  const Fixture *fixture = *state;
  const char *starts[DEPARTURES_PER_VM_MAX];

  assert_true (departures_add (fixture->departures, "vm-1", "i-1.b10"));
  assert_true (departures_contains (fixture->departures, "vm-1", "i-1"));
  assert_true (departures_contains (fixture->departures, "vm-1", "i-1.bf"));
  assert_true (departures_contains (fixture->departures, "vm-1", "i-1.b10"));
  assert_false (departures_contains (fixture->departures, "vm-1", "i-1.b11"));
  assert_false (departures_contains (fixture->departures, "vm-1", "i-2.b1"));
  assert_false (departures_add (fixture->departures, "vm-1", "i-1"));
  assert_true (departures_add (fixture->departures, "vm-1", "i-2"));
  assert_false (departures_contains (fixture->departures, "vm-1", "i-2.b1"));
  assert_true (departures_add (fixture->departures, "vm-1", "i-1.b20"));
  assert_int_equal (departures_of_vm (fixture->departures, "vm-1", starts), 2);
  assert_string_equal (starts[0], "i-1.b20");
  assert_string_equal (starts[1], "i-2");
}

/* VMs whose targets restart for ever would fill the memory and the messages. */
static void
test_ends_of_one_vm_accumulate (void **state)
{
  const Fixture *fixture = *state;
  const char *starts[DEPARTURES_PER_VM_MAX];

  for (guint i = 0; i < 3 * DEPARTURES_PER_VM_MAX; i++)
    {
      g_autofree char *start = g_strdup_printf ("i-%u", i);

      departures_add (fixture->departures, "vm-1", start);
    }
  assert_int_equal (departures_of_vm (fixture->departures, "vm-1", starts),
                    DEPARTURES_PER_VM_MAX);
  assert_string_equal (starts[0], "i-11");
  assert_string_equal (starts[DEPARTURES_PER_VM_MAX - 1], "i-8");
}

static void
test_ends_are_kept_for_ever (void **state)
{
  const Fixture *fixture = *state;
  const char *starts[DEPARTURES_PER_VM_MAX];

  departures_add (fixture->departures, "vm-1", "a");
  clock_advance (fixture->clock, LONG_US);
  assert_false (departures_contains (fixture->departures, "vm-1", "a"));
  assert_int_equal (departures_of_vm (fixture->departures, "vm-1", starts), 0);
  assert_true (departures_add (fixture->departures, "vm-2", "b"));
  assert_true (departures_add (fixture->departures, "vm-1", "a"));
  assert_int_equal (departures_of_vm (fixture->departures, "vm-1", starts), 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (
        test_an_end_holds_for_earlier_starts_and_no_later_one, setup, teardown),
    cmocka_unit_test_setup_teardown (test_an_end_holds_for_its_start_and_its_vm_alone,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (test_ends_of_one_vm_accumulate, setup, teardown),
    cmocka_unit_test_setup_teardown (test_ends_are_kept_for_ever, setup, teardown),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
