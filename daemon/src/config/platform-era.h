/*
 * The era of the platform's store: it rises each time the store comes back from an older
 * copy. What was written there since that copy is gone, and revisions are given out
 * again: one that was read in an older era says nothing any more. A node hears of a new
 * era by the store's own answers, or from its neighbours.
 */
#ifndef DAEMON_PLATFORM_ERA_H
#define DAEMON_PLATFORM_ERA_H

#include "node.h"

PlatformEra *platform_era_create (Node *node);
void platform_era_destroy (PlatformEra *era);

/* Somebody has seen this era; 0 for one that was not told. */
void platform_era_note (PlatformEra *era, guint64 seen);
/* The highest that has been heard of; 0 for none. */
guint64 platform_era_get (const PlatformEra *era);

/* When the era rose above one that was known, by the node's clock; 0 for never. */
gint64 platform_era_risen_us (const PlatformEra *era);

/* Runs each time the era rises above one that was known. */
typedef void (*PlatformEraFunc) (gpointer data);
/* One function in all; NULL for none any more. */
void platform_era_set_risen (PlatformEra *era, PlatformEraFunc func, gpointer data);

#endif
