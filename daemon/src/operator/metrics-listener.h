/*
 * Serves GET /metrics without a token on a separate address, for networks where everyone
 * who can connect may read the counters.
 */
#ifndef DAEMON_METRICS_LISTENER_H
#define DAEMON_METRICS_LISTENER_H

#include "node.h"

/* Returns NULL and sets `error` if the address cannot be bound. */
MetricsListener *metrics_listener_create (Node *node, GError **error);
void metrics_listener_destroy (MetricsListener *listener);

#endif
