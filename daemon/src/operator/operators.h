/*
 * The operators' API: plans, confirmations, status, events and metrics, over HTTP.
 *
 *   POST /v1/plan       an intent; answers with the plan, or 400 with the faults
 *   POST /v1/confirm    {"intent": ..., "base_generation": N, "id": "...", "force":
 * false} GET  /v1/status     this node's view, as JSON GET  /v1/events     this node's
 * last events GET  /metrics       counters and histograms
 */
#ifndef DAEMON_OPERATORS_H
#define DAEMON_OPERATORS_H

#include "node.h"

/* NULL, with `error` set, when the operators' address cannot be bound. */
Operators *operators_create (Node *node, GError **error);
void operators_destroy (Operators *operators);

#endif
