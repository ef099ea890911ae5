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
      QuarantineCase it = { QUARANTINE_SCHEME_SPREAD, pattern, nodes, halls, seed };
      QuarantineResult result = quarantine_net_run (&it);

      assert_in_range (result.last_us, 1, CONTACT_US);
      assert_int_equal (result.innocent, 0);
    }
}

static void
test_all_nodes_quarantine_in_time (void **state)
{
  check (QUARANTINE_PLAIN, 93, 3);
  check (QUARANTINE_PLAIN, 353, 5);
}

static void
test_quarantine_is_in_time_with_message_loss (void **state)
{
  check (QUARANTINE_LOSS, 93, 3);
  check (QUARANTINE_LOSS, 353, 5);
}

/* One node in ten has stopped without being noticed yet. */
static void
test_quarantine_is_in_time_with_stopped_nodes (void **state)
{
  check (QUARANTINE_GONE, 93, 3);
  check (QUARANTINE_GONE, 353, 5);
}

/* The 300 requests of a rack that crashed compete for the 64 entries of the list, and
   none of them is quarantined. */
static void
test_quarantine_is_in_time_during_a_rack_crash (void **state)
{
  check (QUARANTINE_RACK, 93, 3);
  check (QUARANTINE_RACK, 353, 5);
}

static void
test_a_joining_node_learns_the_quarantine (void **state)
{
  check (QUARANTINE_JOIN, 93, 3);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_all_nodes_quarantine_in_time),
    cmocka_unit_test (test_quarantine_is_in_time_with_message_loss),
    cmocka_unit_test (test_quarantine_is_in_time_with_stopped_nodes),
    cmocka_unit_test (test_quarantine_is_in_time_during_a_rack_crash),
    cmocka_unit_test (test_a_joining_node_learns_the_quarantine),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
