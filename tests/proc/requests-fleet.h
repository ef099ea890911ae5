/*
 * A fleet for tests of single requests. The service "pay" serves POST /pay and GET /read,
 * with a target beside each node.
 */
#ifndef TESTS_REQUESTS_FLEET_H
#define TESTS_REQUESTS_FLEET_H

#include "fleet.h"

/* The slots of each target. */
#define REQUESTS_SLOTS 10

/* Starts the fleet and waits until all nodes have its configuration. */
Fleet *requests_start (guint nodes, guint latency_ms);

/*
 * Sends a request through node 0. Fails the test unless the request ends with `outcome`
 * and the answer contains `body_part`; NULL accepts any body.
 */
void requests_expect (Fleet *fleet,
                      const char *method,
                      const char *path,
                      const char *id,
                      const char *outcome,
                      const char *body_part);

#endif
