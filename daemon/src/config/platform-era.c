#include "platform-era.h"

#include "gossip.h"

struct PlatformEra
{
  Node *node;
  guint64 era;
  gint64 restored_us;
  PlatformEraFunc restored_func;
  gpointer data;
};

PlatformEra *
platform_era_create (Node *node)
{
  PlatformEra *era = g_new0 (PlatformEra, 1);

  era->node = node;
  return era;
}

void
platform_era_destroy (PlatformEra *era)
{
  g_free (era);
}

void
platform_era_note (PlatformEra *era, guint64 seen)
{
  g_autofree char *from = g_strdup_printf ("%" G_GUINT64_FORMAT, era->era);
  g_autofree char *to = g_strdup_printf ("%" G_GUINT64_FORMAT, seen);
  gboolean known = era->era > 0;

  if (seen <= era->era)
    return;
  era->era = seen;
  metrics_set (era->node->metrics, METRIC_STORE_ERA, seen);
  if (!known)
    return;
  era->restored_us = clock_now (era->node->clock);
  events_add (era->node->events, "store-restored", to, from);
  gossip_push (era->node->gossip);
  if (era->restored_func)
    era->restored_func (era->data);
}

guint64
platform_era_get (const PlatformEra *era)
{
  return era->era;
}

gint64
platform_era_restored_us (const PlatformEra *era)
{
  return era->restored_us;
}

void
platform_era_set_restored_func (PlatformEra *era, PlatformEraFunc func, gpointer data)
{
  era->restored_func = func;
  era->data = data;
}
