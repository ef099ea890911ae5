#include "allowance-fleet.h"

#include <string.h>

/*
 * A node that has just started does not know the fleet yet, and would consider itself a
 * lender of every account. At first it uses the platform's list, which is the same for
 * all nodes; without one it does not lend until gossip has had this long to spread. 115
 * nodes that had been killed at once knew nine tenths of each other one second after
 * their start; 2,600 requests were refused in that second.
 */
#define STARTUP_US SECOND_US
/* How long after its start a node uses the list. Members found in this time were there
   before it, so they do not move the time from which it lends, which is its start. */
#define LIST_USED_US (3 * SECOND_US)
/* Shares refer to the largest fleet seen within this time. Nodes that are cut off are
   detected within seconds, and later rejoin or count as having left. */
#define FLEET_SIZE_KEPT_US (30 * SECOND_US)

struct AllowanceFleet
{
  const Node *node;
  GHashTable *halls;      /* live members: node → hall */
  GHashTable *gone;       /* set of the nodes that gossip reports as dead or left */
  GArray *nodes;          /* of AllowanceNode, borrowed from `halls` and the list */
  gboolean includes_list; /* `nodes` includes the platform's list */
  gint64 changed_us;
  guint most;
  gint64 fleet_size_until_us;
};

AllowanceFleet *
allowance_fleet_create (const Node *node)
{
  AllowanceFleet *fleet = g_new0 (AllowanceFleet, 1);

  fleet->node = node;
  fleet->halls = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  fleet->gone = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fleet->nodes = g_array_new (FALSE, FALSE, sizeof (AllowanceNode));
  fleet->changed_us = node->started_us;
  allowance_fleet_note_member (fleet, members_self (node->members));
  return fleet;
}

void
allowance_fleet_destroy (AllowanceFleet *fleet)
{
  if (!fleet)
    return;
  g_array_unref (fleet->nodes);
  g_hash_table_unref (fleet->halls);
  g_hash_table_unref (fleet->gone);
  g_free (fleet);
}

static void
note_fleet_size (AllowanceFleet *fleet, gint64 now_us)
{
  if (fleet->nodes->len < fleet->most && now_us < fleet->fleet_size_until_us)
    return;
  fleet->most = fleet->nodes->len;
  fleet->fleet_size_until_us = now_us + FLEET_SIZE_KEPT_US;
}

static gint64
age_us (const AllowanceFleet *fleet)
{
  return clock_now (fleet->node->clock) - fleet->node->started_us;
}

/* When a fleet starts for the first time, the list is as incomplete as the membership. */
static gboolean
uses_list (const AllowanceFleet *fleet)
{
  return age_us (fleet) < LIST_USED_US && fleet_list_is_read (fleet->node->list) &&
         !fleet->node->settings->first_start;
}

/* Adds the listed nodes that gossip has not reported, neither as alive nor as gone. */
static void
add_listed (AllowanceFleet *fleet)
{
  g_autoptr (GPtrArray) entries = g_ptr_array_new ();

  fleet_list_all (fleet->node->list, entries);
  for (guint i = 0; i < entries->len; i++)
    {
      const FleetListEntry *entry = g_ptr_array_index (entries, i);
      AllowanceNode item = { entry->node, entry->hall, allowance_hash (entry->node) };

      if (!g_hash_table_contains (fleet->halls, entry->node) &&
          !g_hash_table_contains (fleet->gone, entry->node))
        g_array_append_val (fleet->nodes, item);
    }
}

static void
rebuild_nodes (AllowanceFleet *fleet)
{
  GHashTableIter iter;
  gpointer node;
  gpointer hall;

  g_array_set_size (fleet->nodes, 0);
  g_hash_table_iter_init (&iter, fleet->halls);
  while (g_hash_table_iter_next (&iter, &node, &hall))
    {
      AllowanceNode item = { node, hall, allowance_hash (node) };

      g_array_append_val (fleet->nodes, item);
    }
  fleet->includes_list = uses_list (fleet);
  if (fleet->includes_list)
    add_listed (fleet);
  else
    note_fleet_size (fleet, clock_now (fleet->node->clock));
}

void
allowance_fleet_note_list (AllowanceFleet *fleet)
{
  if (uses_list (fleet))
    rebuild_nodes (fleet);
}

gboolean
allowance_fleet_expire_list (AllowanceFleet *fleet)
{
  if (!fleet->includes_list || uses_list (fleet))
    return FALSE;
  g_hash_table_remove_all (fleet->gone);
  rebuild_nodes (fleet);
  return TRUE;
}

gboolean
allowance_fleet_note_member (AllowanceFleet *fleet, const Member *member)
{
  gint64 now = clock_now (fleet->node->clock);
  gboolean alive = members_is_alive (member);

  if (alive == g_hash_table_contains (fleet->halls, member->node))
    return FALSE;
  if (alive)
    {
      g_hash_table_insert (fleet->halls, g_strdup (member->node),
                           g_strdup (member->hall));
      g_hash_table_remove (fleet->gone, member->node);
    }
  else
    {
      g_hash_table_remove (fleet->halls, member->node);
      if (age_us (fleet) < LIST_USED_US)
        g_hash_table_add (fleet->gone, g_strdup (member->node));
    }
  rebuild_nodes (fleet);
  if (age_us (fleet) > LIST_USED_US)
    fleet->changed_us = now;
  return TRUE;
}

static gboolean
is_in_own_hall (const AllowanceFleet *fleet, const char *node)
{
  const char *hall = g_hash_table_lookup (fleet->halls, node);
  const FleetListEntry *entry = hall ? NULL : fleet_list_find (fleet->node->list, node);

  if (entry)
    hall = entry->hall;
  return g_strcmp0 (hall, fleet->node->settings->hall) == 0;
}

/* Moves a lender of this node's hall to the front: its answer comes soonest, and costs no
   traffic between halls. */
static void
move_own_hall_first (const AllowanceFleet *fleet, const char **lenders, guint count)
{
  for (guint i = 0; i < count; i++)
    {
      const char *near = lenders[i];

      if (!is_in_own_hall (fleet, near))
        continue;
      lenders[i] = lenders[0];
      lenders[0] = near;
      return;
    }
}

guint
allowance_fleet_lenders (const AllowanceFleet *fleet,
                         const char *account,
                         const char *lenders[ALLOWANCE_LENDERS])
{
  guint count = allowance_select_lenders (fleet->nodes, account, lenders);

  move_own_hall_first (fleet, lenders, count);
  return count;
}

static gboolean
is_starting_up (const AllowanceFleet *fleet)
{
  return age_us (fleet) < STARTUP_US && !fleet->includes_list;
}

/* Returns the part of the fleet that this node sees, 0 to 1. While the platform's list is
   used, that is the whole. */
static double
seen_share (const AllowanceFleet *fleet)
{
  if (fleet->includes_list || fleet->nodes->len >= fleet->most)
    return 1;
  return (double)fleet->nodes->len / fleet->most;
}

double
allowance_fleet_share (const AllowanceFleet *fleet, const char *account)
{
  const char *lenders[ALLOWANCE_LENDERS];
  guint count;

  if (is_starting_up (fleet))
    return 0;
  count = allowance_select_lenders (fleet->nodes, account, lenders);
  for (guint i = 0; i < count; i++)
    if (strcmp (lenders[i], fleet->node->settings->node) == 0)
      return seen_share (fleet) / count;
  return 0;
}

gint64
allowance_fleet_lends_since_us (const AllowanceFleet *fleet)
{
  return fleet->changed_us;
}
