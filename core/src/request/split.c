#include <core/split.h>

#include <string.h>

/* Smooth weighted round robin state of one route. */
typedef struct
{
  GArray *credits; /* of gint64, one per share of the route */
} Turns;

/* The sequence of turns repeats after as many picks as the weights add up to. A route
   begins at a random one of at most this many first turns, to bound the work. */
#define FIRST_TURN_MAX 1000

struct Splitter
{
  GRand *rand;
  GHashTable *routes; /* "host prefix" → Turns */
};

static void
turns_free (gpointer data)
{
  Turns *turns = data;

  g_array_unref (turns->credits);
  g_free (turns);
}

Splitter *
splitter_create (GRand *rand)
{
  Splitter *splitter = g_new0 (Splitter, 1);

  splitter->rand = rand;
  splitter->routes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, turns_free);
  return splitter;
}

void
splitter_destroy (Splitter *splitter)
{
  if (!splitter)
    return;
  g_hash_table_unref (splitter->routes);
  g_free (splitter);
}

static gint64
total_weight_of (const Route *route)
{
  gint64 total = 0;

  for (guint i = 0; i < route->split->len; i++)
    total += g_array_index (route->split, RouteShare, i).weight;
  return total;
}

/* Adds to each share's credit its weight, selects the share with the highest credit, and
   subtracts the total weight from it. Returns the index of the selected share. */
static guint
select_share (Turns *turns, const Route *route, gint64 total)
{
  guint best = 0;

  for (guint i = 0; i < route->split->len; i++)
    {
      gint64 *credit = &g_array_index (turns->credits, gint64, i);

      *credit += g_array_index (route->split, RouteShare, i).weight;
      if (*credit > g_array_index (turns->credits, gint64, best))
        best = i;
    }
  g_array_index (turns->credits, gint64, best) -= total;
  return best;
}

/*
 * Returns the state of a route, which is created anew when the number of shares changed.
 * Each node begins at a random turn: if all nodes began at the first one, a fleet with a
 * few requests per node would send nearly all of them to the largest share.
 */
static Turns *
turns_of (Splitter *splitter, const Route *route, gint64 total)
{
  g_autofree char *key = g_strconcat (route->host, " ", route->prefix, NULL);
  Turns *turns = g_hash_table_lookup (splitter->routes, key);
  gint32 skipped;

  if (turns && turns->credits->len == route->split->len)
    return turns;
  turns = g_new0 (Turns, 1);
  turns->credits = g_array_new (FALSE, TRUE, sizeof (gint64));
  g_array_set_size (turns->credits, route->split->len);
  skipped =
      g_rand_int_range (splitter->rand, 0, (gint32)CLAMP (total, 1, FIRST_TURN_MAX));
  for (gint32 i = 0; i < skipped; i++)
    select_share (turns, route, total);
  g_hash_table_replace (splitter->routes, g_steal_pointer (&key), turns);
  return turns;
}

const char *
splitter_pick (Splitter *splitter, const Route *route)
{
  gint64 total = total_weight_of (route);
  guint place;

  if (route->split->len == 0)
    return route->service;
  place = select_share (turns_of (splitter, route, total), route, total);
  return g_array_index (route->split, RouteShare, place).service;
}

void
splitter_reset (Splitter *splitter)
{
  g_hash_table_remove_all (splitter->routes);
}
