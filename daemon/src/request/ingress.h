/*
 * The ingress: accepts callers' requests, and runs each as an exchange (exchange.h).
 */
#ifndef DAEMON_INGRESS_H
#define DAEMON_INGRESS_H

#include "node.h"

/* Returns NULL and sets `error` if the callers' address cannot be bound. */
Ingress *ingress_create (Node *node, GError **error);
void ingress_destroy (Ingress *ingress);

/* Continues to serve what can end before the stop does (core/stop.h), but closes each
   connection with its next answer, so that callers connect to other nodes. */
void ingress_begin_stop (Ingress *ingress);

/* Answers new requests with "not run" from now on; those in flight continue. */
void ingress_drain (Ingress *ingress);

/* Stops listening; callers' next connections are refused. */
void ingress_stop_listening (Ingress *ingress);

/*
 * Answers all requests in flight immediately, for a forced stop: "not run" if no attempt
 * was sent, else "unknown". Returns their number.
 */
guint ingress_abort (Ingress *ingress);

/* Returns the number of requests whose answers have not been written whole. */
guint ingress_active (const Ingress *ingress);

/* Returns whether a caller has still to receive bytes of an answer. */
gboolean ingress_is_sending (const Ingress *ingress);

#endif
