/* The bounds of the history of replaced parts. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <core/part-history.h>

#define KEEP_US (2 * SECOND_US)
#define BYTES_MAX 100u

typedef struct
{
  Clock *clock;
  PartHistory *history;
} Fixture;

static Fixture
setup (void)
{
  Fixture fixture = { .clock = clock_create_manual (SECOND_US) };

  fixture.history = part_history_create (fixture.clock, KEEP_US, BYTES_MAX);
  return fixture;
}

static void
teardown (Fixture *fixture)
{
  part_history_destroy (fixture->history);
  clock_destroy (fixture->clock);
}

static void
add (Fixture *fixture, const char *digest, gsize bytes)
{
  g_autofree char *text = g_strnfill (bytes, 'x');
  g_autoptr (GBytes) packed = g_bytes_new (text, bytes);

  part_history_add (fixture->history, digest, packed);
}

static void
test_a_replaced_part_is_kept_for_a_time (void **state)
{
  Fixture fixture = setup ();

  add (&fixture, "a", 10);
  clock_advance (fixture.clock, KEEP_US);
  assert_non_null (part_history_find (fixture.history, "a"));
  clock_advance (fixture.clock, 1);
  assert_null (part_history_find (fixture.history, "a"));
  teardown (&fixture);
}

static void
test_the_oldest_parts_make_room (void **state)
{
  Fixture fixture = setup ();

  add (&fixture, "a", 40);
  add (&fixture, "b", 40);
  add (&fixture, "c", 40);
  assert_null (part_history_find (fixture.history, "a"));
  assert_non_null (part_history_find (fixture.history, "b"));
  assert_non_null (part_history_find (fixture.history, "c"));
  add (&fixture, "large", BYTES_MAX + 1);
  assert_null (part_history_find (fixture.history, "large"));
  teardown (&fixture);
}

/* A part may be replaced, come back and be replaced again. */
static void
test_a_part_that_is_replaced_twice_is_kept_from_the_second_time (void **state)
{
  Fixture fixture = setup ();

  add (&fixture, "a", 10);
  clock_advance (fixture.clock, SECOND_US);
  add (&fixture, "a", 10);
  clock_advance (fixture.clock, KEEP_US);
  assert_non_null (part_history_find (fixture.history, "a"));
  clock_advance (fixture.clock, 1);
  assert_null (part_history_find (fixture.history, "a"));
  teardown (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_a_replaced_part_is_kept_for_a_time),
    cmocka_unit_test (test_the_oldest_parts_make_room),
    cmocka_unit_test (test_a_part_that_is_replaced_twice_is_kept_from_the_second_time),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
