#include "target-departures.h"

#include <string.h>

#include <wire/convert.h>

#include "adapter.h"
#include "gossip.h"
#include "log.h"
#include "registry.h"

G_STATIC_ASSERT (SW_DEPARTED_MAX == DEPARTURES_PER_VM_MAX);

void
target_departures_note (Node *node, const char *vm, const char *start)
{
  const Member *member;

  if (!departures_add (node->departures, vm, start))
    return;
  if (strcmp (vm, node->settings->node) == 0)
    {
      events_add (node->events, "target-departed", start, NULL);
      registry_note_departure (node->registry, start);
      if (node->adapter->save_departures && node->discovery)
        node->adapter->save_departures (node->discovery, NULL, NULL);
      return;
    }
  log_event (G_LOG_LEVEL_INFO, "departure-learned", "SUBJECT", start, "VM", vm, NULL);
  member = members_find (node->members, vm);
  if (member)
    gossip_apply_member (node, member);
}

/* Returns whether the entry has the payload of the held one, which was examined before.
 */
static gboolean
is_known (const Node *node, const sw_rumour *rumour)
{
  const Member *held = members_find (node->members, rumour->node);
  gconstpointer bytes;
  gsize len;

  if (!held || !held->payload)
    return FALSE;
  bytes = g_bytes_get_data (held->payload, &len);
  return len == rumour->payload.payload_len &&
         memcmp (bytes, rumour->payload.payload_val, len) == 0;
}

void
target_departures_note_rumour (Node *node, const sw_rumour *rumour)
{
  g_autoptr (GBytes) bytes = NULL;
  sw_member_payload payload = { 0 };

  if (rumour->payload.payload_len == 0 || is_known (node, rumour))
    return;
  bytes = g_bytes_new_static (rumour->payload.payload_val, rumour->payload.payload_len);
  if (!wire_unpack ((xdrproc_t)xdr_sw_member_payload, bytes, &payload))
    return;
  for (guint i = 0; i < payload.departed.departed_len; i++)
    target_departures_note (node, rumour->node, payload.departed.departed_val[i]);
  xdr_free ((xdrproc_t)xdr_sw_member_payload, (char *)&payload);
}

void
target_departures_fill_gossip (const Node *node, const char *to, sw_gossip *message)
{
  message->departed.departed_val = g_new0 (sw_target_name, DEPARTURES_PER_VM_MAX);
  if (to)
    message->departed.departed_len = departures_of_vm (
        node->departures, to, (const char **)message->departed.departed_val);
}

void
target_departures_clear_gossip (sw_gossip *message)
{
  g_free (message->departed.departed_val);
}

void
target_departures_merge_gossip (Node *node, const sw_gossip *message)
{
  for (guint i = 0; i < message->departed.departed_len; i++)
    target_departures_note (node, node->settings->node,
                            message->departed.departed_val[i]);
}

guint
target_departures_own (const Node *node, sw_target_name names[DEPARTURES_PER_VM_MAX])
{
  return departures_of_vm (node->departures, node->settings->node, (const char **)names);
}
