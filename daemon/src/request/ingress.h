/*
 * The ingress: takes callers' requests and carries each through its dispatch.
 */
#ifndef DAEMON_INGRESS_H
#define DAEMON_INGRESS_H

#include "node.h"

/* NULL, with `error` set, when the callers' address cannot be bound. */
Ingress *ingress_create (Node *node, GError **error);
void ingress_destroy (Ingress *ingress);

/* Serves on, but each answer closes its connection, so that callers go elsewhere. */
void ingress_close_connections (Ingress *ingress);

/* Answers new requests with "not run" from now on, and lets those in flight end. */
void ingress_drain (Ingress *ingress);

/*
 * Answers all requests in flight at once, for a stop that cannot wait: "not run" where
 * nothing was ever sent, else "unknown". Returns how many there were.
 */
guint ingress_cut (Ingress *ingress);

/* Requests in flight. */
guint ingress_active (const Ingress *ingress);

#endif
