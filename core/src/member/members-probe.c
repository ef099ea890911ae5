#include "members-private.h"

#include <string.h>

/* Periods between probes of a dead member or an unknown seed, which heal partitions. */
#define DEAD_PROBE_PERIODS 10
/* One probe in this many goes to another hall. */
#define REMOTE_PERIODS 4

void
members_action_free (MembersAction *action)
{
  g_free (action->address);
  g_free (action->subject);
  g_free (action);
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

/* Fills a new round with the names of the own hall's members, or of the others', in
   random order. */
static void
start_round (Members *members, GPtrArray *round, gboolean own_hall)
{
  g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);

  members_table_names (members->table, names);
  for (guint i = 0; i < names->len; i++)
    {
      const char *name = g_ptr_array_index (names, i);
      const MemberRecord *record = members_table_find (members->table, name);

      if (members_in_own_hall (members, &record->member) == own_hall)
        g_ptr_array_add (round, g_strdup (name));
    }
  shuffle (round, members->rand);
}

/* Returns the next live member of a round; NULL when there is none. */
static MemberRecord *
next_alive_in_round (Members *members, GPtrArray *round, gboolean own_hall)
{
  gboolean refilled = FALSE;

  for (;;)
    {
      g_autofree char *name = NULL;
      MemberRecord *record;

      if (round->len == 0 && !refilled)
        {
          start_round (members, round, own_hall);
          refilled = TRUE;
        }
      if (round->len == 0)
        return NULL;
      name = g_ptr_array_steal_index_fast (round, round->len - 1);
      record = members_table_find (members->table, name);
      if (record && record != members->self && members_is_alive (&record->member))
        return record;
    }
}

/*
 * Members of the own hall and members of other halls are probed in separate rounds. The
 * round of other halls takes longer, because traffic between halls is expensive and each
 * member is also probed from within its own hall.
 */
static MemberRecord *
next_subject (Members *members)
{
  gboolean remote_first = members->periods % REMOTE_PERIODS == 0;
  MemberRecord *record;

  if (remote_first)
    record = next_alive_in_round (members, members->remote_round, FALSE);
  else
    record = next_alive_in_round (members, members->round, TRUE);
  if (record)
    return record;
  if (remote_first)
    return next_alive_in_round (members, members->round, TRUE);
  return next_alive_in_round (members, members->remote_round, FALSE);
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

  probe.indirect_due_us = now + members->timing.direct_timeout_us;
  probe.due_us = now + members->timing.period_us;
  g_array_append_val (members->probes, probe);
  g_ptr_array_add (actions, action_create (MEMBERS_PROBE, record->member.address,
                                           record->member.node, probe.sequence));
}

/* Asks random live members to probe `subject`. */
static void
request_indirect_probes (Members *members,
                         const MemberRecord *subject,
                         guint sequence,
                         GPtrArray *actions)
{
  g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);
  guint asked = 0;

  members_table_names (members->table, names);
  shuffle (names, members->rand);
  for (guint i = 0; i < names->len && asked < members->timing.indirect_probes; i++)
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

/* Probes a random dead member or a seed whose address is unknown in the view. */
static void
probe_dead_or_seed (Members *members, GPtrArray *actions)
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

      if (record && !probe->indirect_sent && now >= probe->indirect_due_us)
        {
          probe->indirect_sent = TRUE;
          request_indirect_probes (members, record, probe->sequence, actions);
        }
      if (now < probe->due_us)
        continue;
      if (record && record->member.status == MEMBER_ALIVE)
        members_set_status (members, record, MEMBER_SUSPECT);
      g_array_remove_index_fast (members->probes, i);
    }
}

static void
expire_records (Members *members)
{
  gint64 now = clock_now (members->clock);
  gint64 suspicion = (gint64)((double)members->timing.suspicion_timeout_us *
                              MAX (members_fleet_log (members), 1.0));
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
        members_set_status (members, record, MEMBER_DEAD);
      else if (!members_is_alive (&record->member) &&
               age >= members->timing.dead_retention_us)
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

      expire_records (members);
      if (subject)
        start_probe (members, subject, actions);
      if (!subject || members->periods % DEAD_PROBE_PERIODS == 0)
        probe_dead_or_seed (members, actions);
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

      next = MIN (next, probe->indirect_sent ? probe->due_us : probe->indirect_due_us);
    }
  return next;
}

void
members_mark_replaced (Members *members, const char *node)
{
  MemberRecord *record = members_table_find (members->table, node);

  if (record && record != members->self && members_is_alive (&record->member))
    members_set_status (members, record, MEMBER_DEAD);
}

void
members_answered (Members *members, guint sequence, const char *from)
{
  for (guint i = 0; i < members->probes->len; i++)
    {
      const Probe *probe = &g_array_index (members->probes, Probe, i);

      if (probe->sequence != sequence)
        continue;
      /* An indirect probe is answered under the helper's name. */
      if (!probe->indirect_sent && strcmp (probe->node, from) != 0)
        members_mark_replaced (members, probe->node);
      g_array_remove_index_fast (members->probes, i);
      return;
    }
}
