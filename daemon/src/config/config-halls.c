#include "config-sync-private.h"

#include <core/names.h>

#include "gossip.h"

static gboolean
holds (const GPtrArray *names, const char *name)
{
  return g_ptr_array_find_with_equal_func ((GPtrArray *)names, name, g_str_equal, NULL);
}

/* Adds an event for each hall in `from` that is not in `without`. */
static void
add_hall_events (ConfigSync *sync,
                 const char *event,
                 const GPtrArray *from,
                 const GPtrArray *without)
{
  for (guint i = 0; i < from->len; i++)
    {
      const char *hall = g_ptr_array_index (from, i);

      if (!holds (without, hall))
        events_add (sync->node->events, event, hall, NULL);
    }
}

void
config_sync_apply_evacuations (ConfigSync *sync,
                               guint64 era,
                               guint64 revision,
                               const GPtrArray *halls)
{
  /* This reference keeps the old array, which evacuations_update replaces. */
  g_autoptr (GPtrArray) before =
      g_ptr_array_ref ((GPtrArray *)evacuations_halls (sync->evacuations));

  if (!evacuations_update (sync->evacuations, era, revision, halls))
    return;
  add_hall_events (sync, "hall-evacuated", evacuations_halls (sync->evacuations), before);
  add_hall_events (sync, "hall-taken-back", before,
                   evacuations_halls (sync->evacuations));
  metrics_set (sync->node->metrics, METRIC_HALLS_EVACUATED,
               evacuations_halls (sync->evacuations)->len);
  config_sync_compose (sync);
  gossip_push (sync->node->gossip);
}

const Evacuations *
config_sync_evacuations (const ConfigSync *sync)
{
  return sync->evacuations;
}

void
config_sync_fill_evacuations (const ConfigSync *sync, sw_evacuations *words)
{
  const GPtrArray *halls = evacuations_halls (sync->evacuations);

  words->era = evacuations_era (sync->evacuations);
  words->revision = evacuations_revision (sync->evacuations);
  words->halls.halls_val = g_new0 (sw_hall_name, halls->len + 1);
  words->halls.halls_len = halls->len;
  for (guint i = 0; i < halls->len; i++)
    words->halls.halls_val[i] = g_ptr_array_index (halls, i);
}

void
config_sync_clear_evacuations (sw_evacuations *words)
{
  g_free (words->halls.halls_val);
}

void
config_sync_merge_evacuations (ConfigSync *sync, const sw_evacuations *words)
{
  g_autoptr (GPtrArray) halls = g_ptr_array_new ();

  for (guint i = 0; i < words->halls.halls_len; i++)
    if (names_valid (words->halls.halls_val[i]))
      g_ptr_array_add (halls, words->halls.halls_val[i]);
  config_sync_apply_evacuations (sync, words->era, words->revision, halls);
}
