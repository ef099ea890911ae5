#include "gossip-private.h"

#include <string.h>

#include "config-sync.h"
#include "peers.h"
#include "platform-era.h"
#include "quarantine-node.h"
#include "registry.h"
#include "target-departures.h"

/* A push goes to NEAR_FANOUT members of the own hall and to one member of each of
   FAR_FANOUT other halls, which forwards updates to NEAR_FANOUT members of its hall. */
#define NEAR_FANOUT 3u
#define FAR_FANOUT 3u
/* A node that has discovered others probes JOIN_NEAR nodes of its hall and JOIN_FAR of
   other halls. They spread its entry, and views are compared. If it probed all of them,
   a fleet's start would take a quadratic number of messages. */
#define JOIN_NEAR 6u
#define JOIN_FAR 2u
/* The list names nodes for some minutes after they have gone. While a node knows fewer
   live members than it has probed at first, it probes as many more at this interval. */
#define JOIN_AGAIN_US (250 * MS_US)
/* Enough for 72 listed nodes, and 2 s for a node that is cut off. */
#define JOIN_ROUNDS_MAX 8u
/* Delay after which updates from other halls are forwarded, so that several messages that
   arrive together are forwarded once. */
#define FORWARD_DELAY_US (10 * MS_US)
/* Updates on requests that crash targets concern all nodes at once: each node that
   receives one sends it to SPREAD_NEAR members of its hall and to one member of each of
   SPREAD_FAR other halls. In the simulated fleet all 1,200 nodes hold a request back
   0.6 s after it has crashed a third target, 0.3 s of which is settling time. An
   alternative, in which two home nodes of each request count crashes and notify all
   others, is no faster and fails if both are gone (bench-quarantine). */
#define SPREAD_NEAR 3u
#define SPREAD_FAR 1u
/* The quarantine's updates are sent after SPREAD_FIRST_US, together with those that have
   arrived meanwhile. They are sent again every SPREAD_URGENT_US or SPREAD_INTERVAL_US
   until each has been sent often enough: four messages of 0.4 KB each time.
   SPREAD_INTERVAL_US keeps updates that are not urgent within the 3 KB/s that a node may
   send for control. */
#define SPREAD_FIRST_US (10 * MS_US)
#define SPREAD_URGENT_US (100 * MS_US)
#define SPREAD_INTERVAL_US (600 * MS_US)
/* Members that a starting node probes as it learns of them. */
#define FIRST_QUESTIONS_MAX 3u
/* Set in the sequence numbers of relayed probes, joins and pushes; the numbers of the
   membership's own probes are below it. */
#define RELAY_SEQUENCE_BIT 0x80000000u
#define RELAY_LIFE_US (2 * SECOND_US)
/* They begin below this number, at random, so that a late answer to an earlier start of
   this node matches none of them. */
#define FIRST_RELAY_SEQUENCE_MAX 0x40000000u

/* A probe sent on behalf of another node. */
typedef struct
{
  char *to;
  char *subject; /* the probed node */
  guint32 xid;
  gint64 until_us;
} Relay;

static void
relay_free (gpointer data)
{
  Relay *relay = data;

  g_free (relay->to);
  g_free (relay->subject);
  g_free (relay);
}

static void
merge_message (Gossip *gossip, const sw_gossip *message)
{
  Node *node = gossip->node;
  gboolean any;

  target_departures_merge_gossip (node, message);
  any = gossip_merge_updates (node, message);

  if (any && !peers_in_own_hall (node, message->from))
    loop_timer_start (gossip->forward_timer, FORWARD_DELAY_US);
  if (quarantine_node_merge_gossip (node->quarantine, message))
    gossip_schedule_quarantine_updates (gossip);
  config_sync_note_generation (node->config, message->from, message->generation);
  platform_era_note (node->era, message->store_era);
  config_sync_merge_evacuations (node->config, &message->evacuations);
  gossip_repair (gossip, message->from, message->digest);
}

static void
relay_probe (Gossip *gossip, const char *to, guint32 xid, const char *subject)
{
  const Member *member = members_find (gossip->node->members, subject);
  Relay *relay;
  guint32 own;

  if (!member)
    return;
  own = RELAY_SEQUENCE_BIT | ++gossip->relay_sequence;
  relay = g_new0 (Relay, 1);
  relay->to = g_strdup (to);
  relay->subject = g_strdup (subject);
  relay->xid = xid;
  relay->until_us = clock_now (gossip->node->clock) + RELAY_LIFE_US;
  g_hash_table_insert (gossip->relays, GUINT_TO_POINTER (own), relay);
  gossip_send_call (gossip, member->address, subject, SW_PROBE, NULL, own);
}

static void
on_call (Gossip *gossip, const char *from, const guint8 *data, gsize len)
{
  sw_gossip message = { 0 };
  WireCall call;
  XDR xdr;

  xdrmem_create (&xdr, (char *)data, (u_int)len, XDR_DECODE);
  if (wire_call_decode (&xdr, &call) && xdr_sw_gossip (&xdr, &message) &&
      message.seal == gossip->node->settings->fleet_token_digest)
    {
      merge_message (gossip, &message);
      if (call.procedure == SW_PROBE_VIA)
        relay_probe (gossip, from, call.xid, message.subject);
      else if (call.procedure == SW_PROBE)
        gossip_send_reply (gossip, from, message.from, call.xid);
    }
  xdr_free ((xdrproc_t)xdr_sw_gossip, (char *)&message);
  xdr_destroy (&xdr);
}

/* Handles the answer of node `from` to a relayed probe: forwards it to the node that
   asked for the probe, unless another node than the probed one has answered. */
static void
handle_relayed_answer (Gossip *gossip, const Relay *relay, const char *from)
{
  if (strcmp (relay->subject, from) == 0)
    gossip_send_reply (gossip, relay->to, NULL, relay->xid);
  else
    members_mark_replaced (gossip->node->members, relay->subject);
}

static void
on_reply (Gossip *gossip, guint32 xid, const guint8 *data, gsize len)
{
  sw_gossip message = { 0 };
  Relay *relay;

  if (wire_reply_decode (data, len, (xdrproc_t)xdr_sw_gossip, &message) ==
          WIRE_REPLY_OK &&
      message.seal == gossip->node->settings->fleet_token_digest)
    {
      merge_message (gossip, &message);
      if (strcmp (message.from, gossip->node->settings->node) != 0)
        registry_note_told (gossip->node->registry, REGISTRY_PEERS);
      relay = g_hash_table_lookup (gossip->relays, GUINT_TO_POINTER (xid));
      if (relay)
        handle_relayed_answer (gossip, relay, message.from);
      else
        members_answered (gossip->node->members, xid, message.from);
      g_hash_table_remove (gossip->relays, GUINT_TO_POINTER (xid));
    }
  xdr_free ((xdrproc_t)xdr_sw_gossip, (char *)&message);
}

static void
on_datagram (const char *from, const guint8 *data, gsize len, gpointer user)
{
  Gossip *gossip = user;
  guint32 xid;
  guint32 direction;

  if (len < 2 * sizeof xid || !wire_peek_xid (data, len, &xid) ||
      !wire_peek_xid (data + sizeof xid, len, &direction))
    return;
  if (direction == CALL)
    on_call (gossip, from, data, len);
  else
    on_reply (gossip, xid, data, len);
}

static gboolean
relay_is_expired (gpointer key, gpointer value, gpointer data)
{
  return ((Relay *)value)->until_us < *(gint64 *)data;
}

static void
on_timer (gpointer data)
{
  Gossip *gossip = data;
  Node *node = gossip->node;
  gint64 now = clock_now (node->clock);
  g_autoptr (GPtrArray) actions = members_tick (node->members);
  guint64 sent;
  guint64 received;

  for (guint i = 0; i < actions->len; i++)
    {
      const MembersAction *action = g_ptr_array_index (actions, i);

      if (action->kind == MEMBERS_PROBE)
        gossip_send_call (gossip, action->address, action->subject, SW_PROBE, NULL,
                          action->sequence);
      else
        gossip_send_call (gossip, action->address, NULL, SW_PROBE_VIA, action->subject,
                          action->sequence);
    }
  g_hash_table_foreach_remove (gossip->relays, relay_is_expired, &now);
  datagram_bytes (gossip->datagram, &sent, &received);
  metrics_set (node->metrics, METRIC_GOSSIP_SENT_BYTES, sent);
  metrics_set (node->metrics, METRIC_GOSSIP_RECEIVED_BYTES, received);
  balancer_set_ingresses (node->balancer, members_count_alive (node->members));
  loop_timer_start (gossip->timer,
                    members_next_tick_us (node->members) - clock_now (node->clock));
}

GPtrArray *
gossip_pick_members (const Gossip *gossip, guint near, guint far)
{
  Node *node = gossip->node;
  g_autoptr (GPtrArray) all = g_ptr_array_copy (members_all (node->members), NULL, NULL);
  g_autoptr (GHashTable) halls = g_hash_table_new (g_str_hash, g_str_equal);
  GPtrArray *picked = g_ptr_array_new ();

  while (all->len > 0 && (near > 0 || far > 0))
    {
      guint i = (guint)g_rand_int_range (node->rand, 0, (gint32)all->len);
      const Member *member = g_ptr_array_steal_index_fast (all, i);
      gboolean own = members_in_own_hall (node->members, member);
      guint *left = own ? &near : &far;

      if (*left == 0 || member == members_self (node->members) ||
          !members_is_alive (member) ||
          (!own && !g_hash_table_add (halls, (char *)member->hall)))
        continue;
      (*left)--;
      g_ptr_array_add (picked, (gpointer)member);
    }
  return picked;
}

static void
send_updates (Gossip *gossip, guint near, guint far)
{
  g_autoptr (GPtrArray) picked = gossip_pick_members (gossip, near, far);

  for (guint i = 0; i < picked->len; i++)
    {
      const Member *member = g_ptr_array_index (picked, i);

      gossip_send_call (gossip, member->address, member->node, SW_UPDATES, NULL,
                        RELAY_SEQUENCE_BIT | ++gossip->relay_sequence);
    }
}

void
gossip_ask_first (Gossip *gossip, const Member *member)
{
  if (!members_is_alive (member) || gossip->first_questions >= FIRST_QUESTIONS_MAX ||
      registry_is_told (gossip->node->registry, REGISTRY_PEERS))
    return;
  gossip->first_questions++;
  gossip_send_call (gossip, member->address, member->node, SW_PROBE, NULL,
                    RELAY_SEQUENCE_BIT | ++gossip->relay_sequence);
}

void
gossip_push (Gossip *gossip)
{
  send_updates (gossip, NEAR_FANOUT, FAR_FANOUT);
}

static void
clear_join_address (gpointer data)
{
  g_free (((GossipAddress *)data)->address);
  g_free (((GossipAddress *)data)->hall);
}

/* Probes up to `count` random addresses of the list, in this hall or in others, and
   removes them from it. */
static void
probe_random_nodes (Gossip *gossip, gboolean own_hall, guint count)
{
  GArray *left = gossip->join_left;
  const char *hall = gossip->node->settings->hall;
  g_autoptr (GArray) picked = g_array_new (FALSE, FALSE, sizeof (guint));

  for (guint i = 0; i < left->len; i++)
    if ((strcmp (g_array_index (left, GossipAddress, i).hall, hall) == 0) == own_hall)
      g_array_append_val (picked, i);
  while (picked->len > count)
    g_array_remove_index (
        picked, (guint)g_rand_int_range (gossip->node->rand, 0, (gint32)picked->len));
  /* From the end, so that the earlier indices stay valid. */
  for (guint i = picked->len; i > 0; i--)
    {
      guint at = g_array_index (picked, guint, i - 1);

      gossip_send_call (gossip, g_array_index (left, GossipAddress, at).address, NULL,
                        SW_PROBE, NULL, RELAY_SEQUENCE_BIT | ++gossip->relay_sequence);
      g_array_remove_index (left, at);
    }
}

static void
on_join_timer (gpointer data)
{
  Gossip *gossip = data;
  guint before = gossip->join_left->len;
  guint others = members_count_alive (gossip->node->members) - 1;

  if (others >= JOIN_NEAR + JOIN_FAR || gossip->join_rounds == 0)
    {
      g_array_set_size (gossip->join_left, 0);
      return;
    }
  gossip->join_rounds--;
  probe_random_nodes (gossip, TRUE, JOIN_NEAR);
  probe_random_nodes (gossip, FALSE,
                      JOIN_NEAR + JOIN_FAR - (before - gossip->join_left->len));
  if (gossip->join_left->len > 0)
    loop_timer_start (gossip->join_timer, JOIN_AGAIN_US);
}

static void
on_forward_timer (gpointer data)
{
  send_updates (data, NEAR_FANOUT, 0);
}

static void
on_spread (gpointer data)
{
  Gossip *gossip = data;
  const QuarantineNode *quarantine = gossip->node->quarantine;

  gossip->spread_urgent =
      quarantine_node_urgency (quarantine) == QUARANTINE_UPDATES_URGENT;
  if (quarantine_node_urgency (quarantine) == QUARANTINE_UPDATES_NONE)
    return;
  send_updates (gossip, SPREAD_NEAR, SPREAD_FAR);
  loop_timer_start (gossip->spread,
                    gossip->spread_urgent ? SPREAD_URGENT_US : SPREAD_INTERVAL_US);
}

void
gossip_schedule_quarantine_updates (Gossip *gossip)
{
  QuarantineUrgency urgency = quarantine_node_urgency (gossip->node->quarantine);
  gboolean waits = loop_timer_is_started (gossip->spread);

  /* Urgent updates do not wait for a timer that was started for others. */
  if (urgency == QUARANTINE_UPDATES_NONE ||
      (waits && (urgency != QUARANTINE_UPDATES_URGENT || gossip->spread_urgent)))
    return;
  gossip->spread_urgent = urgency == QUARANTINE_UPDATES_URGENT;
  loop_timer_start (gossip->spread, SPREAD_FIRST_US);
}

Gossip *
gossip_create (Node *node, GError **error)
{
  Gossip *gossip = g_new0 (Gossip, 1);

  gossip->node = node;
  gossip->datagram = datagram_create (node->loop, node->settings->nodes_address,
                                      on_datagram, gossip, error);
  if (!gossip->datagram)
    {
      g_free (gossip);
      return NULL;
    }
  gossip->relay_sequence = g_rand_int (node->rand) % FIRST_RELAY_SEQUENCE_MAX;
  gossip->relays = g_hash_table_new_full (NULL, NULL, NULL, relay_free);
  gossip->timer = loop_timer_create (node->loop, on_timer, gossip);
  gossip->forward_timer = loop_timer_create (node->loop, on_forward_timer, gossip);
  gossip->join_timer = loop_timer_create (node->loop, on_join_timer, gossip);
  gossip->join_left = g_array_new (FALSE, FALSE, sizeof (GossipAddress));
  g_array_set_clear_func (gossip->join_left, clear_join_address);
  gossip->spread = loop_timer_create (node->loop, on_spread, gossip);
  members_set_changed (node->members, gossip_on_changed, node);
  loop_timer_start (gossip->timer, 0);
  return gossip;
}

void
gossip_destroy (Gossip *gossip)
{
  if (!gossip)
    return;
  loop_timer_destroy (gossip->timer);
  loop_timer_destroy (gossip->forward_timer);
  loop_timer_destroy (gossip->join_timer);
  g_array_unref (gossip->join_left);
  loop_timer_destroy (gossip->spread);
  datagram_destroy (gossip->datagram);
  g_hash_table_unref (gossip->relays);
  g_free (gossip);
}

void
gossip_join (Gossip *gossip, const GArray *found)
{
  if (found->len == 0)
    registry_note_told (gossip->node->registry, REGISTRY_PEERS);
  g_array_set_size (gossip->join_left, 0);
  for (guint i = 0; i < found->len; i++)
    {
      const GossipAddress *item = &g_array_index (found, GossipAddress, i);
      GossipAddress copy = { g_strdup (item->address), g_strdup (item->hall) };

      g_array_append_val (gossip->join_left, copy);
    }
  probe_random_nodes (gossip, TRUE, JOIN_NEAR);
  probe_random_nodes (gossip, FALSE, JOIN_FAR);
  gossip->join_rounds = JOIN_ROUNDS_MAX;
  loop_timer_start (gossip->join_timer, JOIN_AGAIN_US);
}
