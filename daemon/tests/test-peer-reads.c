/* Reads from nodes that do not answer, on a manual clock. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <io/socket.h>
#include <unistd.h>

#include "peer-reads.h"
#include "peers.h"

#define STEP_US (10 * MS_US)
#define TIMEOUT_US (1 * SECOND_US)
#define LISTENER "127.0.0.1:18299"
#define READS 8u

typedef struct
{
  Node node;
  Settings settings;
  gint64 until_us;
  guint ended;
  gint64 ended_us; /* when the last read ended */
  RpcOutcome outcome;
} Fixture;

static const RpcProcedure head = { SW_HEAD, wire_void, (xdrproc_t)xdr_sw_head_res,
                                   sizeof (sw_head_res) };

static Fixture *fixture;

static gint64
pass_time (gpointer data)
{
  clock_advance (fixture->node.clock, STEP_US);
  if (clock_now (fixture->node.clock) >= fixture->until_us)
    loop_quit (fixture->node.loop);
  return 0;
}

static void
run_for (gint64 span_us)
{
  fixture->until_us = clock_now (fixture->node.clock) + span_us;
  loop_run (fixture->node.loop);
}

static int
setup (void **state)
{
  static const char *const nobody[] = { NULL };
  static const Member self = { .node = "self", .hall = "hall", .address = "127.0.0.1:1" };
  Node *node;

  fixture = g_new0 (Fixture, 1);
  node = &fixture->node;
  fixture->settings =
      (Settings){ .node = "self", .hall = "hall", .fleet_token = "token" };
  node->settings = &fixture->settings;
  node->clock = clock_create_manual (SECOND_US);
  node->loop = loop_create (node->clock);
  loop_add_prepare (node->loop, pass_time, NULL);
  node->rand = g_rand_new_with_seed (1);
  node->traffic = traffic_create (node->loop);
  node->list = fleet_list_create ();
  node->members =
      members_create (&self, nobody, &members_timing_default, node->rand, node->clock);
  fleet_list_add (node->list, "other", "hall", LISTENER);
  node->reads = peer_reads_create (node);
  return 0;
}

static int
teardown (void **state)
{
  Node *node = &fixture->node;

  peer_reads_destroy (node->reads);
  members_destroy (node->members);
  fleet_list_destroy (node->list);
  traffic_destroy (node->traffic);
  g_rand_free (node->rand);
  loop_destroy (node->loop);
  clock_destroy (node->clock);
  g_free (fixture);
  return 0;
}

static void
on_read (RpcOutcome outcome, void *result, gpointer data)
{
  fixture->ended++;
  fixture->ended_us = clock_now (fixture->node.clock);
  fixture->outcome = outcome;
}

static void
read_head (const char *vm)
{
  peer_reads_call (fixture->node.reads, vm, &head, NULL, TIMEOUT_US, on_read, NULL);
}

/* Accepts and closes the connections that wait at a listener, and returns their number.
 */
static guint
count_connections (int listener)
{
  guint count = 0;
  int fd;

  while ((fd = socket_accept (listener)) >= 0)
    {
      close (fd);
      count++;
    }
  return count;
}

/* Many reads in flight replace one connection together, twice within their time. */
static void
test_reads_of_a_silent_node_open_many_connections (void **state)
{
  int listener = socket_listen (LISTENER, NULL);
  gint64 began_us = clock_now (fixture->node.clock);

  assert_true (listener >= 0);
  for (guint i = 0; i < READS; i++)
    read_head ("other");
  run_for (2 * TIMEOUT_US);
  assert_int_equal (fixture->ended, READS);
  assert_int_equal (fixture->outcome, RPC_TIMEOUT);
  assert_in_range (fixture->ended_us - began_us, TIMEOUT_US, TIMEOUT_US + 2 * STEP_US);
  assert_in_range (count_connections (listener), 2, 3);
  close (listener);
}

static void
test_reads_of_an_absent_node_wait (void **state)
{
  read_head ("unknown");
  assert_int_equal (fixture->ended, 1);
  assert_int_equal (fixture->outcome, RPC_UNSENT);
  /* Nothing listens there. */
  read_head ("other");
  run_for (TIMEOUT_US / 2);
  assert_int_equal (fixture->ended, 2);
  assert_int_equal (fixture->outcome, RPC_UNSENT);
}

/* A read that is in flight when the node ends is reported once. */
static void
test_reads_outlive_their_node (void **state)
{
  int listener = socket_listen (LISTENER, NULL);

  assert_true (listener >= 0);
  read_head ("other");
  run_for (TIMEOUT_US / 2);
  assert_int_equal (fixture->ended, 0);
  peer_reads_destroy (g_steal_pointer (&fixture->node.reads));
  assert_int_equal (fixture->ended, 1);
  assert_int_equal (fixture->outcome, RPC_LOST);
  close (listener);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_reads_of_a_silent_node_open_many_connections,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (test_reads_of_an_absent_node_wait, setup, teardown),
    cmocka_unit_test_setup_teardown (test_reads_outlive_their_node, setup, teardown),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
