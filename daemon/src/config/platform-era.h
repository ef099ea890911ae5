/*
 * The era of the platform's store, which rises each time the store is restored from an
 * older copy. Later writes are then lost and their revision numbers are reused, so that a
 * revision read in an older era is no longer valid. A node learns of a new era from the
 * store's answers or from other nodes by gossip.
 */
#ifndef DAEMON_PLATFORM_ERA_H
#define DAEMON_PLATFORM_ERA_H

#include "node.h"

PlatformEra *platform_era_create (Node *node);
void platform_era_destroy (PlatformEra *era);

/* Notes an era that the store or another node has reported; 0 is ignored. */
void platform_era_note (PlatformEra *era, guint64 seen);
/* Returns the highest era reported so far, or 0 if there is none. */
guint64 platform_era_get (const PlatformEra *era);

/* Returns when the era last rose above a known one, on the node's clock; 0 for never. */
gint64 platform_era_restored_us (const PlatformEra *era);

/* Called each time the era rises above a known one. */
typedef void (*PlatformEraFunc) (gpointer data);
/* Sets the only callback; NULL removes it. */
void
platform_era_set_restored_func (PlatformEra *era, PlatformEraFunc func, gpointer data);

#endif
