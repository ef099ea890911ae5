/* The membership protocol in a simulated network: killed, restarted and frozen nodes,
 * one-way cuts, an isolated hall, message loss, and the size of messages. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <string.h>

#include "member-net.h"

#define NODES 60u
#define HALLS 4u

static void
expect_all_see (MemberNet *net, guint subject, gboolean alive)
{
  for (guint i = 0; i < net->count; i++)
    if (i != subject && member_net_runs (net, i) &&
        member_net_sees (net, i, subject) != alive)
      fail_msg ("node %u sees node %u %s", i, subject, alive ? "dead" : "alive");
}

static MemberNet *
joined (guint seed)
{
  MemberNet *net = member_net_create (NODES, HALLS, seed);

  member_net_run (net, 30);
  for (guint i = 0; i < NODES; i++)
    assert_int_equal (members_count_alive (net->nodes[i].members), NODES);
  return net;
}

static void
test_all_find_each_other_from_two_seeds_and_agree (void **state)
{
  MemberNet *net = joined (1);

  for (guint i = 1; i < NODES; i++)
    assert_true (members_digest (net->nodes[0].members) ==
                 members_digest (net->nodes[i].members));
  member_net_destroy (net);
}

/* A comparison sends the whole view to a new node, and otherwise a part of it. */
static void
test_a_comparison_of_views_is_bounded (void **state)
{
  MemberNet *net = joined (12);
  guint64 buckets[MEMBERS_BUCKETS] = { 0 };
  Members *members = net->nodes[0].members;

  assert_int_equal (members_differing (members, buckets)->len, NODES);
  for (guint i = 0; i < MEMBERS_BUCKETS; i++)
    buckets[i] = i + 1;
  assert_in_range (members_differing (members, buckets)->len, 1, NODES / 2);
  member_net_destroy (net);
}

static void
test_killed_node_is_dead_and_rejoins (void **state)
{
  MemberNet *net = joined (2);

  member_net_stop (net, 7);
  member_net_run (net, 40);
  expect_all_see (net, 7, FALSE);
  member_net_restart (net, 7);
  member_net_run (net, 40);
  expect_all_see (net, 7, TRUE);
  assert_int_equal (members_count_alive (net->nodes[7].members), NODES);
  member_net_destroy (net);
}

static void
test_unnoticed_restart_is_learned (void **state)
{
  for (guint seed = 20; seed < 28; seed++)
    {
      MemberNet *net = joined (seed);
      guint64 incarnation;

      member_net_restart (net, 7);
      incarnation = members_self (net->nodes[7].members)->incarnation;
      member_net_run (net, 9);
      for (guint i = 0; i < NODES; i++)
        assert_true (members_find (net->nodes[i].members, "node-7")->incarnation ==
                     incarnation);
      member_net_destroy (net);
    }
}

static void
test_resumed_node_refutes_its_death (void **state)
{
  MemberNet *net = joined (3);
  guint64 incarnation = members_self (net->nodes[9].members)->incarnation;

  member_net_stop (net, 9);
  member_net_run (net, 40);
  expect_all_see (net, 9, FALSE);
  net->nodes[9].runs = TRUE;
  member_net_run (net, 60);
  expect_all_see (net, 9, TRUE);
  assert_true (members_self (net->nodes[9].members)->epoch > 1);
  assert_true (members_self (net->nodes[9].members)->incarnation == incarnation);
  member_net_destroy (net);
}

static void
test_one_way_cut_causes_no_deaths (void **state)
{
  MemberNet *net = joined (4);

  net->cut_from = 3;
  net->cut_to = 5;
  for (guint second = 0; second < 120; second++)
    {
      member_net_run (net, 1);
      assert_true (member_net_sees (net, 3, 5));
      assert_true (member_net_sees (net, 20, 5));
      /* A suspected node would have raised its epoch to refute the suspicion. */
      assert_int_equal (members_self (net->nodes[3].members)->epoch, 1);
      assert_int_equal (members_self (net->nodes[5].members)->epoch, 1);
    }
  member_net_destroy (net);
}

static void
test_hall_rejoins_after_an_hour (void **state)
{
  MemberNet *net = joined (5);

  net->isolated_hall = 1;
  member_net_run (net, 60);
  /* Each side sees the other side's nodes as dead and its own as alive. */
  assert_false (member_net_sees (net, 0, 1));
  assert_false (member_net_sees (net, 1, 0));
  assert_true (member_net_sees (net, 1, 5));
  member_net_run (net, 3600);
  net->isolated_hall = HALLS;
  member_net_run (net, 120);
  for (guint i = 0; i < NODES; i++)
    assert_int_equal (members_count_alive (net->nodes[i].members), NODES);
  member_net_destroy (net);
}

static void
expect_published (MemberNet *net, GBytes *payload, GBytes *state)
{
  for (guint i = 0; i < NODES; i++)
    {
      const Member *member = members_find (net->nodes[i].members, "node-11");

      assert_non_null (member->payload);
      assert_true (g_bytes_equal (member->payload, payload));
      assert_non_null (member->state);
      assert_true (g_bytes_equal (member->state, state));
    }
}

static void
test_published_data_reaches_all_members (void **test_state)
{
  MemberNet *net = joined (6);
  g_autoptr (GBytes) payload = g_bytes_new ("target", 6);
  g_autoptr (GBytes) sick = g_bytes_new ("sick", 4);
  g_autoptr (GBytes) well = g_bytes_new ("well", 4);

  members_publish (net->nodes[11].members, payload, sick);
  member_net_run (net, 12);
  expect_published (net, payload, sick);
  members_publish (net->nodes[11].members, payload, well);
  member_net_run (net, 12);
  expect_published (net, payload, well);
  member_net_destroy (net);
}

static guint64
other_hall_bytes (const MemberNet *net)
{
  guint64 bytes = 0;

  for (guint i = 0; i < net->count; i++)
    bytes += net->nodes[i].other_hall_bytes;
  return bytes;
}

/* One of 60 nodes changes its target's state each second. In full, each change would be
   sent about 8 times by each node at 170 bytes, two thirds of it between halls. */
static void
test_state_changes_are_sent_as_deltas (void **test_state)
{
  MemberNet *net = joined (13);
  g_autoptr (GBytes) payload = g_bytes_new ("target", 6);
  guint64 before;

  for (guint i = 0; i < NODES; i++)
    members_publish (net->nodes[i].members, payload, NULL);
  member_net_run (net, 20);
  before = other_hall_bytes (net);
  for (guint second = 0; second < 20; second++)
    {
      g_autoptr (GBytes) state = g_bytes_new (&second, sizeof second);

      members_publish (net->nodes[second].members, payload, state);
      member_net_run (net, 1);
    }
  assert_in_range (other_hall_bytes (net) - before, 1, 20 * NODES * 8 * 170 / 4);
  member_net_destroy (net);
}

/* Deltas with another incarnation, another payload or another name's hash are ignored,
   and merging the same one again reports no change. */
static void
test_mismatched_deltas_are_ignored (void **test_state)
{
  MemberNet *net = joined (14);
  Members *members = net->nodes[0].members;
  const Member *held = members_find (members, "node-5");
  g_autoptr (GBytes) state = g_bytes_new ("sick", 4);
  MemberDelta delta = members_delta (held);

  delta.state = state;
  delta.serial++;
  delta.incarnation++;
  assert_false (members_merge_delta (members, &delta));
  delta.incarnation--;
  delta.payload_serial++;
  assert_false (members_merge_delta (members, &delta));
  delta.payload_serial--;
  delta.id++;
  assert_false (members_merge_delta (members, &delta));
  delta.id--;
  assert_true (members_merge_delta (members, &delta));
  assert_true (g_bytes_equal (members_find (members, "node-5")->state, state));
  assert_false (members_merge_delta (members, &delta));
  member_net_destroy (net);
}

static void
test_heavy_loss_causes_no_lasting_deaths (void **state)
{
  MemberNet *net = joined (7);

  net->loss_percent = 20;
  member_net_run (net, 120);
  net->loss_percent = 0;
  member_net_run (net, 60);
  for (guint i = 0; i < NODES; i++)
    assert_int_equal (members_count_alive (net->nodes[i].members), NODES);
  member_net_destroy (net);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_all_find_each_other_from_two_seeds_and_agree),
    cmocka_unit_test (test_a_comparison_of_views_is_bounded),
    cmocka_unit_test (test_killed_node_is_dead_and_rejoins),
    cmocka_unit_test (test_unnoticed_restart_is_learned),
    cmocka_unit_test (test_resumed_node_refutes_its_death),
    cmocka_unit_test (test_one_way_cut_causes_no_deaths),
    cmocka_unit_test (test_hall_rejoins_after_an_hour),
    cmocka_unit_test (test_published_data_reaches_all_members),
    cmocka_unit_test (test_state_changes_are_sent_as_deltas),
    cmocka_unit_test (test_mismatched_deltas_are_ignored),
    cmocka_unit_test (test_heavy_loss_causes_no_lasting_deaths),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
