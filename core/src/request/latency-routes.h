/*
 * A bounded table of what is held of each route, for the two sides that hold something:
 * the sidecar its own fits, the ingress what it hears of them.
 */
#ifndef CORE_REQUEST_LATENCY_ROUTES_H
#define CORE_REQUEST_LATENCY_ROUTES_H

#include <glib.h>

/* An empty table: id → record. */
GHashTable *latency_routes_create (void);

/* The record of a route, made anew with `size` zero bytes where there is none. */
gpointer latency_routes_get (GHashTable *routes, guint32 id, gsize size);

#endif
