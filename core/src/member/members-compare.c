#include "members-private.h"

/* Views are compared in full no more often than this: with nodes of the own hall, and
   with others, whose bytes are dear and whom a hall of its own hears through others. */
#define EVERY_US (10 * SECOND_US)
#define FAR_EVERY_US (30 * SECOND_US)
/* A digest that differs once may only be news on its way. */
#define MISMATCHES 3u
/* A node is young for so long after its start: as long as the users' callers stay away.
 */
#define YOUNG_US (8 * SECOND_US)
#define YOUNG_EVERY_US (300 * MS_US)
#define YOUNG_FAR_EVERY_US SECOND_US
/* So many nodes of a hall compare views with other halls while they are young. */
#define CARRIERS 2u

gboolean
members_is_young (const Members *members)
{
  return clock_now (members->clock) - members->began_us < YOUNG_US;
}

/* How soon a view that differs is compared. */
typedef struct
{
  guint mismatches; /* in a row */
  gint64 every_us;
} Pace;

/*
 * A node that has just started compares its view at the first difference, within its
 * hall; with other halls only a few nodes of each hall do, and the others have it from
 * them.
 */
static Pace
pace_of (const Members *members, gboolean near)
{
  gboolean young = members_is_young (members);

  if (young && near)
    return (Pace){ 1, YOUNG_EVERY_US };
  if (young && members_rank_in_hall (members) < CARRIERS)
    return (Pace){ 1, YOUNG_FAR_EVERY_US };
  return (Pace){ MISMATCHES, near ? EVERY_US : FAR_EVERY_US };
}

gboolean
members_compare_due (Members *members, const char *with, guint64 digest)
{
  const MemberRecord *record = members_table_find (members->table, with);
  gboolean near = record && members_in_own_hall (members, &record->member);
  Comparison *comparison = &members->comparisons[near];
  gint64 now = clock_now (members->clock);
  Pace pace = pace_of (members, near);

  if (digest == members_digest (members))
    {
      comparison->mismatches = 0;
      return FALSE;
    }
  if (++comparison->mismatches < pace.mismatches ||
      (comparison->at_us > 0 && now - comparison->at_us < pace.every_us))
    return FALSE;
  comparison->mismatches = 0;
  comparison->at_us = now;
  return TRUE;
}
