#include "members-private.h"

#include <math.h>
#include <string.h>

/* A node sends an update DISSEMINATION_FACTOR * (3 log10 (live members + 1) + 1) times,
   rounded up. */
#define DISSEMINATION_FACTOR 2
/* At most this many sends are in full; the nodes that received one send it on, and view
   comparisons repair the rest. While 30 nodes join, full updates are nine tenths of the
   gossip bytes; without this limit they were 690 kB between three halls. */
#define FULL_SENDS_MAX 8u
/* An update that arrives and is already known counts as this many own sends, because
   others are spreading it too. */
#define DUPLICATE_SENDS 2u

const MembersTiming members_timing_default = {
  .period_us = SECOND_US,
  .direct_timeout_us = 350 * MS_US,
  .indirect_probes = 3,
  .suspicion_timeout_us = 4 * SECOND_US,
  .dead_retention_us = 7200 * SECOND_US,
};

static void
clear_probe (gpointer data)
{
  g_free (((Probe *)data)->node);
}

Members *
members_create (const Member *self,
                const char *const *seeds,
                const MembersTiming *timing,
                GRand *rand,
                Clock *clock)
{
  Members *members = g_new0 (Members, 1);
  Member own = *self;

  own.epoch = 1;
  own.status = MEMBER_ALIVE;
  members->table = members_table_create ();
  members->self = members_table_put (members->table, &own);
  members->seeds = g_strdupv ((char **)seeds);
  members->timing = *timing;
  members->rand = rand;
  members->clock = clock;
  /* A late answer to a probe of an earlier start matches none of these. */
  members->sequence = g_rand_int (rand) % MEMBERS_FIRST_SEQUENCE_MAX;
  members->round = g_ptr_array_new_with_free_func (g_free);
  members->remote_round = g_ptr_array_new_with_free_func (g_free);
  members->updates = g_array_new (FALSE, FALSE, sizeof (MemberUpdate));
  members->probes = g_array_new (FALSE, FALSE, sizeof (Probe));
  g_array_set_clear_func (members->probes, clear_probe);
  members->borrowed = g_ptr_array_new ();
  members->next_probe_us = clock_now (clock);
  members->began_us = clock_now (clock);
  return members;
}

void
members_destroy (Members *members)
{
  if (!members)
    return;
  members_table_destroy (members->table);
  g_strfreev (members->seeds);
  g_ptr_array_unref (members->round);
  g_ptr_array_unref (members->remote_round);
  g_array_unref (members->updates);
  g_array_unref (members->probes);
  g_ptr_array_unref (members->borrowed);
  g_free (members);
}

void
members_set_changed (Members *members, MembersChangedFunc changed, gpointer data)
{
  members->changed = changed;
  members->changed_data = data;
}

static void
report_change (Members *members, const MemberRecord *record)
{
  if (members->changed)
    members->changed (&record->member, members->changed_data);
}

double
members_fleet_log (const Members *members)
{
  return log10 ((double)members_count_alive (members) + 1);
}

void
members_disseminate (Members *members, MemberRecord *record, gboolean full)
{
  record->sends_left =
      (guint)ceil (DISSEMINATION_FACTOR * (members_fleet_log (members) * 3 + 1));
  if (full)
    record->full_sends_left = MIN (record->sends_left, FULL_SENDS_MAX);
}

/* Raises self's epoch above `epoch`, so that its own update wins. */
static void
refute (Members *members, guint32 epoch)
{
  members->self->member.epoch = epoch + 1;
  members_table_rehash (members->table, members->self);
  members_disseminate (members, members->self, FALSE);
}

static gboolean
merge_self (Members *members, const Member *rumour)
{
  const Member *self = &members->self->member;

  if (rumour->epoch < self->epoch || self->status == MEMBER_LEFT)
    return FALSE;
  if (rumour->epoch == self->epoch && rumour->incarnation == self->incarnation &&
      rumour->status == MEMBER_ALIVE)
    return FALSE;
  refute (members, rumour->epoch);
  return TRUE;
}

/* Returns whether `rumour` is newer than the held entry of the same node. */
static gboolean
is_newer (const Member *rumour, const Member *held)
{
  if (rumour->epoch != held->epoch)
    return rumour->epoch > held->epoch;
  if (rumour->incarnation != held->incarnation)
    return rumour->incarnation > held->incarnation;
  if (rumour->status != held->status)
    return rumour->status > held->status;
  return rumour->serial > held->serial;
}

static void
note_status_time (Members *members, MemberRecord *record)
{
  record->status_since_us = clock_now (members->clock);
}

/* Returns whether a receiver that has the held entry needs the full update instead of a
   delta. */
static gboolean
needs_full_update (const Member *rumour, const Member *held)
{
  return rumour->incarnation != held->incarnation ||
         rumour->payload_serial != held->payload_serial ||
         strcmp (rumour->address, held->address) != 0;
}

/* Handles an update that is older than the held entry or equal to it. */
static void
note_known_update (MemberRecord *record, const Member *rumour)
{
  /* A node that restarted unnoticed begins at epoch 1 again, and its update can lose to
     the entry of its previous start. It receives that entry and overrules it. */
  record->contested |= rumour->incarnation != record->member.incarnation;
  if (rumour->epoch == record->member.epoch && rumour->status == record->member.status &&
      rumour->serial == record->member.serial)
    {
      record->sends_left -= MIN (record->sends_left, DUPLICATE_SENDS);
      record->full_sends_left -= MIN (record->full_sends_left, DUPLICATE_SENDS);
    }
}

static gboolean
merge_new (Members *members, const Member *rumour)
{
  MemberRecord *record;

  /* Nodes drop dead members at different times: one that is unknown here may have been
     dropped already and must not return. */
  if (!members_is_alive (rumour))
    return FALSE;
  record = members_table_put (members->table, rumour);
  note_status_time (members, record);
  /* Members that a starting node learns of are known to the others, or reach them when
     they compare views as it does. */
  if (!members_is_starting_up (members))
    members_disseminate (members, record, TRUE);
  report_change (members, record);
  return TRUE;
}

gboolean
members_merge (Members *members, const Member *rumour)
{
  MemberRecord *record = members_table_find (members->table, rumour->node);
  MemberStatus old;
  gboolean full;

  if (!record)
    return merge_new (members, rumour);
  if (record == members->self)
    return merge_self (members, rumour);
  if (!is_newer (rumour, &record->member))
    {
      note_known_update (record, rumour);
      return FALSE;
    }
  old = record->member.status;
  full = needs_full_update (rumour, &record->member);
  record->self_sent &= rumour->incarnation == record->member.incarnation;
  members_table_update (members->table, record, rumour);
  record->contested = FALSE;
  if (old != rumour->status)
    note_status_time (members, record);
  members_disseminate (members, record, full);
  report_change (members, record);
  return TRUE;
}

gboolean
members_merge_delta (Members *members, const MemberDelta *delta)
{
  MemberRecord *record = members_table_find_delta (members->table, delta);
  Member rumour;

  if (!record || record->member.payload_serial != delta->payload_serial)
    return FALSE;
  rumour = record->member;
  rumour.epoch = delta->epoch;
  rumour.status = delta->status;
  rumour.serial = delta->serial;
  rumour.state = delta->state;
  return members_merge (members, &rumour);
}

void
members_set_status (Members *members, MemberRecord *record, MemberStatus status)
{
  record->member.status = status;
  members_table_rehash (members->table, record);
  note_status_time (members, record);
  members_disseminate (members, record, FALSE);
  report_change (members, record);
}

const Member *
members_self (const Members *members)
{
  return &members->self->member;
}

const Member *
members_find (const Members *members, const char *node)
{
  MemberRecord *record = members_table_find (members->table, node);

  return record ? &record->member : NULL;
}

GPtrArray *
members_all (Members *members)
{
  g_ptr_array_set_size (members->borrowed, 0);
  members_table_all (members->table, members->borrowed);
  return members->borrowed;
}

guint
members_count_alive (const Members *members)
{
  return members_table_alive (members->table);
}

guint
members_rank_in_hall (const Members *members)
{
  g_autoptr (GPtrArray) all = g_ptr_array_new ();
  guint own = members_id (members->self->member.node);
  guint rank = 0;

  members_table_all (members->table, all);
  for (guint i = 0; i < all->len; i++)
    {
      const Member *member = g_ptr_array_index (all, i);

      rank += members_in_own_hall (members, member) && members_is_alive (member) &&
              members_id (member->node) < own;
    }
  return rank;
}

/* Returns the set of halls that have a live member, including self's. */
static GHashTable *
live_halls (const Members *members)
{
  g_autoptr (GPtrArray) all = g_ptr_array_new ();
  GHashTable *halls = g_hash_table_new (g_str_hash, g_str_equal);

  members_table_all (members->table, all);
  g_hash_table_add (halls, (gpointer)members->self->member.hall);
  for (guint i = 0; i < all->len; i++)
    {
      const Member *member = g_ptr_array_index (all, i);

      if (members_is_alive (member))
        g_hash_table_add (halls, (gpointer)member->hall);
    }
  return halls;
}

guint
members_count_halls (const Members *members)
{
  g_autoptr (GHashTable) halls = live_halls (members);

  return g_hash_table_size (halls);
}

guint
members_count_halls_before (const Members *members)
{
  g_autoptr (GHashTable) halls = live_halls (members);
  GHashTableIter iter;
  gpointer hall;
  guint before = 0;

  g_hash_table_iter_init (&iter, halls);
  while (g_hash_table_iter_next (&iter, &hall, NULL))
    before += strcmp (hall, members->self->member.hall) < 0;
  return before;
}

gboolean
members_in_own_hall (const Members *members, const Member *member)
{
  return strcmp (member->hall, members->self->member.hall) == 0;
}

/* Returns whether both have the same bytes; NULL equals empty. */
static gboolean
is_same (GBytes *held, GBytes *fresh)
{
  if (!held || !fresh)
    return (!held || g_bytes_get_size (held) == 0) &&
           (!fresh || g_bytes_get_size (fresh) == 0);
  return g_bytes_equal (held, fresh);
}

static void
replace (GBytes **held, GBytes *fresh)
{
  g_clear_pointer (held, g_bytes_unref);
  *held = fresh ? g_bytes_ref (fresh) : NULL;
}

void
members_publish (Members *members, GBytes *payload, GBytes *state)
{
  Member *self = &members->self->member;
  gboolean same = is_same (self->payload, payload);

  if (same && is_same (self->state, state))
    return;
  self->serial++;
  if (!same)
    self->payload_serial = self->serial;
  replace (&self->payload, payload);
  replace (&self->state, state);
  members_table_rehash (members->table, members->self);
  members_disseminate (members, members->self, !same);
}

void
members_leave (Members *members)
{
  members->self->member.status = MEMBER_LEFT;
  members_table_rehash (members->table, members->self);
  members_disseminate (members, members->self, FALSE);
}
