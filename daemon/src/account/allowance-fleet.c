#include "allowance-fleet.h"

#include <string.h>

#define LOOK_EVERY_US (200 * MS_US)
/* A node that has just started does not know the fleet yet, and would take itself for a
   lender of every account. */
#define YOUNG_US SECOND_US
/* The largest fleet seen in so long is what shares are of: those that are cut off are
   found out within seconds, and come back, or have left. */
#define MOST_KEPT_US (30 * SECOND_US)

struct AllowanceFleet
{
  const Node *node;
  GArray *nodes; /* of AllowanceNode, with texts in `texts` */
  GStringChunk *texts;
  guint64 digest; /* of the names */
  gint64 looked_us;
  gint64 changed_us;
  guint most;
  gint64 most_until_us;
};

AllowanceFleet *
allowance_fleet_create (const Node *node)
{
  AllowanceFleet *fleet = g_new0 (AllowanceFleet, 1);

  fleet->node = node;
  fleet->nodes = g_array_new (FALSE, FALSE, sizeof (AllowanceNode));
  fleet->texts = g_string_chunk_new (1024);
  fleet->looked_us = clock_now (node->clock) - LOOK_EVERY_US;
  fleet->changed_us = clock_now (node->clock);
  return fleet;
}

void
allowance_fleet_destroy (AllowanceFleet *fleet)
{
  if (!fleet)
    return;
  g_array_unref (fleet->nodes);
  g_string_chunk_free (fleet->texts);
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

/* A digest of the names that does not depend on their order. */
static guint64
take_members (AllowanceFleet *fleet)
{
  const GPtrArray *all = members_all (fleet->node->members);
  guint64 digest = 0;

  g_array_set_size (fleet->nodes, 0);
  g_string_chunk_clear (fleet->texts);
  for (guint i = 0; i < all->len; i++)
    {
      const Member *member = g_ptr_array_index (all, i);
      AllowanceNode node;

      if (!members_is_alive (member))
        continue;
      node.node = g_string_chunk_insert (fleet->texts, member->node);
      node.hall = g_string_chunk_insert_const (fleet->texts, member->hall);
      g_array_append_val (fleet->nodes, node);
      digest += ((guint64)g_str_hash (member->node) + 1) * 0x9e3779b97f4a7c15u;
    }
  return digest;
}

gboolean
allowance_fleet_look (AllowanceFleet *fleet)
{
  gint64 now = clock_now (fleet->node->clock);
  guint64 digest;

  if (now - fleet->looked_us < LOOK_EVERY_US)
    return FALSE;
  fleet->looked_us = now;
  digest = take_members (fleet);
  note_size (fleet, now);
  if (digest == fleet->digest)
    return FALSE;
  fleet->digest = digest;
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
  return clock_now (fleet->node->clock) - fleet->node->started_us < YOUNG_US;
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
  return MAX (fleet->changed_us, fleet->node->started_us + YOUNG_US);
}
