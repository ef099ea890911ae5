/*
 * Tells load balancers whether to send work to this node: GET /ready answers 200 while
 * the node has a configuration, is not stopping and its target is not leaving, else 503.
 */
#ifndef DAEMON_READINESS_H
#define DAEMON_READINESS_H

#include "node.h"

/* Returns NULL and sets `error` if the address cannot be bound. */
Readiness *readiness_create (Node *node, GError **error);
void readiness_destroy (Readiness *readiness);

#endif
