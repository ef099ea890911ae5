/* Selection of allowance lenders: from the platform's list after a start, later from the
 * live members. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <string.h>

#include "allowance-fleet.h"

#define OTHERS 20u
#define ACCOUNT "acme"
/* A node uses the list for this time after its start. */
#define BY_LIST_US (3 * SECOND_US)

typedef struct
{
  Settings settings;
  Node node;
  AllowanceFleet *fleet;
} Fixture;

static void
add_others (Fixture *fixture, const char *port)
{
  for (guint i = 0; i < OTHERS; i++)
    {
      g_autofree char *name = g_strdup_printf ("vm-%u", i);
      g_autofree char *hall = g_strdup_printf ("hall-%u", i % 3);
      g_autofree char *address = g_strdup_printf ("10.0.0.%u:%s", i + 1, port);

      fleet_list_add (fixture->node.list, name, hall, address);
    }
  fleet_list_note_read (fixture->node.list);
}

static Fixture *
setup (void)
{
  Fixture *fixture = g_new0 (Fixture, 1);
  Node *node = &fixture->node;
  Member self = { .node = "vm-own", .hall = "hall-0", .address = "10.0.1.1:1" };
  const char *const seeds[] = { NULL };

  fixture->settings.node = "vm-own";
  fixture->settings.hall = "hall-0";
  node->settings = &fixture->settings;
  node->clock = clock_create_manual (SECOND_US);
  node->started_us = clock_now (node->clock);
  node->rand = g_rand_new_with_seed (1);
  node->members =
      members_create (&self, seeds, &members_timing_default, node->rand, node->clock);
  node->list = fleet_list_create ();
  fixture->fleet = allowance_fleet_create (node);
  return fixture;
}

static void
teardown (Fixture *fixture)
{
  allowance_fleet_destroy (fixture->fleet);
  fleet_list_destroy (fixture->node.list);
  members_destroy (fixture->node.members);
  g_rand_free (fixture->node.rand);
  clock_destroy (fixture->node.clock);
  g_free (fixture);
}

static void
test_a_starting_node_without_a_list_lends_nothing (void **state)
{
  Fixture *fixture = setup ();

  assert_true (allowance_fleet_share (fixture->fleet, ACCOUNT) == 0);
  clock_advance (fixture->node.clock, SECOND_US);
  /* It knows no other node and therefore is the only lender. */
  assert_true (allowance_fleet_share (fixture->fleet, ACCOUNT) == 1);
  teardown (fixture);
}

static void
test_the_list_gives_the_lenders_until_it_expires (void **state)
{
  Fixture *fixture = setup ();
  const char *lenders[ALLOWANCE_LENDERS];

  add_others (fixture, "1");
  allowance_fleet_note_list (fixture->fleet);
  assert_int_equal (allowance_fleet_lenders (fixture->fleet, ACCOUNT, lenders),
                    ALLOWANCE_LENDERS);
  clock_advance (fixture->node.clock, BY_LIST_US - 1);
  assert_false (allowance_fleet_expire_list (fixture->fleet));
  clock_advance (fixture->node.clock, 1);
  assert_true (allowance_fleet_expire_list (fixture->fleet));
  assert_false (allowance_fleet_expire_list (fixture->fleet));
  assert_int_equal (allowance_fleet_lenders (fixture->fleet, ACCOUNT, lenders), 1);
  assert_string_equal (lenders[0], "vm-own");
  teardown (fixture);
}

/* A list of several pages is read again while requests still use the lenders of the
 * previous reading: their names must stay valid. */
static void
test_reading_the_list_again_keeps_lenders_valid (void **state)
{
  Fixture *fixture = setup ();
  const char *lenders[ALLOWANCE_LENDERS];
  char *before[ALLOWANCE_LENDERS];

  add_others (fixture, "1");
  allowance_fleet_note_list (fixture->fleet);
  allowance_fleet_lenders (fixture->fleet, ACCOUNT, lenders);
  for (guint i = 0; i < ALLOWANCE_LENDERS; i++)
    before[i] = g_strdup (lenders[i]);
  add_others (fixture, "2");
  allowance_fleet_lenders (fixture->fleet, ACCOUNT, lenders);
  for (guint i = 0; i < ALLOWANCE_LENDERS; i++)
    {
      const FleetListEntry *entry = fleet_list_find (fixture->node.list, lenders[i]);

      assert_string_equal (lenders[i], before[i]);
      if (entry)
        assert_true (g_str_has_suffix (entry->address, ":2"));
      g_free (before[i]);
    }
  teardown (fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_a_starting_node_without_a_list_lends_nothing),
    cmocka_unit_test (test_the_list_gives_the_lenders_until_it_expires),
    cmocka_unit_test (test_reading_the_list_again_keeps_lenders_valid),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
