#include "gossip-private.h"

#include "config-sync.h"
#include "peers.h"
#include "platform-era.h"
#include "quarantine-node.h"
#include "target-departures.h"

/* Fills a message with this node's updates; clear_gossip frees what this allocates. */
static void
fill_gossip (Gossip *gossip, const char *to, sw_gossip *message)
{
  Node *node = gossip->node;

  message->seal = node->settings->fleet_token_digest;
  message->from = node->settings->node;
  message->generation = snapshot_generation (config_sync_snapshot (node->config));
  message->digest = members_digest (node->members);
  if (!message->subject)
    message->subject = "";
  gossip_fill_updates (node, to, message);
  quarantine_node_fill_gossip (node->quarantine, to, message);
  message->store_era = platform_era_get (node->era);
  config_sync_fill_evacuations (node->config, &message->evacuations);
  target_departures_fill_gossip (node, to, message);
}

static void
clear_gossip (sw_gossip *message)
{
  gossip_clear_updates (message);
  quarantine_node_clear_gossip (message);
  config_sync_clear_evacuations (&message->evacuations);
  target_departures_clear_gossip (message);
}

/* Counts the bytes of a sent message: its updates as rumours, the rest as probes. */
static void
count_sent (Gossip *gossip, const char *to, const sw_gossip *message, gsize bytes)
{
  Node *node = gossip->node;
  gboolean own_hall = peers_in_own_hall (node, to);
  gsize update_bytes = 0;

  for (guint i = 0; i < message->rumours.rumours_len; i++)
    update_bytes +=
        xdr_sizeof ((xdrproc_t)xdr_sw_rumour, &message->rumours.rumours_val[i]);
  for (guint i = 0; i < message->deltas.deltas_len; i++)
    update_bytes +=
        xdr_sizeof ((xdrproc_t)xdr_sw_member_delta, &message->deltas.deltas_val[i]);
  for (guint i = 0; i < message->quarantine.quarantine_len; i++)
    update_bytes +=
        xdr_sizeof ((xdrproc_t)xdr_sw_quarantine, &message->quarantine.quarantine_val[i]);
  traffic_add (node->traffic, TRAFFIC_RUMOURS, own_hall, update_bytes);
  traffic_add (node->traffic, TRAFFIC_PROBES, own_hall, bytes - update_bytes);
}

void
gossip_send_call (Gossip *gossip,
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
  clear_gossip (&message);
}

void
gossip_send_reply (Gossip *gossip, const char *address, const char *to, guint32 xid)
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
  clear_gossip (&message);
}
