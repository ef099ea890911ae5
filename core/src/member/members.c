#include "table.h"

#include <math.h>
#include <string.h>

/* A dead member or a seed is tried about once in so many periods, to mend partitions. */
#define REVIVE_PERIODS 10
/* How often one piece of news is sent, times the logarithm of the fleet. */
#define SPREAD_FACTOR 2

/* So many buckets of an asker that has something in them are compared at once. While
   targets fall sick and recover all views differ all the time: a view of 1,200 members,
   some 150 KB, every ten seconds would be five times what control may cost; an eighth of
   it, 2 KB a second at the most, mends what news has missed in a minute or two. */
#define DIFFERING_MAX 8u

const MembersTiming members_timing_default = {
  .period_us = SECOND_US,
  .answer_us = 350 * MS_US,
  .helpers = 3,
  .suspicion_us = 4 * SECOND_US,
  .forget_us = 7200 * SECOND_US,
};

/* A probe that waits for its answer. */
typedef struct
{
  guint sequence;
  char *node; /* NULL for a seed */
  gint64 help_due_us;
  gint64 due_us;
  gboolean helped;
} Probe;

struct Members
{
  MembersTable *table;
  MemberRecord *self;
  char **seeds;
  MembersTiming timing;
  GRand *rand;
  Clock *clock;
  GPtrArray *round; /* names left to probe in this round */
  GArray *probes;   /* of Probe */
  guint sequence;
  gint64 next_probe_us;
  guint periods;
  GPtrArray *borrowed; /* what the last query handed out */
  MembersChanged changed;
  gpointer changed_data;
};

void
members_action_free (MembersAction *action)
{
  g_free (action->address);
  g_free (action->subject);
  g_free (action);
}

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
  members->round = g_ptr_array_new_with_free_func (g_free);
  members->probes = g_array_new (FALSE, FALSE, sizeof (Probe));
  g_array_set_clear_func (members->probes, clear_probe);
  members->borrowed = g_ptr_array_new ();
  members->next_probe_us = clock_now (clock);
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
  g_array_unref (members->probes);
  g_ptr_array_unref (members->borrowed);
  g_free (members);
}

void
members_set_changed (Members *members, MembersChanged changed, gpointer data)
{
  members->changed = changed;
  members->changed_data = data;
}

static void
tell_changed (Members *members, const MemberRecord *record)
{
  if (members->changed)
    members->changed (&record->member, members->changed_data);
}

/* About the logarithm of the fleet: how far news has to go. */
static double
fleet_log (const Members *members)
{
  return log10 ((double)members_count_alive (members) + 1);
}

static void
spread (Members *members, MemberRecord *record)
{
  record->sends_left = (guint)ceil (SPREAD_FACTOR * (fleet_log (members) * 3 + 1));
}

/* Raises self over whatever has been said of it. */
static void
overrule (Members *members, guint32 epoch)
{
  members->self->member.epoch = epoch + 1;
  members_table_rehash (members->table, members->self);
  spread (members, members->self);
}

static void
merge_self (Members *members, const Member *rumour)
{
  const Member *self = &members->self->member;

  if (rumour->epoch < self->epoch || self->status == MEMBER_LEFT)
    return;
  if (rumour->epoch == self->epoch && rumour->incarnation == self->incarnation &&
      rumour->status == MEMBER_ALIVE)
    return;
  overrule (members, rumour->epoch);
}

/* Whether `rumour` says something newer than what is held (of the same node). */
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

void
members_merge (Members *members, const Member *rumour)
{
  MemberRecord *record = members_table_find (members->table, rumour->node);
  MemberStatus old;

  if (record == members->self)
    {
      merge_self (members, rumour);
      return;
    }
  if (!record)
    {
      /* What has been forgotten must not come back by way of those who forget later. */
      if (!members_is_alive (rumour))
        return;
      record = members_table_put (members->table, rumour);
      note_status_time (members, record);
      spread (members, record);
      tell_changed (members, record);
      return;
    }
  if (!is_newer (rumour, &record->member))
    {
      /* A restart that nobody noticed starts over at the first epoch, and may lose to
         what is held; it is told so, and overrules it. */
      record->contested |= rumour->incarnation != record->member.incarnation;
      return;
    }
  old = record->member.status;
  members_table_update (members->table, record, rumour);
  record->contested = FALSE;
  if (old != rumour->status)
    note_status_time (members, record);
  spread (members, record);
  tell_changed (members, record);
}

static void
set_status (Members *members, MemberRecord *record, MemberStatus status)
{
  record->member.status = status;
  members_table_rehash (members->table, record);
  note_status_time (members, record);
  spread (members, record);
  tell_changed (members, record);
}

static void
shuffle (GPtrArray *array, GRand *rand)
{
  for (guint i = array->len; i > 1; i--)
    {
      guint j = (guint)g_rand_int_range (rand, 0, (gint32)i);
      gpointer kept = array->pdata[i - 1];

      array->pdata[i - 1] = array->pdata[j];
      array->pdata[j] = kept;
    }
}

/* Every member is probed once in a round, in an order that no other node shares. */
static MemberRecord *
next_subject (Members *members)
{
  gboolean refilled = FALSE;

  for (;;)
    {
      g_autofree char *name = NULL;
      MemberRecord *record;

      if (members->round->len == 0)
        {
          if (refilled)
            return NULL;
          refilled = TRUE;
          members_table_names (members->table, members->round);
          shuffle (members->round, members->rand);
        }
      if (members->round->len == 0)
        return NULL;
      name = g_ptr_array_steal_index_fast (members->round, members->round->len - 1);
      record = members_table_find (members->table, name);
      if (record && record != members->self && members_is_alive (&record->member))
        return record;
    }
}

static MembersAction *
action_create (MembersActionKind kind,
               const char *address,
               const char *subject,
               guint sequence)
{
  MembersAction *action = g_new0 (MembersAction, 1);

  action->kind = kind;
  action->address = g_strdup (address);
  action->subject = g_strdup (subject);
  action->sequence = sequence;
  return action;
}

static void
start_probe (Members *members, const MemberRecord *record, GPtrArray *actions)
{
  gint64 now = clock_now (members->clock);
  Probe probe = { .sequence = ++members->sequence,
                  .node = g_strdup (record->member.node) };

  probe.help_due_us = now + members->timing.answer_us;
  probe.due_us = now + members->timing.period_us;
  g_array_append_val (members->probes, probe);
  g_ptr_array_add (actions, action_create (MEMBERS_PROBE, record->member.address,
                                           record->member.node, probe.sequence));
}

/* Members that could carry a probe to `subject`, at random. */
static void
ask_helpers (Members *members,
             const MemberRecord *subject,
             guint sequence,
             GPtrArray *actions)
{
  g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);
  guint asked = 0;

  members_table_names (members->table, names);
  shuffle (names, members->rand);
  for (guint i = 0; i < names->len && asked < members->timing.helpers; i++)
    {
      MemberRecord *record =
          members_table_find (members->table, g_ptr_array_index (names, i));

      if (record == members->self || record == subject ||
          record->member.status != MEMBER_ALIVE)
        continue;
      g_ptr_array_add (actions, action_create (MEMBERS_PROBE_VIA, record->member.address,
                                               subject->member.node, sequence));
      asked++;
    }
}

/* One that the fleet has lost, or a seed that nobody has heard of. */
static void
try_to_revive (Members *members, GPtrArray *actions)
{
  g_autoptr (GPtrArray) addresses = g_ptr_array_new ();
  const char *address;

  members_table_dead_addresses (members->table, addresses);
  for (guint i = 0; members->seeds && members->seeds[i]; i++)
    if (!members_table_has_address (members->table, members->seeds[i]))
      g_ptr_array_add (addresses, members->seeds[i]);
  if (addresses->len == 0)
    return;
  address = g_ptr_array_index (
      addresses, (guint)g_rand_int_range (members->rand, 0, (gint32)addresses->len));
  g_ptr_array_add (actions,
                   action_create (MEMBERS_PROBE, address, NULL, ++members->sequence));
}

static void
check_probes (Members *members, GPtrArray *actions)
{
  gint64 now = clock_now (members->clock);

  for (guint i = members->probes->len; i-- > 0;)
    {
      Probe *probe = &g_array_index (members->probes, Probe, i);
      MemberRecord *record = members_table_find (members->table, probe->node);

      if (record && !probe->helped && now >= probe->help_due_us)
        {
          probe->helped = TRUE;
          ask_helpers (members, record, probe->sequence, actions);
        }
      if (now < probe->due_us)
        continue;
      if (record && record->member.status == MEMBER_ALIVE)
        set_status (members, record, MEMBER_SUSPECT);
      g_array_remove_index_fast (members->probes, i);
    }
}

static void
check_records (Members *members)
{
  gint64 now = clock_now (members->clock);
  gint64 suspicion =
      (gint64)((double)members->timing.suspicion_us * MAX (fleet_log (members), 1.0));
  g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);

  members_table_names (members->table, names);
  for (guint i = 0; i < names->len; i++)
    {
      MemberRecord *record =
          members_table_find (members->table, g_ptr_array_index (names, i));
      gint64 age = now - record->status_since_us;

      if (record == members->self)
        continue;
      if (record->member.status == MEMBER_SUSPECT && age >= suspicion)
        set_status (members, record, MEMBER_DEAD);
      else if (!members_is_alive (&record->member) && age >= members->timing.forget_us)
        members_table_remove (members->table, record);
    }
}

GPtrArray *
members_tick (Members *members)
{
  GPtrArray *actions =
      g_ptr_array_new_with_free_func ((GDestroyNotify)members_action_free);
  gint64 now = clock_now (members->clock);

  check_probes (members, actions);
  if (now >= members->next_probe_us)
    {
      MemberRecord *subject = next_subject (members);

      check_records (members);
      if (subject)
        start_probe (members, subject, actions);
      if (!subject || members->periods % REVIVE_PERIODS == 0)
        try_to_revive (members, actions);
      members->periods++;
      members->next_probe_us = now + members->timing.period_us;
    }
  return actions;
}

gint64
members_next_tick_us (const Members *members)
{
  gint64 next = members->next_probe_us;

  for (guint i = 0; i < members->probes->len; i++)
    {
      const Probe *probe = &g_array_index (members->probes, Probe, i);

      next = MIN (next, probe->helped ? probe->due_us : probe->help_due_us);
    }
  return next;
}

void
members_answered (Members *members, guint sequence)
{
  for (guint i = 0; i < members->probes->len; i++)
    if (g_array_index (members->probes, Probe, i).sequence == sequence)
      {
        g_array_remove_index_fast (members->probes, i);
        return;
      }
}

gsize
members_weight (const Member *member)
{
  gsize payload = member->payload ? g_bytes_get_size (member->payload) : 0;

  /* Five numbers, four lengths, and up to three bytes of padding to each text. */
  return 24 + 16 + 12 + strlen (member->node) + strlen (member->hall) +
         strlen (member->address) + payload;
}

static gboolean
add_news (GPtrArray *news, MemberRecord *record, gsize *room)
{
  gsize weight = members_weight (&record->member);

  if (weight > *room)
    return FALSE;
  *room -= weight;
  g_ptr_array_add (news, &record->member);
  return TRUE;
}

GPtrArray *
members_news (Members *members, const char *to, gsize max_bytes)
{
  GPtrArray *news = members->borrowed;
  MemberRecord *receiver = to ? members_table_find (members->table, to) : NULL;
  g_autoptr (GPtrArray) fresh = g_ptr_array_new ();
  gsize room = max_bytes;

  g_ptr_array_set_size (news, 0);
  add_news (news, members->self, &room);
  /* A member that is held suspect, dead or another must hear of it, to overrule it. */
  if (receiver && receiver != members->self &&
      (receiver->member.status != MEMBER_ALIVE || receiver->contested))
    add_news (news, receiver, &room);
  members_table_fresh (members->table, fresh);
  for (guint i = 0; i < fresh->len; i++)
    {
      MemberRecord *record = g_ptr_array_index (fresh, i);

      if (record == members->self || record == receiver)
        continue;
      if (!add_news (news, record, &room))
        break;
      record->sends_left--;
    }
  return news;
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

      if (own[i] == buckets[i])
        continue;
      if (buckets[i] == 0 || differing++ < DIFFERING_MAX)
        members_table_bucket (members->table, i, members->borrowed);
    }
  return members->borrowed;
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
  for (guint i = 0; i < MEMBERS_BUCKETS; i++)
    members_table_bucket (members->table, i, members->borrowed);
  return members->borrowed;
}

guint
members_count_alive (const Members *members)
{
  return members_table_alive (members->table);
}

gboolean
members_is_alive (const Member *member)
{
  return member->status == MEMBER_ALIVE || member->status == MEMBER_SUSPECT;
}

void
members_set_payload (Members *members, GBytes *payload)
{
  Member *self = &members->self->member;

  if (self->payload && payload && g_bytes_equal (self->payload, payload))
    return;
  if (!self->payload && (!payload || g_bytes_get_size (payload) == 0))
    return;
  g_clear_pointer (&self->payload, g_bytes_unref);
  self->payload = payload ? g_bytes_ref (payload) : NULL;
  self->serial++;
  members_table_rehash (members->table, members->self);
  spread (members, members->self);
}

void
members_leave (Members *members)
{
  members->self->member.status = MEMBER_LEFT;
  members_table_rehash (members->table, members->self);
  spread (members, members->self);
}
