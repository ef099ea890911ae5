#include "allowance-fleet.h"

#include <string.h>

/*
 * A node that has just started does not know the fleet yet, and would take itself for a
 * lender of every account. It lends when it has found nine tenths of those that are
 * listed, or when gossip has had time to get round.
 */
#define YOUNG_US SECOND_US
#define KNOWN_SHARE 0.9
/* Whom a node finds in this time was there before it: with the node's life begins what it
   lends. */
#define FINDING_US (3 * SECOND_US)
/* The largest fleet seen in so long is what shares are of: those that are cut off are
   found out within seconds, and come back, or have left. */
#define MOST_KEPT_US (30 * SECOND_US)

struct AllowanceFleet
{
  const Node *node;
  GHashTable *halls; /* of those that are there: node → hall */
  GArray *nodes;     /* of AllowanceNode, borrowed from `halls` */
  gint64 changed_us;
  guint most;
  gint64 most_until_us;
};

AllowanceFleet *
allowance_fleet_create (const Node *node)
{
  AllowanceFleet *fleet = g_new0 (AllowanceFleet, 1);

  fleet->node = node;
  fleet->halls = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  fleet->nodes = g_array_new (FALSE, FALSE, sizeof (AllowanceNode));
  fleet->changed_us = node->started_us;
  allowance_fleet_note (fleet, members_self (node->members));
  return fleet;
}

void
allowance_fleet_destroy (AllowanceFleet *fleet)
{
  if (!fleet)
    return;
  g_array_unref (fleet->nodes);
  g_hash_table_unref (fleet->halls);
  g_free (fleet);
}

static void
note_size (AllowanceFleet *fleet, gint64 now_us)
{
  if (fleet->nodes->len < fleet->most && now_us < fleet->most_until_us)
    return;
  fleet->most = fleet->nodes->len;
  fleet->most_until_us = now_us + MOST_KEPT_US;
}

static void
list_nodes (AllowanceFleet *fleet)
{
  GHashTableIter iter;
  gpointer node;
  gpointer hall;

  g_array_set_size (fleet->nodes, 0);
  g_hash_table_iter_init (&iter, fleet->halls);
  while (g_hash_table_iter_next (&iter, &node, &hall))
    {
      AllowanceNode item = { node, hall };

      g_array_append_val (fleet->nodes, item);
    }
}

static gint64
age_us (const AllowanceFleet *fleet)
{
  return clock_now (fleet->node->clock) - fleet->node->started_us;
}

gboolean
allowance_fleet_note (AllowanceFleet *fleet, const Member *member)
{
  gint64 now = clock_now (fleet->node->clock);
  gboolean alive = members_is_alive (member);

  if (alive == g_hash_table_contains (fleet->halls, member->node))
    return FALSE;
  if (alive)
    g_hash_table_insert (fleet->halls, g_strdup (member->node), g_strdup (member->hall));
  else
    g_hash_table_remove (fleet->halls, member->node);
  list_nodes (fleet);
  note_size (fleet, now);
  if (age_us (fleet) > FINDING_US)
    fleet->changed_us = now;
  return TRUE;
}

/* The nearest first: its answer comes soonest, and costs no bytes between halls. */
static void
own_hall_first (const AllowanceFleet *fleet, const char **lenders, guint count)
{
  for (guint i = 1; i < count; i++)
    {
      const Member *member = members_find (fleet->node->members, lenders[i]);
      const char *first = lenders[0];

      if (!member || !members_in_own_hall (fleet->node->members, member))
        continue;
      lenders[0] = lenders[i];
      lenders[i] = first;
      return;
    }
}

guint
allowance_fleet_lenders (const AllowanceFleet *fleet,
                         const char *account,
                         const char *lenders[ALLOWANCE_LENDERS])
{
  guint count = allowance_lenders (fleet->nodes, account, lenders);
  const Member *first =
      count > 0 ? members_find (fleet->node->members, lenders[0]) : NULL;

  if (first && !members_in_own_hall (fleet->node->members, first))
    own_hall_first (fleet, lenders, count);
  return count;
}

static gboolean
is_young (const AllowanceFleet *fleet)
{
  guint listed = fleet->node->listed;

  if (age_us (fleet) >= YOUNG_US)
    return FALSE;
  /* While a fleet starts for the first time its list is as incomplete as its view. */
  return fleet->node->settings->first_start || listed == 0 ||
         fleet->nodes->len < KNOWN_SHARE * listed;
}

double
allowance_fleet_share (const AllowanceFleet *fleet, const char *account)
{
  const char *lenders[ALLOWANCE_LENDERS];
  guint count = allowance_lenders (fleet->nodes, account, lenders);

  if (is_young (fleet) || fleet->most == 0)
    return 0;
  for (guint i = 0; i < count; i++)
    if (strcmp (lenders[i], fleet->node->settings->node) == 0)
      return (double)fleet->nodes->len / fleet->most / count;
  return 0;
}

gint64
allowance_fleet_since_us (const AllowanceFleet *fleet)
{
  return fleet->changed_us;
}
