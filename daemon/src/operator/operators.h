/*
 * The operators' API over HTTP; each call needs an operator's token.
 *
 *   POST /v1/plan             body: an intent; answers the plan, or 400 with the faults
 *   POST /v1/confirm          body: {"intent": ..., "base_generation": N, "id": "...",
 *                             "force": false}
 *   GET  /v1/status           this node's view of itself, targets and members
 *   GET  /v1/events           this node's most recent events
 *   GET  /v1/quarantine       requests suspected of crashing targets
 *   POST /v1/quarantine/lift  body: {"request": DIGITS}
 *   GET  /v1/accounts         accounts counted here, or with ?id=ID that one
 *   GET  /metrics             counters and histograms
 */
#ifndef DAEMON_OPERATORS_H
#define DAEMON_OPERATORS_H

#include "node.h"

/* Returns NULL and sets `error` if the operators' address cannot be bound. */
Operators *operators_create (Node *node, GError **error);
void operators_destroy (Operators *operators);

#endif
