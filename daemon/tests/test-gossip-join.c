/* Which listed nodes a starting node probes, on a manual clock. The listed nodes are
   sockets that never answer, like nodes that are gone. */
#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <unistd.h>

#include "adapter.h"
#include "config-sync.h"
#include "gossip.h"
#include "peer-reads.h"
#include "peers.h"
#include "platform-era.h"
#include "quarantine-node.h"

#define LISTED 41u
#define HALLS 3u
#define STEP_US (50 * MS_US)
/* A starting node is bound by the configuration 3 s after its start. */
#define JOINED_WITHIN_US (2500 * MS_US)
/* Probes of the first round: six in the own hall, two in others. */
#define FIRST_PROBES 8u
/* Members that answer. */
#define ANSWERING 12u

typedef struct
{
  Node node;
  Settings settings;
  int sockets[LISTED];
  GArray *found; /* GossipAddress */
  gint64 until_us;
} Fixture;

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

static void
source_read (gpointer source, ConfigReadDone done, gpointer data)
{
  static const ConfigReading nothing = { .outcome = CONFIG_READ_NONE };

  done (&nothing, data);
}

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
  return FALSE;
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

/* Binds a socket that stands for a listed node, and adds its address to the list. */
static int
listed_socket (guint i)
{
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
  struct sockaddr_in at = { .sin_family = AF_INET };
  socklen_t len = sizeof at;
  GossipAddress item;

  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  assert_int_equal (bind (fd, (struct sockaddr *)&at, sizeof at), 0);
  assert_int_equal (getsockname (fd, (struct sockaddr *)&at, &len), 0);
  item.address = g_strdup_printf ("127.0.0.1:%u", ntohs (at.sin_port));
  item.hall = g_strdup_printf ("hall-%u", i % HALLS);
  g_array_append_val (fixture->found, item);
  return fd;
}

/* Returns how many listed nodes have been probed. */
static guint
count_probed (void)
{
  guint probed = 0;
  char byte;

  for (guint i = 0; i < LISTED; i++)
    probed += recv (fixture->sockets[i], &byte, 1, MSG_PEEK) > 0;
  return probed;
}

static int
setup (void **state)
{
  static const char *const nobody[] = { NULL };
  static const Member self = { .node = "self",
                               .hall = "hall-0",
                               .address = "127.0.0.1:1" };
  Node *node;

  fixture = g_new0 (Fixture, 1);
  node = &fixture->node;
  fixture->settings = (Settings){ .node = "self",
                                  .hall = "hall-0",
                                  .nodes_address = "127.0.0.1:0",
                                  .fleet_token = "token" };
  fixture->found = g_array_new (FALSE, FALSE, sizeof (GossipAddress));
  for (guint i = 0; i < LISTED; i++)
    fixture->sockets[i] = listed_socket (i);
  node->adapter = &adapter;
  node->settings = &fixture->settings;
  node->clock = clock_create_manual (SECOND_US);
  node->loop = loop_create (node->clock);
  loop_add_prepare (node->loop, pass_time, NULL);
  node->rand = g_rand_new_with_seed (1);
  node->metrics = metrics_create ();
  node->traffic = traffic_create (node->loop);
  node->departures = departures_create (node->clock);
  node->list = fleet_list_create ();
  node->balancer = balancer_create ("hall-0", node->rand, node->clock);
  node->members =
      members_create (&self, nobody, &members_timing_default, node->rand, node->clock);
  node->peers = peers_create (node);
  node->reads = peer_reads_create (node);
  node->quarantine = quarantine_node_create (node);
  node->era = platform_era_create (node);
  node->gossip = gossip_create (node, NULL);
  assert_non_null (node->gossip);
  node->config = config_sync_create (node);
  return 0;
}

static int
teardown (void **state)
{
  Node *node = &fixture->node;

  config_sync_destroy (node->config);
  gossip_destroy (node->gossip);
  platform_era_destroy (node->era);
  quarantine_node_destroy (node->quarantine);
  peer_reads_destroy (node->reads);
  peers_destroy (node->peers);
  members_destroy (node->members);
  balancer_destroy (node->balancer);
  fleet_list_destroy (node->list);
  departures_destroy (node->departures);
  traffic_destroy (node->traffic);
  metrics_destroy (node->metrics);
  g_rand_free (node->rand);
  loop_destroy (node->loop);
  clock_destroy (node->clock);
  for (guint i = 0; i < LISTED; i++)
    {
      GossipAddress *item = &g_array_index (fixture->found, GossipAddress, i);

      close (fixture->sockets[i]);
      g_free (item->address);
      g_free (item->hall);
    }
  g_array_unref (fixture->found);
  g_free (fixture);
  return 0;
}

/* The six live nodes of 41 listed ones were all missed by two starting nodes, which then
   heard of no change of the configuration for 7.7 s. */
static void
test_a_starting_node_probes_on_while_listed_nodes_are_gone (void **state)
{
  gossip_join (fixture->node.gossip, fixture->found);
  assert_int_equal (count_probed (), FIRST_PROBES);
  run_for (JOINED_WITHIN_US);
  print_message ("%u of %u listed nodes probed\n", count_probed (), LISTED);
  assert_int_equal (count_probed (), LISTED);
}

/* Otherwise the start of a whole fleet would take a quadratic number of messages. */
static void
test_a_starting_node_that_has_met_others_probes_no_more_listed_ones (void **state)
{
  gossip_join (fixture->node.gossip, fixture->found);
  /* Without the function that tells the rest of the node, which is not there. */
  members_set_changed (fixture->node.members, NULL, NULL);
  for (guint i = 0; i < ANSWERING; i++)
    {
      g_autofree char *name = g_strdup_printf ("other-%u", i);
      Member other = { .node = name,
                       .hall = "hall-0",
                       .address = "127.0.0.1:2",
                       .incarnation = 1,
                       .status = MEMBER_ALIVE };

      members_merge (fixture->node.members, &other);
    }
  run_for (JOINED_WITHIN_US);
  assert_int_equal (count_probed (), FIRST_PROBES);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (
        test_a_starting_node_probes_on_while_listed_nodes_are_gone, setup, teardown),
    cmocka_unit_test_setup_teardown (
        test_a_starting_node_that_has_met_others_probes_no_more_listed_ones, setup,
        teardown),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
