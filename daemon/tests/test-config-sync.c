/* Times at which nodes read their configuration, and which nodes watch the store, on a
   manual clock. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <string.h>

#include <core/config-draft.h>

#include "adapter.h"
#include "config-sync.h"
#include "peer-reads.h"

#define NODES 100u
#define SPAN_S 120u
#define STEP_US (100 * MS_US)
/* Nodes of those started together that may read within one second. */
#define READS_PER_SECOND_MAX (NODES / 10)
#define POLLED_WITHIN_US (90 * SECOND_US)

typedef struct
{
  Node node;
  ConfigSync *sync;
  guint reads;
} Reader;

typedef struct
{
  Clock *clock;
  Loop *loop;
  Reader readers[NODES];
  guint reads[SPAN_S]; /* by all nodes, per second */
  gint64 began_us;
  guint polled_in_time; /* nodes that read again within POLLED_WITHIN_US */
} Fixture;

/* Stands for a store that holds no configuration, and counts the reads. */
static Fixture *fixture;

static gpointer
source_create (Node *node)
{
  return node;
}

static void
source_destroy (gpointer source)
{
}

static Reader *
reader_of (const Node *node)
{
  for (guint i = 0; i < NODES; i++)
    if (&fixture->readers[i].node == node)
      return &fixture->readers[i];
  return NULL;
}

static void
source_read (gpointer source, ConfigReadDone done, gpointer data)
{
  static const ConfigReading nothing = { .outcome = CONFIG_READ_NONE };
  Reader *reader = reader_of (source);
  gint64 age_us = clock_now (fixture->clock) - fixture->began_us;

  fixture->reads[MIN (age_us / SECOND_US, SPAN_S - 1)]++;
  if (++reader->reads == 2 && age_us <= POLLED_WITHIN_US)
    fixture->polled_in_time++;
  done (&nothing, data);
}

/* Never answers, because the configuration never changes. */
static void
source_watch (gpointer source,
              const WatchTimes *times,
              ConfigReadDone done,
              gpointer data)
{
}

static gboolean
source_unwatch (gpointer source)
{
  return TRUE;
}

static void
source_part (gpointer source, const char *digest, ConfigPartDone done, gpointer data)
{
  done (NULL, data);
}

static const ConfigSource source = { .create = source_create,
                                     .destroy = source_destroy,
                                     .read = source_read,
                                     .watch = source_watch,
                                     .unwatch = source_unwatch,
                                     .part = source_part,
                                     .serves_empty = TRUE };
static const Adapter adapter = { .config = &source };

/* Advances the clock instead of letting the loop wait. */
static gint64
pass_time (gpointer data)
{
  clock_advance (fixture->clock, STEP_US);
  if (clock_now (fixture->clock) - fixture->began_us >= SPAN_S * SECOND_US)
    loop_quit (fixture->loop);
  return 0;
}

static void
reader_create (Reader *reader, guint32 seed)
{
  static const char *const nobody[] = { NULL };
  static const Settings settings = { .node = "vm", .hall = "hall" };
  static const Member self = { .node = "vm", .hall = "hall", .address = "127.0.0.1:1" };
  Node *node = &reader->node;

  node->adapter = &adapter;
  node->settings = &settings;
  node->list = fleet_list_create ();
  node->clock = fixture->clock;
  node->loop = fixture->loop;
  node->rand = g_rand_new_with_seed (seed);
  node->members =
      members_create (&self, nobody, &members_timing_default, node->rand, node->clock);
  reader->sync = node->config = config_sync_create (node);
}

static void
reader_destroy (Reader *reader)
{
  config_sync_destroy (reader->sync);
  members_destroy (reader->node.members);
  fleet_list_destroy (reader->node.list);
  g_rand_free (reader->node.rand);
}

static int
setup (void **state)
{
  fixture = g_new0 (Fixture, 1);
  fixture->began_us = SECOND_US;
  fixture->clock = clock_create_manual (fixture->began_us);
  fixture->loop = loop_create (fixture->clock);
  loop_add_prepare (fixture->loop, pass_time, fixture);
  for (guint i = 0; i < NODES; i++)
    reader_create (&fixture->readers[i], i + 1);
  return 0;
}

static int
teardown (void **state)
{
  for (guint i = 0; i < NODES; i++)
    reader_destroy (&fixture->readers[i]);
  loop_destroy (fixture->loop);
  clock_destroy (fixture->clock);
  g_free (fixture);
  return 0;
}

/*
 * Guards against polls in step. 79 nodes that started together all read their unchanged
 * configuration of 4,200 routes in the same second a minute later, because their first
 * wait before a poll was equal. The store sent 31.7 MB in that second, and 111 of 189
 * requests were late, because each node spent 145 ms of processor time on the
 * configuration, 1.5 s at a tenth of a core.
 */
static void
test_nodes_that_start_together_poll_apart (void **state)
{
  guint most = 0;

  loop_run (fixture->loop);
  /* Each node reads once when it starts. */
  assert_int_equal (fixture->reads[0], NODES);
  for (guint second = 1; second < SPAN_S; second++)
    most = MAX (most, fixture->reads[second]);
  print_message ("%u of %u nodes read in one second\n", most, NODES);
  assert_int_equal (fixture->polled_in_time, NODES);
  assert_in_range (most, 1, READS_PER_SECOND_MAX);
}

#define LISTED 36u
/* Turns of the loop in which calls between two nodes are answered. */
#define TURNS 100u
#define HALLS 3u
/* The watchers of all halls together. */
#define WATCHERS 9u

/* Returns whether a node that has read the platform's list, but has not met any other
   node yet, watches the store. */
static gboolean
watches_alone (guint i)
{
  static const char *const nobody[] = { NULL };
  g_autofree char *name = g_strdup_printf ("vm-%u", i);
  g_autofree char *hall = g_strdup_printf ("hall-%u", i % HALLS);
  Settings settings = { .node = name, .hall = hall };
  Member self = { .node = name, .hall = hall, .address = "127.0.0.1:1" };
  Clock *clock = clock_create_manual (SECOND_US);
  Node node = { .adapter = &adapter, .settings = &settings, .clock = clock };
  gboolean watches;

  node.list = fleet_list_create ();
  node.loop = loop_create (clock);
  node.rand = g_rand_new_with_seed (i);
  node.members =
      members_create (&self, nobody, &members_timing_default, node.rand, clock);
  for (guint j = 0; j < LISTED; j++)
    {
      g_autofree char *other = g_strdup_printf ("vm-%u", j);
      g_autofree char *where = g_strdup_printf ("hall-%u", j % HALLS);

      fleet_list_add (node.list, other, where, "127.0.0.1:2");
    }
  fleet_list_note_read (node.list);
  node.config = config_sync_create (&node);
  clock_advance (clock, 2 * SECOND_US);
  watches = config_sync_is_watcher (node.config);
  config_sync_destroy (node.config);
  members_destroy (node.members);
  g_rand_free (node.rand);
  loop_destroy (node.loop);
  fleet_list_destroy (node.list);
  clock_destroy (clock);
  return watches;
}

/* All nodes start at once, and gossip is late. */
static void
test_nodes_that_have_met_no_other_do_not_all_watch (void **state)
{
  guint watchers = 0;

  for (guint i = 0; i < LISTED; i++)
    watchers += watches_alone (i);
  assert_int_equal (watchers, WATCHERS);
}

/* A watch in progress, and the clock of the node that makes it. */
static gboolean watching;
static Clock *watch_clock;
static gint64 watch_until_us;
static Loop *watch_loop;

static void
read_nothing (gpointer source, ConfigReadDone done, gpointer data)
{
  static const ConfigReading nothing = { .outcome = CONFIG_READ_NONE };

  done (&nothing, data);
}

static void
begin_watch (gpointer source, const WatchTimes *times, ConfigReadDone done, gpointer data)
{
  assert_false (watching);
  watching = TRUE;
}

static gboolean
end_watch (gpointer source)
{
  assert_true (watching);
  watching = FALSE;
  return TRUE;
}

static guint turns_left;

static gint64
pass_watch_time (gpointer data)
{
  /* The clock stands while messages pass. */
  if (turns_left > 0)
    {
      if (--turns_left == 0)
        loop_quit (watch_loop);
      return MS_US;
    }
  clock_advance (watch_clock, STEP_US);
  if (clock_now (watch_clock) >= watch_until_us)
    loop_quit (watch_loop);
  return 0;
}

static void
run_for (gint64 span_us)
{
  watch_until_us = clock_now (watch_clock) + span_us;
  loop_run (watch_loop);
}

static void
pass_messages (void)
{
  turns_left = TURNS;
  loop_run (watch_loop);
}

/* Adds members of the own hall, or lets them die. */
static void
merge_members (Members *members, MemberStatus status)
{
  for (guint i = 0; i < LISTED; i++)
    {
      g_autofree char *name = g_strdup_printf ("other-%u", i);
      Member other = { .node = name,
                       .hall = "hall",
                       .address = "127.0.0.1:2",
                       .incarnation = 1,
                       .status = status };

      members_merge (members, &other);
    }
}

static const Settings lone_settings = {
  .node = "self", .hall = "hall", .fleet_token = "token", .apply_us = 2 * SECOND_US
};
static const Member lone_self = { .node = "self",
                                  .hall = "hall",
                                  .address = "127.0.0.1:1" };
static const ConfigSource lone_source = { .create = source_create,
                                          .destroy = source_destroy,
                                          .read = read_nothing,
                                          .watch = begin_watch,
                                          .unwatch = end_watch,
                                          .part = source_part,
                                          .serves_empty = TRUE };
static const Adapter lone_adapter = { .config = &lone_source };

/* Creates a node that has met no other; the platform lists `listed` others of its hall.
 */
static Node
lone_node (guint listed)
{
  static const char *const nobody[] = { NULL };
  Node node = { .adapter = &lone_adapter, .settings = &lone_settings };

  watching = FALSE;
  node.clock = watch_clock = clock_create_manual (SECOND_US);
  node.loop = watch_loop = loop_create (watch_clock);
  loop_add_prepare (watch_loop, pass_watch_time, NULL);
  node.list = fleet_list_create ();
  for (guint i = 0; i < listed; i++)
    {
      g_autofree char *name = g_strdup_printf ("gone-%u", i);

      fleet_list_add (node.list, name, "hall", "127.0.0.1:2");
    }
  node.rand = g_rand_new_with_seed (1);
  node.members = members_create (&lone_self, nobody, &members_timing_default, node.rand,
                                 watch_clock);
  return node;
}

static void
lone_node_clear (Node *node)
{
  config_sync_destroy (node->config);
  members_destroy (node->members);
  g_rand_free (node->rand);
  fleet_list_destroy (node->list);
  loop_destroy (watch_loop);
  clock_destroy (watch_clock);
}

/* Others take its place; its call to the store would last for seconds. */
static void
test_a_node_that_is_outranked_goes_on_watching (void **state)
{
  Node node = lone_node (0);

  node.config = config_sync_create (&node);
  run_for (3 * SECOND_US);
  assert_true (watching);
  merge_members (node.members, MEMBER_ALIVE);
  config_sync_note_generation (node.config, "other-1", 0);
  run_for (500 * MS_US);
  assert_false (watching);
  merge_members (node.members, MEMBER_DEAD);
  run_for (2 * SECOND_US);
  assert_true (watching);
  lone_node_clear (&node);
}

/* The nodes that the platform lists have gone. */
static void
test_a_node_that_hears_of_no_other_does_not_watch (void **state)
{
  Node node = lone_node (LISTED);

  node.config = config_sync_create (&node);
  run_for (3 * SECOND_US);
  assert_true (watching);
  /* Once it hears of others, its rank decides. */
  merge_members (node.members, MEMBER_ALIVE);
  config_sync_note_generation (node.config, "other-1", 0);
  run_for (500 * MS_US);
  assert_false (watching);
  lone_node_clear (&node);
}

#define OTHER_ADDRESS "127.0.0.1:18298"

/* The requests for a head that another node has received, and the last one. */
typedef struct
{
  guint count;
  RpcConn *conn;
  guint32 xid;
} HeadRequests;

/* Plays the other node: welcomes this one, and keeps its requests for a head. */
static void
on_other_called (RpcConn *conn, const WireCall *call, XDR *in, gpointer data)
{
  HeadRequests *requests = data;
  sw_hello_res res = { .welcome = TRUE, .stamp = { .node = (char *)"other" } };

  if (call->procedure == SW_HELLO)
    {
      rpc_conn_reply (conn, call->xid, (xdrproc_t)xdr_sw_hello_res, &res);
      return;
    }
  requests->count++;
  requests->conn = conn;
  requests->xid = call->xid;
}

/* It was being asked for the one before, and is heard next only a second later. */
static void
test_a_node_that_announces_a_change_while_asked_is_not_asked_again (void **state)
{
  static const RpcLimits limits = { 4, 60 * SECOND_US };
  HeadRequests requests = { 0 };
  sw_head_res res = { .generation = 5, .head.head_val = (char *)"" };
  Node node = lone_node (0);
  RpcServer *server = rpc_server_create (node.loop, OTHER_ADDRESS, &limits,
                                         on_other_called, &requests, NULL);
  Member other = { .node = "other",
                   .hall = "hall",
                   .address = OTHER_ADDRESS,
                   .incarnation = 1,
                   .status = MEMBER_ALIVE };

  assert_non_null (server);
  node.traffic = traffic_create (node.loop);
  node.metrics = metrics_create ();
  node.reads = peer_reads_create (&node);
  node.config = config_sync_create (&node);
  /* The requests of a starting node do not count. */
  run_for (STEP_US);
  members_merge (node.members, &other);
  config_sync_note_generation (node.config, "other", 5);
  pass_messages ();
  assert_int_equal (requests.count, 1);
  config_sync_note_generation (node.config, "other", 6);
  rpc_conn_reply (requests.conn, requests.xid, (xdrproc_t)xdr_sw_head_res, &res);
  pass_messages ();
  assert_int_equal (requests.count, 2);
  /* It announces nothing more, whatever it answers. */
  rpc_conn_reply (requests.conn, requests.xid, (xdrproc_t)xdr_sw_head_res, &res);
  pass_messages ();
  assert_int_equal (requests.count, 2);
  peer_reads_destroy (node.reads);
  rpc_server_destroy (server);
  traffic_destroy (node.traffic);
  metrics_destroy (node.metrics);
  lone_node_clear (&node);
}

#define THIRD_ADDRESS "127.0.0.1:18299"

/* A node that welcomes this one, tells its head, and never sends a part. */
typedef struct
{
  char *name;
  char *head;
  guint64 generation;
  guint parts_asked;
} Holder;

static void
on_holder_called (RpcConn *conn, const WireCall *call, XDR *in, gpointer data)
{
  Holder *holder = data;
  sw_hello_res hello = { .welcome = TRUE, .stamp.node = holder->name };
  sw_head_res head = { .generation = holder->generation };

  if (call->procedure == SW_HELLO)
    {
      rpc_conn_reply (conn, call->xid, (xdrproc_t)xdr_sw_hello_res, &hello);
    }
  else if (call->procedure == SW_HEAD)
    {
      head.head.head_val = holder->head;
      head.head.head_len = (u_int)strlen (holder->head);
      rpc_conn_reply (conn, call->xid, (xdrproc_t)xdr_sw_head_res, &head);
    }
  else if (call->procedure == SW_PART)
    {
      holder->parts_asked++;
    }
}

/* Returns the head of a configuration with one service. */
static char *
some_head (guint64 generation)
{
  g_autoptr (GPtrArray) none = g_ptr_array_new ();
  Service service = {
    .name = (char *)"pay", .tenant = (char *)"default", .dynamic = TRUE, .targets = none
  };
  ConfigDraft *draft = config_draft_create ();
  g_autoptr (GPtrArray) parts = NULL;
  ConfigHead *head;
  char *text;

  config_draft_add_service (draft, &service);
  parts = config_draft_parts (draft);
  config_draft_destroy (draft);
  head = config_draft_head (parts, generation);
  text = config_head_text (head);
  config_head_destroy (head);
  return text;
}

/* It sat out a second before it asked another node. */
static void
test_a_node_that_goes_silent_in_a_fetch_delays_a_change (void **state)
{
  static const RpcLimits limits = { 4, 60 * SECOND_US };
  g_autofree char *head = some_head (5);
  Holder silent = { (char *)"other", head, 5, 0 };
  Holder third = { (char *)"third", head, 5, 0 };
  Node node = lone_node (0);
  RpcServer *servers[] = { rpc_server_create (node.loop, OTHER_ADDRESS, &limits,
                                              on_holder_called, &silent, NULL),
                           rpc_server_create (node.loop, THIRD_ADDRESS, &limits,
                                              on_holder_called, &third, NULL) };
  Member other = { .node = "other",
                   .hall = "hall",
                   .address = OTHER_ADDRESS,
                   .incarnation = 1,
                   .status = MEMBER_ALIVE };

  assert_non_null (servers[0]);
  assert_non_null (servers[1]);
  node.traffic = traffic_create (node.loop);
  node.metrics = metrics_create ();
  node.reads = peer_reads_create (&node);
  node.config = config_sync_create (&node);
  run_for (STEP_US);
  members_merge (node.members, &other);
  config_sync_note_generation (node.config, "other", 5);
  pass_messages ();
  assert_true (silent.parts_asked > 0);
  other.node = "third";
  other.address = THIRD_ADDRESS;
  members_merge (node.members, &other);
  config_sync_note_generation (node.config, "third", 5);
  run_for (300 * MS_US);
  pass_messages ();
  assert_true (third.parts_asked > 0);
  peer_reads_destroy (node.reads);
  rpc_server_destroy (servers[0]);
  rpc_server_destroy (servers[1]);
  traffic_destroy (node.traffic);
  metrics_destroy (node.metrics);
  lone_node_clear (&node);
}

static void
refuse_watch (gpointer source,
              const WatchTimes *times,
              ConfigReadDone done,
              gpointer data)
{
  static const ConfigReading failed = { .outcome = CONFIG_READ_FAILED };

  done (&failed, data);
}

/* The store refuses this node alone, and answers at once. */
static void
test_a_watcher_that_the_store_refuses_asks_no_other (void **state)
{
  static const RpcLimits limits = { 4, 60 * SECOND_US };
  static const ConfigSource refusing = { .create = source_create,
                                         .destroy = source_destroy,
                                         .read = read_nothing,
                                         .watch = refuse_watch,
                                         .unwatch = end_watch,
                                         .part = source_part,
                                         .serves_empty = TRUE };
  static const Adapter refused = { .config = &refusing };
  HeadRequests requests = { 0 };
  Node node = lone_node (0);
  RpcServer *server = rpc_server_create (node.loop, OTHER_ADDRESS, &limits,
                                         on_other_called, &requests, NULL);
  Member other = { .node = "other",
                   .hall = "hall",
                   .address = OTHER_ADDRESS,
                   .incarnation = 1,
                   .status = MEMBER_ALIVE };

  assert_non_null (server);
  node.adapter = &refused;
  node.traffic = traffic_create (node.loop);
  node.metrics = metrics_create ();
  node.reads = peer_reads_create (&node);
  node.config = config_sync_create (&node);
  run_for (STEP_US);
  members_merge (node.members, &other);
  run_for (3 * SECOND_US);
  pass_messages ();
  assert_true (requests.count > 0);
  peer_reads_destroy (node.reads);
  rpc_server_destroy (server);
  traffic_destroy (node.traffic);
  metrics_destroy (node.metrics);
  lone_node_clear (&node);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_nodes_that_have_met_no_other_do_not_all_watch),
    cmocka_unit_test (test_a_node_that_is_outranked_goes_on_watching),
    cmocka_unit_test (test_a_node_that_hears_of_no_other_does_not_watch),
    cmocka_unit_test (test_a_node_that_announces_a_change_while_asked_is_not_asked_again),
    cmocka_unit_test (test_a_watcher_that_the_store_refuses_asks_no_other),
    cmocka_unit_test (test_a_node_that_goes_silent_in_a_fetch_delays_a_change),
    cmocka_unit_test_setup_teardown (test_nodes_that_start_together_poll_apart, setup,
                                     teardown),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
