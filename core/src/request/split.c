#include <core/split.h>

#include <string.h>

/* What each service of one route is owed; smooth weighted round robin. */
typedef struct
{
  GArray *credits; /* of gint64, one for each share */
} Turns;

struct Splitter
{
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
splitter_create (void)
{
  Splitter *splitter = g_new0 (Splitter, 1);

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

/* The turns of a route; begun anew when the number of its shares has changed. */
static Turns *
turns_of (Splitter *splitter, const Route *route)
{
  g_autofree char *key = g_strconcat (route->host, " ", route->prefix, NULL);
  Turns *turns = g_hash_table_lookup (splitter->routes, key);

  if (turns && turns->credits->len == route->split->len)
    return turns;
  turns = g_new0 (Turns, 1);
  turns->credits = g_array_new (FALSE, TRUE, sizeof (gint64));
  g_array_set_size (turns->credits, route->split->len);
  g_hash_table_replace (splitter->routes, g_steal_pointer (&key), turns);
  return turns;
}

const char *
splitter_pick (Splitter *splitter, const Route *route)
{
  Turns *turns;
  gint64 total = 0;
  guint best = 0;

  if (route->split->len == 0)
    return route->service;
  turns = turns_of (splitter, route);
  for (guint i = 0; i < route->split->len; i++)
    {
      gint64 weight = g_array_index (route->split, RouteShare, i).weight;

      total += weight;
      g_array_index (turns->credits, gint64, i) += weight;
      if (g_array_index (turns->credits, gint64, i) >
          g_array_index (turns->credits, gint64, best))
        best = i;
    }
  g_array_index (turns->credits, gint64, best) -= total;
  return g_array_index (route->split, RouteShare, best).service;
}

void
splitter_prune (Splitter *splitter)
{
  g_hash_table_remove_all (splitter->routes);
}
