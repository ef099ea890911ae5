#include "members-private.h"

#include <string.h>

/* Maximum number of differing buckets sent per comparison, without those that are empty
   at the requester. Views differ permanently while targets' health changes: a full view
   of 1,200 members, about 150 KB, every ten seconds would be five times the budget of
   control traffic. An eighth of it, at most 2 KB/s, repairs lost updates within one or
   two minutes. */
#define DIFFERING_BUCKETS_MAX 8u

gsize
members_update_size (const MemberUpdate *update)
{
  const Member *member = update->member;
  gsize payload = member->payload ? g_bytes_get_size (member->payload) : 0;
  gsize state = member->state ? g_bytes_get_size (member->state) : 0;

  /* Six numbers and a length. */
  if (update->delta)
    return 24 + 4 + state;
  /* Six numbers, one of them long, five lengths, and up to three bytes of padding to each
     text. */
  return 28 + 20 + 12 + strlen (member->node) + strlen (member->hall) +
         strlen (member->address) + payload + state;
}

MemberDelta
members_delta (const Member *member)
{
  MemberDelta delta = { members_id (member->node),
                        (guint32)member->incarnation,
                        member->epoch,
                        member->status,
                        member->serial,
                        member->payload_serial,
                        member->state };

  return delta;
}

static gboolean
append_update (GArray *updates, MemberRecord *record, gboolean delta, gsize *room)
{
  MemberUpdate item = { &record->member, delta };
  gsize weight = members_update_size (&item);

  if (weight > *room)
    return FALSE;
  *room -= weight;
  g_array_append_val (updates, item);
  return TRUE;
}

/* Returns whether self has been sent in full to this incarnation of the receiver, and
   notes that it is now. If the message is lost, updates from other nodes and view
   comparisons repair it. */
static gboolean
note_self_sent (MemberRecord *receiver)
{
  gboolean was_sent = receiver && receiver->self_sent;

  if (receiver)
    receiver->self_sent = TRUE;
  return was_sent;
}

static void
count_send (MemberRecord *record)
{
  record->sends_left -= MIN (record->sends_left, 1);
  record->full_sends_left -= MIN (record->full_sends_left, 1);
}

const GArray *
members_next_updates (Members *members, const char *to, gsize max_bytes)
{
  GArray *updates = members->updates;
  MemberRecord *receiver = to ? members_table_find (members->table, to) : NULL;
  g_autoptr (GPtrArray) pending = g_ptr_array_new ();
  gsize room = max_bytes;

  g_array_set_size (updates, 0);
  append_update (updates, members->self,
                 note_self_sent (receiver) && members->self->full_sends_left == 0, &room);
  count_send (members->self);
  /* A receiver that is suspect, dead, left or of another incarnation in this view must
     learn of it to refute it. */
  if (receiver && receiver != members->self &&
      (receiver->member.status != MEMBER_ALIVE || receiver->contested))
    append_update (updates, receiver, FALSE, &room);
  members_table_pending (members->table, pending);
  for (guint i = 0; i < pending->len; i++)
    {
      MemberRecord *record = g_ptr_array_index (pending, i);

      if (record == members->self || record == receiver)
        continue;
      if (!append_update (updates, record, record->full_sends_left == 0, &room))
        break;
      count_send (record);
    }
  return updates;
}

guint64
members_digest (const Members *members)
{
  guint64 buckets[MEMBERS_BUCKETS];
  guint64 all = 0;

  members_buckets (members, buckets);
  for (guint i = 0; i < MEMBERS_BUCKETS; i++)
    all ^= buckets[i];
  return all;
}

void
members_buckets (const Members *members, guint64 buckets[MEMBERS_BUCKETS])
{
  members_table_buckets (members->table, buckets);
}

GPtrArray *
members_differing (Members *members, const guint64 buckets[MEMBERS_BUCKETS])
{
  guint64 own[MEMBERS_BUCKETS];
  guint first = (guint)g_rand_int_range (members->rand, 0, MEMBERS_BUCKETS);
  guint differing = 0;

  g_ptr_array_set_size (members->borrowed, 0);
  members_buckets (members, own);
  for (guint n = 0; n < MEMBERS_BUCKETS; n++)
    {
      guint i = (first + n) % MEMBERS_BUCKETS;

      if (own[i] == buckets[i] || own[i] == 0)
        continue;
      if (buckets[i] == 0 || differing++ < DIFFERING_BUCKETS_MAX)
        members_table_bucket (members->table, i, members->borrowed);
    }
  return members->borrowed;
}
