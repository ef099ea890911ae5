/* Tests which missing nodes count as gone for good, and which survivor cleans up after
   them. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <core/absence.h>

#define ABSENCE_LIMIT_US (60 * SECOND_US)
#define NODES 5u

static void
test_only_a_long_absence_counts (void **state)
{
  Clock *clock = clock_create_manual (SECOND_US);
  Absences *absences = absences_create (ABSENCE_LIMIT_US, clock);

  assert_false (absences_note (absences, "a", TRUE));
  clock_advance (clock, ABSENCE_LIMIT_US - 1);
  assert_false (absences_note (absences, "a", TRUE));
  clock_advance (clock, 1);
  assert_true (absences_note (absences, "a", TRUE));
  absences_destroy (absences);
  clock_destroy (clock);
}

static void
test_a_return_restarts_the_absence (void **state)
{
  Clock *clock = clock_create_manual (SECOND_US);
  Absences *absences = absences_create (ABSENCE_LIMIT_US, clock);

  absences_note (absences, "a", TRUE);
  clock_advance (clock, ABSENCE_LIMIT_US);
  assert_false (absences_note (absences, "a", FALSE));
  assert_false (absences_note (absences, "a", TRUE));
  absences_destroy (absences);
  clock_destroy (clock);
}

/* Returns the members as node `self` sees them, in a fleet of NODES nodes of which node
   `dead` is dead. */
static Members *
members_seen_by (guint self, guint dead, GRand *rand, Clock *clock)
{
  g_autofree char *name = g_strdup_printf ("n%u", self);
  Member own = { .node = name, .hall = "h", .address = "127.0.0.1:1", .incarnation = 1 };
  Members *members = members_create (&own, NULL, &members_timing_default, rand, clock);

  for (guint i = 0; i < NODES; i++)
    {
      g_autofree char *other = g_strdup_printf ("n%u", i);
      Member rumour = { .node = other,
                        .hall = "h",
                        .address = "127.0.0.1:1",
                        .incarnation = 1,
                        .epoch = 1,
                        .status = MEMBER_ALIVE };

      if (i == self)
        continue;
      members_merge (members, &rumour);
      rumour.epoch = 2;
      rumour.status = MEMBER_DEAD;
      if (i == dead)
        members_merge (members, &rumour);
    }
  return members;
}

static void
test_exactly_one_live_node_removes (void **state)
{
  Clock *clock = clock_create_manual (SECOND_US);
  GRand *rand = g_rand_new_with_seed (1);

  for (guint dead = 0; dead < NODES; dead++)
    {
      g_autofree char *missing = g_strdup_printf ("n%u", dead);
      guint count = 0;

      for (guint self = 0; self < NODES; self++)
        {
          Members *members =
              self == dead ? NULL : members_seen_by (self, dead, rand, clock);

          if (members)
            count += absences_is_responsible (members, missing);
          members_destroy (members);
        }
      assert_int_equal (count, 1);
    }
  g_rand_free (rand);
  clock_destroy (clock);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_only_a_long_absence_counts),
    cmocka_unit_test (test_a_return_restarts_the_absence),
    cmocka_unit_test (test_exactly_one_live_node_removes),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
