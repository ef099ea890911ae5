#include "members-private.h"

/* Minimum time between view comparisons, with nodes of the own hall and with nodes of
   other halls. Traffic between halls is expensive, and the nodes of a hall get the
   updates of other halls from each other. */
#define EVERY_US (10 * SECOND_US)
#define FAR_EVERY_US (30 * SECOND_US)
/* Consecutive differing digests before a comparison: a single one may only mean that an
   update is still on its way. */
#define MISMATCHES_MIN 3u
/* A node counts as starting up for this time, during which callers do not use it yet. */
#define STARTUP_US (8 * SECOND_US)
#define STARTUP_EVERY_US (300 * MS_US)
#define STARTUP_FAR_EVERY_US SECOND_US
/* Nodes per hall that, while starting up, compare views with other halls at the short
   interval. */
#define CROSS_HALL_NODES 2u

gboolean
members_is_starting_up (const Members *members)
{
  return clock_now (members->clock) - members->began_us < STARTUP_US;
}

/* When a differing view is compared. */
typedef struct
{
  guint mismatches; /* required consecutive ones */
  gint64 every_us;  /* minimum time between comparisons */
} ComparePolicy;

/*
 * A node that is starting up compares its view with nodes of its hall at the first
 * difference. With other halls only the first CROSS_HALL_NODES nodes of each hall do so;
 * the others get the result from them.
 */
static ComparePolicy
compare_policy (const Members *members, gboolean near)
{
  gboolean starting_up = members_is_starting_up (members);

  if (starting_up && near)
    return (ComparePolicy){ 1, STARTUP_EVERY_US };
  if (starting_up && members_rank_in_hall (members) < CROSS_HALL_NODES)
    return (ComparePolicy){ 1, STARTUP_FAR_EVERY_US };
  return (ComparePolicy){ MISMATCHES_MIN, near ? EVERY_US : FAR_EVERY_US };
}

gboolean
members_compare_due (Members *members, const char *node, guint64 digest)
{
  const MemberRecord *record = members_table_find (members->table, node);
  gboolean near = record && members_in_own_hall (members, &record->member);
  Comparison *comparison = &members->comparisons[near];
  gint64 now = clock_now (members->clock);
  ComparePolicy policy = compare_policy (members, near);

  if (digest == members_digest (members))
    {
      comparison->mismatches = 0;
      return FALSE;
    }
  if (++comparison->mismatches < policy.mismatches ||
      (comparison->at_us > 0 && now - comparison->at_us < policy.every_us))
    return FALSE;
  comparison->mismatches = 0;
  comparison->at_us = now;
  return TRUE;
}
