/*
 * The target beside this node that registers itself: it calls with its state about once
 * a second, and before it leaves. This node is the authority on it for the whole fleet.
 *
 *   POST /v1/targets/NAME/heartbeat   {"service", "slots", "state": "serving"|"leaving",
 *                                      "sequence", "cold_ms", ...}; 200 when it has been
 * taken in POST /v1/targets/NAME/leave       it leaves and calls no more
 *
 * NAME is new with each start of the target. A call that is answered with 200 is in
 * force.
 */
#ifndef DAEMON_REGISTRY_H
#define DAEMON_REGISTRY_H

#include <wire/message.h>

#include "node.h"

/* NULL, with `error` set, when the address cannot be bound. */
Registry *registry_create (Node *node, GError **error);
void registry_destroy (Registry *registry);

/* Whether the registration changed since this was last asked. FALSE for NULL. */
gboolean registry_take_news (Registry *registry);

/* Whether the target has said that it leaves. FALSE for NULL. */
gboolean registry_is_leaving (const Registry *registry);

/* The version of its service's software that the target runs, as it says; NULL for not
   known, and for NULL. */
const char *registry_version (const Registry *registry);

/* The registration for other nodes, borrowed; returns how many there are (0 or 1). */
guint registry_fill (const Registry *registry, sw_registration *registration);

#endif
