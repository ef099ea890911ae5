/* Tests the set of evacuated data halls: the newest reading is in force, in whatever
   order readings arrive. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <core/evacuations.h>

static gboolean
update (Evacuations *evacuations, guint64 era, guint64 revision, const char *halls)
{
  g_auto (GStrv) names = g_strsplit (halls, " ", 0);
  g_autoptr (GPtrArray) array = g_ptr_array_new ();

  for (guint i = 0; names[i]; i++)
    if (*names[i])
      g_ptr_array_add (array, names[i]);
  return evacuations_update (evacuations, era, revision, array);
}

static void
test_the_newer_reading_is_in_force (void **state)
{
  Evacuations *evacuations = evacuations_create ();

  assert_false (evacuations_has (evacuations, "a"));
  assert_true (update (evacuations, 1, 100, "a"));
  assert_true (evacuations_has (evacuations, "a"));
  /* An older reading that arrives late or one of the same revision changes nothing. */
  assert_false (update (evacuations, 1, 90, ""));
  assert_false (update (evacuations, 1, 100, "b"));
  assert_true (evacuations_has (evacuations, "a"));
  assert_true (update (evacuations, 1, 140, "b"));
  assert_false (evacuations_has (evacuations, "a"));
  assert_true (evacuations_has (evacuations, "b"));
  evacuations_destroy (evacuations);
}

/* A reading that changes nothing still supersedes older ones. Here an evacuation from
   before that reading arrives late, after it has been lifted. */
static void
test_an_unchanged_reading_supersedes_older_ones (void **state)
{
  Evacuations *evacuations = evacuations_create ();

  assert_false (update (evacuations, 0, 150, ""));
  assert_false (update (evacuations, 0, 120, "a"));
  assert_false (evacuations_has (evacuations, "a"));
  evacuations_destroy (evacuations);
}

/* A store restored from an older copy issues its revisions again, so readings are ordered
   by era first. */
static void
test_readings_are_ordered_by_era_first (void **state)
{
  Evacuations *evacuations = evacuations_create ();

  assert_true (update (evacuations, 1, 1000, "a b"));
  assert_true (update (evacuations, 2, 700, "b"));
  assert_false (evacuations_has (evacuations, "a"));
  assert_false (update (evacuations, 1, 1100, "a"));
  assert_int_equal (evacuations_era (evacuations), 2);
  assert_int_equal (evacuations_revision (evacuations), 700);
  evacuations_destroy (evacuations);
}

static void
test_order_and_repeats_are_no_change (void **state)
{
  Evacuations *evacuations = evacuations_create ();

  assert_true (update (evacuations, 0, 1, "b a"));
  assert_false (update (evacuations, 0, 2, "a b a"));
  assert_int_equal (evacuations_halls (evacuations)->len, 2);
  assert_string_equal (g_ptr_array_index (evacuations_halls (evacuations), 0), "a");
  evacuations_destroy (evacuations);
}

static void
test_excess_halls_are_dropped_by_name (void **state)
{
  Evacuations *evacuations = evacuations_create ();
  g_autoptr (GPtrArray) halls = g_ptr_array_new_with_free_func (g_free);

  for (guint i = EVACUATIONS_MAX + 4; i-- > 0;)
    g_ptr_array_add (halls, g_strdup_printf ("hall-%02u", i));
  assert_true (evacuations_update (evacuations, 0, 1, halls));
  assert_int_equal (evacuations_halls (evacuations)->len, EVACUATIONS_MAX);
  assert_true (evacuations_has (evacuations, "hall-00"));
  assert_false (evacuations_has (evacuations, "hall-19"));
  evacuations_destroy (evacuations);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_the_newer_reading_is_in_force),
    cmocka_unit_test (test_an_unchanged_reading_supersedes_older_ones),
    cmocka_unit_test (test_readings_are_ordered_by_era_first),
    cmocka_unit_test (test_order_and_repeats_are_no_change),
    cmocka_unit_test (test_excess_halls_are_dropped_by_name),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
