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
rumour_fill_delta (const Member *member, sw_member_delta *words)
{
  MemberDelta delta = members_delta (member);

  words->id = delta.id;
  words->incarnation = delta.incarnation;
  words->epoch = delta.epoch;
  words->status = delta.status;
  words->serial = delta.serial;
  words->payload_serial = delta.payload_serial;
  lend (delta.state, &words->state.state_val, &words->state.state_len);
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
rumour_merge_delta (Members *members, const sw_member_delta *words)
{
  g_autoptr (GBytes) state = NULL;
  MemberDelta delta = {
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
  delta.state = state;
  return members_merge_delta (members, &delta);
}
