/* A request with a ticket runs once, however often and through which nodes it is sent. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <signal.h>
#include <string.h>

#include "fleet.h"
#include "requests-fleet.h"

typedef struct
{
  Fleet *fleet;
  guint node;
  const char *ticket;
  Answer *answer;
} Asker;

static gpointer
ask (gpointer data)
{
  Asker *asker = data;

  asker->answer = fleet_call_ticket (asker->fleet, asker->node, "/pay", "id-twin",
                                     asker->ticket, "fee=12");
  return NULL;
}

static guint
runs_everywhere (Fleet *fleet, const char *id)
{
  guint runs = 0;

  for (guint i = 0; i < 3; i++)
    runs += fleet_runs (fleet, i, id);
  return runs;
}

static guint
find_target_that_ran (Fleet *fleet, const char *id)
{
  for (guint i = 0; i < 3; i++)
    if (fleet_runs (fleet, i, id))
      return i;
  fail_msg ("%s ran nowhere", id);
  return 0;
}

static void
test_a_request_with_a_ticket_runs_once (void **state)
{
  Fleet *fleet = requests_start (3, 300);
  g_autoptr (Answer) fresh = fleet_call_ticket (fleet, 0, "/pay", "none", "new", "");
  g_autoptr (Answer) after = NULL;
  g_autoptr (Answer) forged = NULL;
  g_autofree char *bad = NULL;
  Asker askers[3];
  GThread *threads[3];
  guint home;

  assert_int_equal (fresh->status, 201);
  assert_non_null (fresh->ticket);
  /* Three callers at once, each through another node, cause one run and one answer. */
  for (guint i = 0; i < 3; i++)
    {
      askers[i] = (Asker){ fleet, i, fresh->ticket, NULL };
      threads[i] = g_thread_new ("asker", ask, &askers[i]);
    }
  for (guint i = 0; i < 3; i++)
    g_thread_join (threads[i]);
  for (guint i = 0; i < 3; i++)
    {
      assert_string_equal (askers[i].answer->outcome, "done");
      assert_string_equal (askers[i].answer->body, askers[0].answer->body);
    }
  assert_int_equal (runs_everywhere (fleet, "id-twin"), 1);
  /* The ticket never runs again, not even after the sidecar's restart has cleared its
     memory. */
  home = find_target_that_ran (fleet, "id-twin");
  fleet_signal_node (fleet, home, SIGKILL);
  fleet_start_node (fleet, home);
  fleet_await (fleet, home, "$.ready", 1);
  after = fleet_call_ticket (fleet, (home + 1) % 3, "/pay", "id-twin", fresh->ticket,
                             "fee=12");
  assert_string_equal (after->outcome, "unknown");
  assert_int_equal (runs_everywhere (fleet, "id-twin"), 1);
  bad = g_strconcat (fresh->ticket, "0", NULL);
  forged = fleet_call_ticket (fleet, 0, "/pay", "id-forged", bad, "fee=12");
  assert_int_equal (forged->status, 400);
  assert_int_equal (runs_everywhere (fleet, "id-forged"), 0);
  for (guint i = 0; i < 3; i++)
    answer_free (askers[i].answer);
  fleet_destroy (fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_teardown (test_a_request_with_a_ticket_runs_once, fleet_teardown),
  };

  signal (SIGPIPE, SIG_IGN);
  cmocka_set_test_filter (g_getenv ("CMOCKA_TEST_FILTER"));
  return cmocka_run_group_tests (tests, NULL, NULL);
}
