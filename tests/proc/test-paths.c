/*
 * Stopped nodes and silent connections. Requests that may not be repeated are not sent to
 * a node that does not answer, and a connection that has gone silent is replaced.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <signal.h>
#include <string.h>

#include "fleet.h"
#include "requests-fleet.h"

#define SLOTS REQUESTS_SLOTS
/* Long enough that a node counts as quiet: 50 ms without a message (attempt-send.c). */
#define QUIET_US 200000
/* The bound only keeps a broken test from hanging; the wait is not measured. */
#define RECONNECT_TRIES 1000u
#define RECONNECT_PAUSE_US 20000

/* A node that has just stopped receives no request that may not be repeated, because it
   is pinged before the request is sent. */
static void
test_unrepeatable_requests_are_not_sent_to_a_stopped_node (void **state)
{
  /* The first and the last node are in one data hall. */
  Fleet *fleet = requests_start (4, 2);

  for (guint round = 0; round < 3; round++)
    {
      for (guint i = 0; i < 10; i++)
        {
          g_autofree char *id = g_strdup_printf ("before-%u-%u", round, i);

          requests_expect (fleet, "POST", "/pay", id, "done", NULL);
        }
      fleet_signal_node (fleet, 3, SIGSTOP);
      g_usleep (QUIET_US);
      for (guint i = 0; i < 10; i++)
        {
          g_autofree char *id = g_strdup_printf ("gone-%u-%u", round, i);
          g_autoptr (Answer) answer = fleet_call (fleet, 0, "POST", "/pay", id, "fee=12");

          if (strcmp (answer->outcome, "unknown") == 0)
            fail_msg ("%s: %ld %s", id, answer->status, answer->body);
        }
      fleet_signal_node (fleet, 3, SIGCONT);
      fleet_await (fleet, 0, "$.services[0].slots_in_service", 4 * SLOTS);
    }
  fleet_destroy (fleet);
}

static guint
run_list_size (Fleet *fleet, guint target)
{
  g_autofree char *ids = fleet_ids (fleet, target);

  return (guint)strlen (ids);
}

/* All connections to a node go silent without being closed, while new ones would work.
   The first request is sent `pause_us` later. */
static void
expect_silent_connection_replaced (gulong pause_us)
{
  Fleet *fleet = fleet_create (4);
  g_autofree char *intent = fleet_intent (fleet, SLOTS, 0, NULL);
  guint before;

  fleet_start_relay (fleet, 3);
  fleet_start (fleet, SLOTS, 2);
  assert_int_equal (fleet_apply (fleet, 0, intent, FALSE), 200);
  for (guint i = 0; i < 4; i++)
    fleet_await (fleet, i, "$.generation", 1);
  for (guint i = 0; i < 20; i++)
    {
      g_autofree char *id = g_strdup_printf ("before-%u", i);

      requests_expect (fleet, "POST", "/pay", id, "done", NULL);
    }
  fleet_control_relay (fleet, 3, "hush=1");
  g_usleep (pause_us);
  before = run_list_size (fleet, 3);
  assert_true (before > 0);
  for (guint i = 0; i < RECONNECT_TRIES && run_list_size (fleet, 3) == before; i++)
    {
      g_autofree char *id = g_strdup_printf ("after-%u", i);
      g_autoptr (Answer) answer = fleet_call (fleet, 0, "POST", "/pay", id, "fee=12");

      assert_string_not_equal (answer->outcome, "unknown");
      g_usleep (RECONNECT_PAUSE_US);
    }
  assert_true (run_list_size (fleet, 3) > before);
  fleet_destroy (fleet);
}

static void
test_a_connection_that_goes_silent_is_replaced (void **state)
{
  expect_silent_connection_replaced (0);
}

/* A quiet node is pinged before a request is sent, so the ping is lost and not the
   request. */
static void
test_a_connection_that_loses_pings_is_replaced (void **state)
{
  expect_silent_connection_replaced (QUIET_US);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_teardown (test_unrepeatable_requests_are_not_sent_to_a_stopped_node,
                               fleet_teardown),
    cmocka_unit_test_teardown (test_a_connection_that_goes_silent_is_replaced,
                               fleet_teardown),
    cmocka_unit_test_teardown (test_a_connection_that_loses_pings_is_replaced,
                               fleet_teardown),
  };

  signal (SIGPIPE, SIG_IGN);
  cmocka_set_test_filter (g_getenv ("CMOCKA_TEST_FILTER"));
  return cmocka_run_group_tests (tests, NULL, NULL);
}
