#include "gossip-private.h"

#include <wire/convert.h>

#include "allowances.h"
#include "config-sync.h"
#include "log.h"
#include "rumour.h"
#include "target-departures.h"

/* With this bound two full messages a second each way stay under 3 KB/s for control. */
#define UPDATES_BYTES_MAX 550u

void
gossip_fill_updates (Node *node, const char *to, sw_gossip *message)
{
  const GArray *updates = members_next_updates (node->members, to, UPDATES_BYTES_MAX);
  guint count = MIN (updates->len, SW_RUMOURS_MAX);

  message->rumours.rumours_val = g_new0 (sw_rumour, count + 1);
  message->deltas.deltas_val = g_new0 (sw_member_delta, count + 1);
  for (guint i = 0; i < count; i++)
    {
      const MemberUpdate *item = &g_array_index (updates, MemberUpdate, i);

      if (item->delta)
        rumour_fill_delta (item->member,
                           &message->deltas.deltas_val[message->deltas.deltas_len++]);
      else
        rumour_fill (item->member,
                     &message->rumours.rumours_val[message->rumours.rumours_len++]);
    }
}

void
gossip_clear_updates (sw_gossip *message)
{
  g_free (message->rumours.rumours_val);
  g_free (message->deltas.deltas_val);
}

gboolean
gossip_merge_rumour (Node *node, const sw_rumour *rumour)
{
  target_departures_note_rumour (node, rumour);
  return rumour_merge (node->members, rumour);
}

gboolean
gossip_merge_updates (Node *node, const sw_gossip *message)
{
  gboolean any = FALSE;

  for (guint i = 0; i < message->rumours.rumours_len; i++)
    any |= gossip_merge_rumour (node, &message->rumours.rumours_val[i]);
  for (guint i = 0; i < message->deltas.deltas_len; i++)
    any |= rumour_merge_delta (node->members, &message->deltas.deltas_val[i]);
  return any;
}

/* Applies the registration of a member's target; a member that is gone has none. */
static void
apply_member_registration (Node *node,
                           const Member *member,
                           const sw_member_payload *payload)
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
  registration.leaving =
      words->leaving ||
      departures_contains (node->departures, member->node, words->target);
  config_sync_set_registration (node->config, member->node, member->hall, &registration);
}

/* Applies a member's verdicts on its targets. Targets without a verdict are healthy. */
static void
apply_verdicts (Node *node, const Member *member, const sw_member_payload *payload)
{
  sw_member_state state = { 0 };

  if (member->state &&
      !wire_unpack ((xdrproc_t)xdr_sw_member_state, member->state, &state))
    return;
  for (guint i = 0; i < MIN (state.verdicts.verdicts_len, payload->targets.targets_len);
       i++)
    {
      const sw_verdict *said = &state.verdicts.verdicts_val[i];
      TargetVerdict verdict = { member->incarnation,
                                said->serial,
                                said->severity,
                                (said->flags & SW_VERDICT_DRAINING) != 0,
                                (said->flags & SW_VERDICT_SHEDDING) != 0,
                                (said->flags & SW_VERDICT_ABRUPT) != 0 };

      balancer_note_verdict (node->balancer, payload->targets.targets_val[i], &verdict);
    }
  xdr_free ((xdrproc_t)xdr_sw_member_state, (char *)&state);
}

void
gossip_apply_member (Node *node, const Member *member)
{
  sw_member_payload payload = { 0 };

  if (member->payload &&
      !wire_unpack ((xdrproc_t)xdr_sw_member_payload, member->payload, &payload))
    return;
  apply_verdicts (node, member, &payload);
  apply_member_registration (node, member, &payload);
  xdr_free ((xdrproc_t)xdr_sw_member_payload, (char *)&payload);
}

void
gossip_on_changed (const Member *member, gpointer data)
{
  Node *node = data;
  static const char *const names[] = { "alive", "suspect", "dead", "left" };

  balancer_set_member (node->balancer, member->node, member->incarnation,
                       members_is_alive (member));
  gossip_apply_member (node, member);
  gossip_ask_first (node->gossip, member);
  allowances_note_member (node->allowances, member);
  log_event (G_LOG_LEVEL_DEBUG, "member", "SUBJECT", member->node, "DETAIL",
             names[member->status], NULL);
}
