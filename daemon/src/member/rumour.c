#include "rumour.h"

#include <string.h>

/* Points a message's data at a member's bytes; leaves it as it is if they are NULL. */
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
rumour_fill (const Member *member, sw_rumour *rumour)
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

void
rumour_fill_brief (const Member *member, sw_brief *words)
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

/* Returns NULL for empty data. */
static GBytes *
copy_of (const char *data, u_int len)
{
  return len ? g_bytes_new (data, len) : NULL;
}

gboolean
rumour_merge (Members *members, const sw_rumour *rumour)
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
  return members_merge (members, &member);
}

gboolean
rumour_merge_brief (Members *members, const sw_brief *words)
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
  return members_merge_brief (members, &brief);
}
