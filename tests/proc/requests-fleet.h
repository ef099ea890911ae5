/*
 * A fleet for tests of single requests: the service "pay" behind POST /pay and GET /read,
 * a target beside each node.
 */
#ifndef TESTS_REQUESTS_FLEET_H
#define TESTS_REQUESTS_FLEET_H

#include "fleet.h"

/* Of each target. */
#define REQUESTS_SLOTS 10

/* Starts the fleet, and waits until all nodes have its configuration. */
Fleet *requests_start (guint nodes, guint latency_ms);

/*
 * Sends a request through node 0, and fails the test unless it ends with that outcome,
 * and `body_part` (NULL for any) is in the answer.
 */
void requests_expect (Fleet *fleet,
                      const char *method,
                      const char *path,
                      const char *id,
                      const char *outcome,
                      const char *body_part);

#endif
