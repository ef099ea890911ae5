#include "gossip.h"

#include <string.h>

#include <io/datagram.h>
#include <wire/convert.h>

#include "config-sync.h"
#include "log.h"
#include "peers.h"

/* Two messages a second each way, both full of news, stay under 3 KB/s for control. */
#define NEWS_BYTES_MAX 550u
#define PUSH_FANOUT 4u
/* Numbers of probes made for others; the membership's own are below. */
#define RELAY_SEQUENCES 0x80000000u
#define RELAY_LIFE_US (2 * SECOND_US)
/* Views are compared in full no more often than this. */
#define REPAIR_EVERY_US (10 * SECOND_US)
#define REPAIR_TIMEOUT_US (5 * SECOND_US)
/* A digest that differs once may only be news on its way. */
#define MISMATCHES_TO_REPAIR 3u

/* A probe carried for another node. */
typedef struct
{
  char *to;
  guint32 xid;
  gint64 until_us;
} Relay;

/* A comparison of views that waits for its session. */
typedef struct
{
  Gossip *gossip;
  char *vm;
} Repair;

struct Gossip
{
  Node *node;
  Datagram *datagram;
  LoopTimer *timer;
  GHashTable *relays; /* xid → Relay */
  guint32 relay_sequence;
  guint mismatches;
  gint64 repaired_us;
};

static const RpcProcedure view = { SW_VIEW, (xdrproc_t)xdr_sw_view_args,
                                   (xdrproc_t)xdr_sw_view_res, sizeof (sw_view_res) };

static void
relay_free (gpointer data)
{
  Relay *relay = data;

  g_free (relay->to);
  g_free (relay);
}

void
gossip_fill_rumour (const Member *member, sw_rumour *rumour)
{
  gsize len = 0;

  memset (rumour, 0, sizeof *rumour);
  rumour->node = (char *)member->node;
  rumour->hall = (char *)member->hall;
  rumour->address = (char *)member->address;
  rumour->incarnation = member->incarnation;
  rumour->epoch = member->epoch;
  rumour->status = member->status;
  rumour->serial = member->serial;
  if (!member->payload)
    return;
  rumour->payload.payload_val = (char *)g_bytes_get_data (member->payload, &len);
  rumour->payload.payload_len = (u_int)len;
}

void
gossip_merge_rumour (Node *node, const sw_rumour *rumour)
{
  g_autoptr (GBytes) payload = NULL;
  Member member = {
    .node = rumour->node,
    .hall = rumour->hall,
    .address = rumour->address,
    .incarnation = rumour->incarnation,
    .epoch = rumour->epoch,
    .status = rumour->status,
    .serial = rumour->serial,
  };

  if (rumour->status > MEMBER_LEFT || !*rumour->node)
    return;
  if (rumour->payload.payload_len)
    payload = g_bytes_new (rumour->payload.payload_val, rumour->payload.payload_len);
  member.payload = payload;
  members_merge (node->members, &member);
}

/* Messages with this node's news on them; the rumours' array is the caller's to free. */
static void
fill_gossip (Gossip *gossip, const char *to, sw_gossip *message)
{
  Node *node = gossip->node;
  GPtrArray *news = members_news (node->members, to, NEWS_BYTES_MAX);
  guint count = MIN (news->len, SW_RUMOURS_MAX);

  message->token = node->settings->fleet_token;
  message->from = node->settings->node;
  message->generation = snapshot_generation (config_sync_snapshot (node->config));
  message->digest = members_digest (node->members);
  if (!message->subject)
    message->subject = "";
  message->rumours.rumours_val = g_new0 (sw_rumour, count + 1);
  message->rumours.rumours_len = count;
  for (guint i = 0; i < count; i++)
    gossip_fill_rumour (g_ptr_array_index (news, i), &message->rumours.rumours_val[i]);
}

/* Counts a message's bytes: its news, and the rest. */
static void
count_sent (Gossip *gossip, const char *to, const sw_gossip *message, gsize bytes)
{
  Node *node = gossip->node;
  gboolean own_hall = peers_in_own_hall (node, to);
  gsize news = 0;

  for (guint i = 0; i < message->rumours.rumours_len; i++)
    news += xdr_sizeof ((xdrproc_t)xdr_sw_rumour, &message->rumours.rumours_val[i]);
  traffic_add (node->traffic, TRAFFIC_RUMOURS, own_hall, news);
  traffic_add (node->traffic, TRAFFIC_PROBES, own_hall, bytes - news);
}

static void
send_call (Gossip *gossip,
           const char *address,
           const char *to,
           guint32 procedure,
           const char *subject,
           guint32 xid)
{
  sw_gossip message = { .subject = (char *)subject };
  g_autoptr (GByteArray) bytes = NULL;

  fill_gossip (gossip, to, &message);
  bytes = wire_call_encode (xid, procedure, (xdrproc_t)xdr_sw_gossip, &message);
  if (bytes)
    {
      datagram_send (gossip->datagram, address, bytes);
      count_sent (gossip, to, &message, bytes->len);
    }
  g_free (message.rumours.rumours_val);
}

static void
send_reply (Gossip *gossip, const char *address, const char *to, guint32 xid)
{
  sw_gossip message = { 0 };
  g_autoptr (GByteArray) bytes = NULL;

  fill_gossip (gossip, to, &message);
  bytes = wire_reply_encode (xid, (xdrproc_t)xdr_sw_gossip, &message);
  if (bytes)
    {
      datagram_send (gossip->datagram, address, bytes);
      count_sent (gossip, to, &message, bytes->len);
    }
  g_free (message.rumours.rumours_val);
}

static void
on_view (RpcOutcome outcome, void *result, gpointer data)
{
  Gossip *gossip = data;
  sw_view_res *res = result;

  if (outcome != RPC_OK)
    return;
  for (guint i = 0; i < res->rumours.rumours_len; i++)
    gossip_merge_rumour (gossip->node, &res->rumours.rumours_val[i]);
}

/* Compares the views with a node that a session has been opened with. */
static void
ask_view (const PeerStamp *stamp, gpointer data)
{
  Repair *repair = data;
  Node *node = repair->gossip->node;
  guint64 buckets[MEMBERS_BUCKETS];
  sw_view_args args = { 0 };

  if (stamp)
    {
      members_buckets (node->members, buckets);
      args.buckets.buckets_val = buckets;
      args.buckets.buckets_len = MEMBERS_BUCKETS;
      peers_call (node->peers, repair->vm, &view, &args, REPAIR_TIMEOUT_US, on_view,
                  repair->gossip);
    }
  g_free (repair->vm);
  g_free (repair);
}

/* Compares the views bucket by bucket with a member whose digest keeps differing. */
static void
repair_view (Gossip *gossip, const char *from, guint64 digest)
{
  Node *node = gossip->node;
  gint64 now = clock_now (node->clock);
  Repair *repair;

  if (digest == members_digest (node->members))
    {
      gossip->mismatches = 0;
      return;
    }
  if (++gossip->mismatches < MISMATCHES_TO_REPAIR ||
      now - gossip->repaired_us < REPAIR_EVERY_US)
    return;
  gossip->mismatches = 0;
  gossip->repaired_us = now;
  repair = g_new0 (Repair, 1);
  repair->gossip = gossip;
  repair->vm = g_strdup (from);
  peers_open (node->peers, from, REPAIR_TIMEOUT_US, ask_view, repair);
}

static void
take_message (Gossip *gossip, const sw_gossip *message)
{
  Node *node = gossip->node;

  for (guint i = 0; i < message->rumours.rumours_len; i++)
    gossip_merge_rumour (node, &message->rumours.rumours_val[i]);
  config_sync_note_generation (node->config, message->from, message->generation);
  repair_view (gossip, message->from, message->digest);
}

static void
relay_probe (Gossip *gossip, const char *to, guint32 xid, const char *subject)
{
  const Member *member = members_find (gossip->node->members, subject);
  Relay *relay;
  guint32 own;

  if (!member)
    return;
  own = RELAY_SEQUENCES | ++gossip->relay_sequence;
  relay = g_new0 (Relay, 1);
  relay->to = g_strdup (to);
  relay->xid = xid;
  relay->until_us = clock_now (gossip->node->clock) + RELAY_LIFE_US;
  g_hash_table_insert (gossip->relays, GUINT_TO_POINTER (own), relay);
  send_call (gossip, member->address, subject, SW_PROBE, NULL, own);
}

static void
on_call (Gossip *gossip, const char *from, const guint8 *data, gsize len)
{
  sw_gossip message = { 0 };
  WireCall call;
  XDR xdr;

  xdrmem_create (&xdr, (char *)data, (u_int)len, XDR_DECODE);
  if (wire_call_decode (&xdr, &call) && xdr_sw_gossip (&xdr, &message) &&
      settings_secret_equal (message.token, gossip->node->settings->fleet_token))
    {
      take_message (gossip, &message);
      if (call.procedure == SW_PROBE_VIA)
        relay_probe (gossip, from, call.xid, message.subject);
      else if (call.procedure == SW_PROBE)
        send_reply (gossip, from, message.from, call.xid);
    }
  xdr_free ((xdrproc_t)xdr_sw_gossip, (char *)&message);
  xdr_destroy (&xdr);
}

static void
on_reply (Gossip *gossip, guint32 xid, const guint8 *data, gsize len)
{
  sw_gossip message = { 0 };
  Relay *relay;

  if (wire_reply_decode (data, len, (xdrproc_t)xdr_sw_gossip, &message) ==
          WIRE_REPLY_OK &&
      settings_secret_equal (message.token, gossip->node->settings->fleet_token))
    {
      take_message (gossip, &message);
      relay = g_hash_table_lookup (gossip->relays, GUINT_TO_POINTER (xid));
      if (relay)
        send_reply (gossip, relay->to, NULL, relay->xid);
      else
        members_answered (gossip->node->members, xid);
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
relay_is_over (gpointer key, gpointer value, gpointer data)
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
        send_call (gossip, action->address, action->subject, SW_PROBE, NULL,
                   action->sequence);
      else
        send_call (gossip, action->address, NULL, SW_PROBE_VIA, action->subject,
                   action->sequence);
    }
  g_hash_table_foreach_remove (gossip->relays, relay_is_over, &now);
  datagram_bytes (gossip->datagram, &sent, &received);
  metrics_set (node->metrics, METRIC_GOSSIP_SENT_BYTES, sent);
  metrics_set (node->metrics, METRIC_GOSSIP_RECEIVED_BYTES, received);
  balancer_set_ingresses (node->balancer, members_count_alive (node->members));
  loop_timer_start (gossip->timer,
                    members_next_tick_us (node->members) - clock_now (node->clock));
}

/* The target that registered itself at a member; a member that has gone has none. */
static void
take_registration (Node *node, const Member *member, const sw_member_payload *payload)
{
  const sw_registration *words = payload->registrations.registrations_val;
  Registration registration = { .address = "" };

  if (!members_is_alive (member) || payload->registrations.registrations_len == 0)
    {
      config_sync_set_registration (node->config, member->node, member->hall, NULL);
      return;
    }
  registration.name = words->target;
  registration.service = words->service;
  registration.slots = words->slots;
  registration.leaving = words->leaving;
  config_sync_set_registration (node->config, member->node, member->hall, &registration);
}

/* What a member says of its targets; verdicts that it leaves out are good ones. */
static void
take_payload (Node *node, const Member *member)
{
  sw_member_payload payload = { 0 };

  if (member->payload &&
      !wire_unpack ((xdrproc_t)xdr_sw_member_payload, member->payload, &payload))
    return;
  for (guint i = 0; i < payload.verdicts.verdicts_len; i++)
    {
      const sw_verdict *said = &payload.verdicts.verdicts_val[i];
      TargetVerdict verdict = { member->incarnation, said->serial, said->severity,
                                said->draining, said->shedding };

      balancer_note_verdict (node->balancer, said->target, &verdict);
    }
  take_registration (node, member, &payload);
  xdr_free ((xdrproc_t)xdr_sw_member_payload, (char *)&payload);
}

static void
on_changed (const Member *member, gpointer data)
{
  Node *node = data;
  static const char *const names[] = { "alive", "suspect", "dead", "left" };

  balancer_set_member (node->balancer, member->node, member->incarnation,
                       members_is_alive (member));
  take_payload (node, member);
  log_event (G_LOG_LEVEL_DEBUG, "member", "SUBJECT", member->node, "DETAIL",
             names[member->status], NULL);
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
  gossip->relays = g_hash_table_new_full (NULL, NULL, NULL, relay_free);
  gossip->timer = loop_timer_create (node->loop, on_timer, gossip);
  members_set_changed (node->members, on_changed, node);
  loop_timer_start (gossip->timer, 0);
  return gossip;
}

void
gossip_destroy (Gossip *gossip)
{
  if (!gossip)
    return;
  loop_timer_destroy (gossip->timer);
  datagram_destroy (gossip->datagram);
  g_hash_table_unref (gossip->relays);
  g_free (gossip);
}

void
gossip_push (Gossip *gossip)
{
  Node *node = gossip->node;
  g_autoptr (GPtrArray) all = g_ptr_array_copy (members_all (node->members), NULL, NULL);
  guint sent = 0;

  for (guint tries = 0; tries < 4 * PUSH_FANOUT && all->len > 1 && sent < PUSH_FANOUT;
       tries++)
    {
      const Member *member = g_ptr_array_index (
          all, (guint)g_rand_int_range (node->rand, 0, (gint32)all->len));

      if (member == members_self (node->members) || !members_is_alive (member))
        continue;
      send_call (gossip, member->address, member->node, SW_PROBE, NULL,
                 RELAY_SEQUENCES | ++gossip->relay_sequence);
      sent++;
    }
}

void
gossip_join (Gossip *gossip, const char *const *addresses)
{
  for (guint i = 0; addresses[i]; i++)
    send_call (gossip, addresses[i], NULL, SW_PROBE, NULL,
               RELAY_SEQUENCES | ++gossip->relay_sequence);
}

void
gossip_answer_view (Node *node, const sw_view_args *args, sw_view_res *res)
{
  guint64 buckets[MEMBERS_BUCKETS] = { 0 };
  GPtrArray *members;
  guint count;

  for (guint i = 0; i < MIN (args->buckets.buckets_len, MEMBERS_BUCKETS); i++)
    buckets[i] = args->buckets.buckets_val[i];
  members = members_differing (node->members, buckets);
  count = MIN (members->len, SW_MEMBERS_MAX);
  res->rumours.rumours_val = g_new0 (sw_rumour, count + 1);
  res->rumours.rumours_len = count;
  for (guint i = 0; i < count; i++)
    gossip_fill_rumour (g_ptr_array_index (members, i), &res->rumours.rumours_val[i]);
}
