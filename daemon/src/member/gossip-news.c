#include "gossip-private.h"

#include <string.h>

#include <wire/convert.h>

#include "config-sync.h"
#include "log.h"

/* Two messages a second each way, both full of news, stay under 3 KB/s for control. */
#define NEWS_BYTES_MAX 550u

/* Lends a text of the membership to a message. */
static void
lend (GBytes *bytes, char **data, u_int *len)
{
  gsize size = 0;

  if (!bytes)
    return;
  *data = (char *)g_bytes_get_data (bytes, &size);
  *len = (u_int)size;
}

void
gossip_fill_rumour (const Member *member, sw_rumour *rumour)
{
  memset (rumour, 0, sizeof *rumour);
  rumour->node = (char *)member->node;
  rumour->hall = (char *)member->hall;
  rumour->address = (char *)member->address;
  rumour->incarnation = member->incarnation;
  rumour->epoch = member->epoch;
  rumour->status = member->status;
  rumour->serial = member->serial;
  rumour->payload_serial = member->payload_serial;
  lend (member->payload, &rumour->payload.payload_val, &rumour->payload.payload_len);
  lend (member->state, &rumour->state.state_val, &rumour->state.state_len);
}

static void
fill_brief (const Member *member, sw_brief *words)
{
  MemberBrief brief = members_brief (member);

  words->id = brief.id;
  words->incarnation = brief.incarnation;
  words->epoch = brief.epoch;
  words->status = brief.status;
  words->serial = brief.serial;
  words->payload_serial = brief.payload_serial;
  lend (brief.state, &words->state.state_val, &words->state.state_len);
}

/* NULL for nothing. */
static GBytes *
copy_of (const char *data, u_int len)
{
  return len ? g_bytes_new (data, len) : NULL;
}

gboolean
gossip_merge_rumour (Node *node, const sw_rumour *rumour)
{
  g_autoptr (GBytes) payload = NULL;
  g_autoptr (GBytes) state = NULL;
  Member member = {
    .node = rumour->node,
    .hall = rumour->hall,
    .address = rumour->address,
    .incarnation = rumour->incarnation,
    .epoch = rumour->epoch,
    .status = rumour->status,
    .serial = rumour->serial,
    .payload_serial = rumour->payload_serial,
  };

  if (rumour->status > MEMBER_LEFT || !*rumour->node)
    return FALSE;
  payload = copy_of (rumour->payload.payload_val, rumour->payload.payload_len);
  state = copy_of (rumour->state.state_val, rumour->state.state_len);
  member.payload = payload;
  member.state = state;
  return members_merge (node->members, &member);
}

static gboolean
merge_brief (Node *node, const sw_brief *words)
{
  g_autoptr (GBytes) state = NULL;
  MemberBrief brief = {
    .id = words->id,
    .incarnation = words->incarnation,
    .epoch = words->epoch,
    .status = words->status,
    .serial = words->serial,
    .payload_serial = words->payload_serial,
  };

  if (words->status > MEMBER_LEFT)
    return FALSE;
  state = copy_of (words->state.state_val, words->state.state_len);
  brief.state = state;
  return members_merge_brief (node->members, &brief);
}

void
gossip_put_news (Node *node, const char *to, sw_gossip *message)
{
  const GArray *news = members_news (node->members, to, NEWS_BYTES_MAX);
  guint count = MIN (news->len, SW_RUMOURS_MAX);

  message->rumours.rumours_val = g_new0 (sw_rumour, count + 1);
  message->briefs.briefs_val = g_new0 (sw_brief, count + 1);
  for (guint i = 0; i < count; i++)
    {
      const MemberNews *item = &g_array_index (news, MemberNews, i);

      if (item->brief)
        fill_brief (item->member,
                    &message->briefs.briefs_val[message->briefs.briefs_len++]);
      else
        gossip_fill_rumour (
            item->member, &message->rumours.rumours_val[message->rumours.rumours_len++]);
    }
}

void
gossip_drop_news (sw_gossip *message)
{
  g_free (message->rumours.rumours_val);
  g_free (message->briefs.briefs_val);
}

gboolean
gossip_take_news (Node *node, const sw_gossip *message)
{
  gboolean any = FALSE;

  for (guint i = 0; i < message->rumours.rumours_len; i++)
    any |= gossip_merge_rumour (node, &message->rumours.rumours_val[i]);
  for (guint i = 0; i < message->briefs.briefs_len; i++)
    any |= merge_brief (node, &message->briefs.briefs_val[i]);
  return any;
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

/* Verdicts that a member leaves out are good ones. */
static void
take_verdicts (Node *node, const Member *member, const sw_member_payload *payload)
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

static void
take_words (Node *node, const Member *member)
{
  sw_member_payload payload = { 0 };

  if (member->payload &&
      !wire_unpack ((xdrproc_t)xdr_sw_member_payload, member->payload, &payload))
    return;
  take_verdicts (node, member, &payload);
  take_registration (node, member, &payload);
  xdr_free ((xdrproc_t)xdr_sw_member_payload, (char *)&payload);
}

void
gossip_on_changed (const Member *member, gpointer data)
{
  Node *node = data;
  static const char *const names[] = { "alive", "suspect", "dead", "left" };

  balancer_set_member (node->balancer, member->node, member->incarnation,
                       members_is_alive (member));
  take_words (node, member);
  log_event (G_LOG_LEVEL_DEBUG, "member", "SUBJECT", member->node, "DETAIL",
             names[member->status], NULL);
}
