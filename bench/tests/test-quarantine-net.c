/* The quarantine on a simulated fleet: all nodes quarantine a deadly request in time, and
 * no other request is quarantined. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "quarantine-net.h"

/* The users' requirement applies from 3 s after the third crash on. */
#define CONTACT_US (3 * SECOND_US)

static void
check (QuarantinePattern pattern, guint nodes, guint halls)
{
  for (guint32 seed = 1; seed <= 3; seed++)
    {
      QuarantineCase it = { QUARANTINE_WAY_SPREAD, pattern, nodes, halls, seed };
      QuarantineResult result = quarantine_net_run (&it);

      assert_in_range (result.last_us, 1, CONTACT_US);
      assert_int_equal (result.innocent, 0);
    }
}

static void
test_everybody_knows_in_time (void **state)
{
  check (QUARANTINE_PLAIN, 93, 3);
  check (QUARANTINE_PLAIN, 353, 5);
}

static void
test_lost_messages_delay_nobody_too_long (void **state)
{
  check (QUARANTINE_LOSS, 93, 3);
  check (QUARANTINE_LOSS, 353, 5);
}

/* One node in ten has stopped without being noticed yet. */
static void
test_nodes_that_have_gone_hold_nothing_up (void **state)
{
  check (QUARANTINE_GONE, 93, 3);
  check (QUARANTINE_GONE, 353, 5);
}

/* The 300 requests of a rack that crashed compete for the 64 entries of the list. */
static void
test_a_rack_that_ends_hides_nothing (void **state)
{
  check (QUARANTINE_RACK, 93, 3);
  check (QUARANTINE_RACK, 353, 5);
}

static void
test_a_node_that_starts_hears_of_it (void **state)
{
  check (QUARANTINE_JOIN, 93, 3);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_everybody_knows_in_time),
    cmocka_unit_test (test_lost_messages_delay_nobody_too_long),
    cmocka_unit_test (test_nodes_that_have_gone_hold_nothing_up),
    cmocka_unit_test (test_a_rack_that_ends_hides_nothing),
    cmocka_unit_test (test_a_node_that_starts_hears_of_it),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
