/*
 * A bounded table of records per route, used by the sidecar for its own fits and by the
 * ingress for those that it receives.
 */
#ifndef CORE_REQUEST_LATENCY_ROUTES_H
#define CORE_REQUEST_LATENCY_ROUTES_H

#include <glib.h>

/* Returns an empty table: id → record. */
GHashTable *latency_routes_create (void);

/* Returns the record of a route, creating one of `size` zero bytes if there is none. */
gpointer latency_routes_get (GHashTable *routes, guint32 id, gsize size);

#endif
