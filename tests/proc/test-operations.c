/*
 * Tests of operations with real processes: floors, planned stops, departures, and
 * configuration under races, lost answers, outages, restarts and frozen nodes.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <io/socket.h>
#include <wire/message.h>
#include <wire/record.h>

#include "fleet.h"

#define SLOTS 10
#define IN_SERVICE "$.services[0].slots_in_service"
#define GENERATION "$.generation"

static void
await_generation (Fleet *fleet, guint nodes, gint64 generation)
{
  for (guint i = 0; i < nodes; i++)
    fleet_await (fleet, i, GENERATION, generation);
}

static Fleet *
start_fleet (guint nodes, guint floor, guint latency_ms)
{
  Fleet *fleet = fleet_create (nodes);
  g_autofree char *intent =
      fleet_intent (fleet, SLOTS, floor, "\"detection\":\"quick\",");

  fleet_start (fleet, SLOTS, latency_ms);
  assert_int_equal (fleet_apply (fleet, 0, intent, FALSE), 200);
  await_generation (fleet, nodes, 1);
  return fleet;
}

static void
test_failing_targets_keep_the_floor_and_recover (void **state)
{
  Fleet *fleet = start_fleet (3, 20, 3);
  GPid load = fleet_start_load (fleet, 7, "-c read:GET:/read:1:0 -r 300 -t 20");
  guint sick = 0;

  for (guint i = 0; i < 3; i++)
    fleet_control_target (fleet, i, "error_percent=60");
  /* Rounds count only after the first ejection, so that the floor is checked for a while
     after it. */
  for (guint round = 0; round<60; round += sick> 0)
    for (guint i = 0; i < 3; i++)
      {
        gint64 slots = fleet_status (fleet, i, IN_SERVICE);

        assert_true (slots >= 20);
        if (slots < 30)
          sick++;
      }
  for (guint i = 0; i < 3; i++)
    fleet_control_target (fleet, i, "error_percent=0");
  for (guint i = 0; i < 3; i++)
    fleet_await (fleet, i, IN_SERVICE, 30);
  fleet_wait_load (fleet, load);
  fleet_destroy (fleet);
}

static void
test_planned_stop_aborts_nothing (void **state)
{
  Fleet *fleet = start_fleet (3, 0, 200);
  /* One load goes to the other nodes, which use the stopping node's target. The other
     goes to the stopping node itself, and ends before the node stops listening. */
  GPid others = fleet_start_load (fleet, 3, "-c pay:POST:/pay:1:100 -n 12 -t 4 --strict");
  GPid own = fleet_start_load (fleet, 4, "-c pay:POST:/pay:1:100 -n 12 -t 1 --strict");

  g_usleep (600000);
  fleet_signal_node (fleet, 2, SIGTERM);
  assert_int_equal (fleet_wait_load (fleet, own), 0);
  assert_int_equal (fleet_wait_node (fleet, 2), 0);
  assert_int_equal (fleet_wait_load (fleet, others), 0);
  fleet_destroy (fleet);
}

static void
test_interrupted_stop_answers_aborted_requests (void **state)
{
  Fleet *fleet = start_fleet (1, 0, 2500);
  GPid load = fleet_start_load (fleet, 1, "-c pay:POST:/pay:1:100 -n 4 -t 0.2");

  g_usleep (600000);
  fleet_signal_node (fleet, 0, SIGINT);
  g_usleep (100000);
  fleet_signal_node (fleet, 0, SIGINT);
  assert_int_equal (fleet_wait_node (fleet, 0), 3);
  /* Requests that the stop aborts are answered, too. */
  fleet_wait_load (fleet, load);
  fleet_destroy (fleet);
}

/* Targets keep answering while the stopping node sends its last answers. Their answers to
   requests that the node has already aborted must not fail an assertion. */
static void
test_late_target_answers_do_not_disturb_a_stop (void **state)
{
  Fleet *fleet = start_fleet (1, 0, 500);
  GPid load = fleet_start_load (fleet, 1, "-c pay:POST:/pay:1:100 -r 18 -t 2");
  g_autofree char *path = fleet_path (fleet, "log");
  g_autofree char *log = NULL;

  g_usleep (900000);
  fleet_signal_node (fleet, 0, SIGINT);
  fleet_signal_node (fleet, 0, SIGINT);
  g_usleep (50000);
  fleet_signal_node (fleet, 0, SIGINT);
  assert_int_equal (fleet_wait_node (fleet, 0), 3);
  fleet_wait_load (fleet, load);
  assert_true (g_file_get_contents (path, &log, NULL, NULL));
  assert_null (strstr (log, "assertion"));
  assert_non_null (strstr (log, "\"reason\":\"draining\""));
  fleet_destroy (fleet);
}

/* A supervisor may send SIGTERM twice when it has two reasons to stop a node. */
static void
test_a_second_sigterm_aborts_nothing (void **state)
{
  Fleet *fleet = start_fleet (1, 0, 700);
  GPid load = fleet_start_load (fleet, 1, "-c pay:POST:/pay:1:100 -n 4 -t 0.2 --strict");

  g_usleep (600000);
  fleet_signal_node (fleet, 0, SIGTERM);
  g_usleep (100000);
  fleet_signal_node (fleet, 0, SIGTERM);
  assert_int_equal (fleet_wait_load (fleet, load), 0);
  assert_int_equal (fleet_wait_node (fleet, 0), 0);
  fleet_destroy (fleet);
}

static guint
total_runs (Fleet *fleet, guint target)
{
  g_autofree char *text = fleet_ids (fleet, target);
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);

  /* The last line feed leaves an empty piece, if there is any line. */
  return *text ? g_strv_length (lines) - 1 : 0;
}

/* Expects that the target runs no new requests while target 0 runs another 100. */
static void
expect_no_new_runs (Fleet *fleet, guint target)
{
  guint before = total_runs (fleet, target);
  guint others = total_runs (fleet, 0);

  while (total_runs (fleet, 0) < others + 100)
    g_usleep (20000);
  assert_int_equal (total_runs (fleet, target), before);
}

static void
test_drained_target_gets_no_new_work (void **state)
{
  Fleet *fleet = start_fleet (3, 10, 5);
  GPid load = fleet_start_load (fleet, 7, "-c pay:POST:/pay:1:100 -n 8 -t 10 --strict");

  assert_int_equal (fleet_apply (fleet, 1, "{\"drain\":[\"pay-2\"]}", FALSE), 200);
  await_generation (fleet, 3, 2);
  while (fleet_status (fleet, 2, "$.own_targets[0].in_use") > 0)
    g_usleep (5000);
  expect_no_new_runs (fleet, 2);
  assert_int_equal (fleet_wait_load (fleet, load), 0);
  fleet_destroy (fleet);
}

static void
test_a_target_leaves_by_the_platforms_list (void **state)
{
  Fleet *fleet = start_fleet (3, 10, 5);
  GPid load = fleet_start_load (fleet, 7, "-c pay:POST:/pay:1:100 -n 8 -t 16 --strict");

  fleet_control_platform (
      fleet, "vms=%5B%7B%22name%22:%22vm-2%22,%22state%22:%22leaving%22%7D%5D");
  fleet_await (fleet, 2, "$.own_targets[0].leaving", 1);
  while (fleet_status (fleet, 2, "$.own_targets[0].in_use") > 0)
    g_usleep (5000);
  expect_no_new_runs (fleet, 2);
  assert_int_equal (fleet_wait_load (fleet, load), 0);
  fleet_destroy (fleet);
}

static void
test_plan_below_a_floor_is_refused_unless_forced (void **state)
{
  Fleet *fleet = start_fleet (3, 30, 5);

  assert_int_equal (fleet_apply (fleet, 0, "{\"drain\":[\"pay-2\"]}", FALSE), 409);
  assert_int_equal (fleet_status (fleet, 0, GENERATION), 1);
  assert_int_equal (fleet_apply (fleet, 0, "{\"drain\":[\"pay-2\"]}", TRUE), 200);
  await_generation (fleet, 3, 2);
  fleet_destroy (fleet);
}

static void
test_lost_answers_of_writes_that_took_effect (void **state)
{
  Fleet *fleet = fleet_create (3);
  g_autofree char *intent = fleet_intent (fleet, SLOTS, 0, NULL);
  g_autofree char *body = NULL;
  g_autoptr (Answer) again = NULL;

  fleet_start (fleet, SLOTS, 3);
  /* The writes are the service, two shards and the head. The answer to the first attempt
     at each is lost. */
  body = fleet_plan (fleet, 0, intent, FALSE);
  fleet_control_platform (fleet, "lose=4");
  {
    g_autoptr (Answer) answer =
        fleet_call_operators (fleet, 0, "POST", "/v1/confirm", body);

    if (answer->status == 503)
      {
        g_autoptr (Answer) second =
            fleet_call_operators (fleet, 0, "POST", "/v1/confirm", body);

        assert_int_equal (second->status, 200);
      }
    else
      assert_int_equal (answer->status, 200);
  }
  await_generation (fleet, 3, 1);
  /* A second confirmation, through another node, changes nothing. */
  again = fleet_call_operators (fleet, 2, "POST", "/v1/confirm", body);
  assert_int_equal (again->status, 200);
  assert_int_equal (fleet_status (fleet, 2, GENERATION), 1);
  fleet_destroy (fleet);
}

typedef struct
{
  Fleet *fleet;
  guint node;
  char *body;
  long status;
} Racer;

static gpointer
race (gpointer data)
{
  Racer *racer = data;
  g_autoptr (Answer) answer = fleet_call_operators (racer->fleet, racer->node, "POST",
                                                    "/v1/confirm", racer->body);

  racer->status = answer->status;
  return NULL;
}

static void
test_two_operators_race_and_one_wins (void **state)
{
  Fleet *fleet = start_fleet (3, 0, 3);

  fleet_control_platform (fleet, "delay_ms=20");
  for (guint round = 0; round < 5; round++)
    {
      guint generation = 1 + round;
      g_autofree char *one = g_strdup_printf ("{\"drain\":[\"pay-%u\"]}", round % 2);
      g_autofree char *two =
          g_strdup_printf ("{\"restore\":[\"pay-%u\"],\"drain\":[\"pay-2\"]}", round % 2);
      Racer racers[2] = { { fleet, 0, NULL, 0 }, { fleet, 1, NULL, 0 } };
      GThread *threads[2];

      await_generation (fleet, 2, generation);
      racers[0].body = fleet_plan (fleet, 0, one, TRUE);
      racers[1].body = fleet_plan (fleet, 1, two, TRUE);
      for (guint i = 0; i < 2; i++)
        threads[i] = g_thread_new ("racer", race, &racers[i]);
      for (guint i = 0; i < 2; i++)
        g_thread_join (threads[i]);
      if (racers[0].status + racers[1].status != 200 + 409)
        fail_msg ("round %u: %ld and %ld", round, racers[0].status, racers[1].status);
      await_generation (fleet, 3, generation + 1);
      for (guint i = 0; i < 3; i++)
        assert_int_equal (fleet_status (fleet, i, GENERATION), generation + 1);
      g_free (racers[0].body);
      g_free (racers[1].body);
    }
  fleet_destroy (fleet);
}

static void
test_outage_restart_and_frozen_node_never_revert (void **state)
{
  Fleet *fleet = start_fleet (4, 0, 3);
  g_autoptr (Answer) refused = NULL;
  g_autofree char *body = NULL;

  /* A frozen node that misses two changes resumes with the newest generation. */
  fleet_signal_node (fleet, 3, SIGSTOP);
  assert_int_equal (fleet_apply (fleet, 0, "{\"drain\":[\"pay-2\"]}", TRUE), 200);
  await_generation (fleet, 3, 2);
  assert_int_equal (fleet_apply (fleet, 1, "{\"drain\":[\"pay-1\"]}", TRUE), 200);
  await_generation (fleet, 3, 3);
  fleet_control_platform (fleet, "down=1");
  fleet_signal_node (fleet, 3, SIGCONT);
  await_generation (fleet, 4, 3);

  /* A node that restarts while the platform is down still gets the newest generation. */
  fleet_signal_node (fleet, 0, SIGKILL);
  fleet_start_node (fleet, 0);
  fleet_await (fleet, 0, "$.ready", 1);
  assert_int_equal (fleet_status (fleet, 0, GENERATION), 3);
  {
    g_autoptr (Answer) answer = fleet_call (fleet, 0, "POST", "/pay", "id-outage", "x");

    assert_string_equal (answer->outcome, "done");
  }
  /* Meanwhile a change is refused, because it cannot be stored. */
  body = fleet_plan (fleet, 0, "{\"restore\":[\"pay-1\"]}", FALSE);
  refused = fleet_call_operators (fleet, 0, "POST", "/v1/confirm", body);
  assert_int_equal (refused->status, 503);
  fleet_control_platform (fleet, "down=0");
  {
    g_autoptr (Answer) answer =
        fleet_call_operators (fleet, 0, "POST", "/v1/confirm", body);

    assert_int_equal (answer->status, 200);
  }
  await_generation (fleet, 4, 4);
  fleet_destroy (fleet);
}

/* Makes a call to the nodes' listener as the first on its connection, without SW_HELLO
   before it. Returns the kind of the reply. */
static WireReply
call_unauthenticated (
    guint32 procedure, xdrproc_t args_proc, void *args, xdrproc_t proc, void *result)
{
  g_autofree char *address = fleet_address ("nodes", 0);
  g_autoptr (GByteArray) message = wire_call_encode (1, procedure, args_proc, args);
  g_autoptr (GByteArray) stream = g_byte_array_new ();
  g_autoptr (GByteArray) in = g_byte_array_new ();
  g_autoptr (GByteArray) record = g_byte_array_new ();
  struct sockaddr_in to;
  guint8 buffer[4096];
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  gssize n;

  assert_true (socket_address_parse (address, &to));
  assert_int_equal (connect (fd, (struct sockaddr *)&to, sizeof to), 0);
  record_append (stream, message);
  assert_int_equal (send (fd, stream->data, stream->len, MSG_NOSIGNAL), stream->len);
  while (record_take (in, WIRE_RECORD_MAX, record) == RECORD_MORE &&
         (n = recv (fd, buffer, sizeof buffer, 0)) > 0)
    g_byte_array_append (in, buffer, (guint)n);
  close (fd);
  return wire_reply_decode (record->data, record->len, proc, result);
}

static void
test_unauthenticated_calls_are_refused (void **state)
{
  Fleet *fleet = start_fleet (1, 0, 3);
  sw_head_res head = { 0 };
  sw_hello_res hello = { 0 };
  sw_submit_res submitted = { 0 };
  sw_hello_args args = { .token = "not-the-fleet-token" };
  sw_submit_args submit = { 0 };
  g_autoptr (Answer) denied = NULL;

  args.from.node = "mallory";
  args.from.hall = "h";
  args.from.address = "127.0.0.1:1";
  submit.attempt.node = "mallory";
  submit.target = "pay-0";
  submit.tenant = "w";
  submit.method = "POST";
  submit.path = "/pay";
  submit.repeatable = TRUE;
  submit.remaining_ms = 1000;
  assert_int_equal (
      call_unauthenticated (SW_HEAD, wire_void, NULL, (xdrproc_t)xdr_sw_head_res, &head),
      WIRE_REPLY_DENIED);
  assert_int_equal (call_unauthenticated (SW_HELLO, (xdrproc_t)xdr_sw_hello_args, &args,
                                          (xdrproc_t)xdr_sw_hello_res, &hello),
                    WIRE_REPLY_DENIED);
  assert_int_equal (call_unauthenticated (SW_SUBMIT, (xdrproc_t)xdr_sw_submit_args,
                                          &submit, (xdrproc_t)xdr_sw_submit_res,
                                          &submitted),
                    WIRE_REPLY_DENIED);
  assert_int_equal (total_runs (fleet, 0), 0);
  denied = fleet_call (fleet, 0, "GET", "/v1/status", "x", NULL);
  assert_int_equal (denied->status, 404);
  fleet_destroy (fleet);
}

static void
test_bad_settings_end_the_daemon_with_a_list (void **state)
{
  const char *build = g_getenv ("SWITCHMILL_BUILD");
  g_autofree char *program =
      g_build_filename (build ? build : "build", "daemon", "switchmilld", NULL);
  g_autofree char *path =
      g_build_filename (g_get_tmp_dir (), "switchmill-bad.json", NULL);
  g_autofree char *errors = NULL;
  char *words[] = { program, path, NULL };
  int status = 0;

  g_file_set_contents (path, "{\"node\":\"a b\",\"colour\":1}", -1, NULL);
  assert_true (g_spawn_sync (NULL, words, NULL, G_SPAWN_DEFAULT, NULL, NULL, NULL,
                             &errors, &status, NULL));
  assert_int_equal (WEXITSTATUS (status), 2);
  assert_non_null (strstr (errors, "$.node: "));
  assert_non_null (strstr (errors, "unknown key \"colour\""));
  assert_non_null (strstr (errors, "$.platform: is missing"));
  g_unlink (path);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_teardown (test_failing_targets_keep_the_floor_and_recover,
                               fleet_teardown),
    cmocka_unit_test_teardown (test_planned_stop_aborts_nothing, fleet_teardown),
    cmocka_unit_test_teardown (test_interrupted_stop_answers_aborted_requests,
                               fleet_teardown),
    cmocka_unit_test_teardown (test_late_target_answers_do_not_disturb_a_stop,
                               fleet_teardown),
    cmocka_unit_test_teardown (test_a_second_sigterm_aborts_nothing, fleet_teardown),
    cmocka_unit_test_teardown (test_drained_target_gets_no_new_work, fleet_teardown),
    cmocka_unit_test_teardown (test_a_target_leaves_by_the_platforms_list,
                               fleet_teardown),
    cmocka_unit_test_teardown (test_plan_below_a_floor_is_refused_unless_forced,
                               fleet_teardown),
    cmocka_unit_test_teardown (test_lost_answers_of_writes_that_took_effect,
                               fleet_teardown),
    cmocka_unit_test_teardown (test_two_operators_race_and_one_wins, fleet_teardown),
    cmocka_unit_test_teardown (test_unauthenticated_calls_are_refused, fleet_teardown),
    cmocka_unit_test (test_bad_settings_end_the_daemon_with_a_list),
    cmocka_unit_test_teardown (test_outage_restart_and_frozen_node_never_revert,
                               fleet_teardown),
  };

  signal (SIGPIPE, SIG_IGN);
  cmocka_set_test_filter (g_getenv ("CMOCKA_TEST_FILTER"));
  return cmocka_run_group_tests (tests, NULL, NULL);
}
