/*
 * Self-registration of the target on this node's VM. The target reports its state about
 * once a second, and before it leaves. This node is the authority on it for the whole
 * fleet.
 *
 *   POST /v1/targets/NAME/heartbeat
 *       Body: {"service", "slots", "state": "serving"|"leaving", "sequence", "cold_ms",
 *       "version", "born"}
 *   POST /v1/targets/NAME/leave
 *       The target is leaving and makes no more calls. Body: empty or {"born"}
 *
 * NAME is the target's identifier. It is new with each start, unless "born" (the time of
 * the start in Unix milliseconds) distinguishes the starts. A call without "born" is of
 * the current start with this identifier; if the node knows none, a leave ends all starts
 * up to now. A call answered with 200 is in effect, except that a heartbeat with an old
 * sequence number is ignored, and one from an earlier start unless it announces the end.
 *
 * An announced end is final, also for a node that has restarted since: the other nodes
 * and the platform's store tell it (target-departures.h). A node that starts therefore
 * answers the first calls once both have, or after a short wait, and heartbeats with 503
 * as long as neither has. It acknowledges an end when others hold it (leave-acks.h).
 */
#ifndef DAEMON_REGISTRY_H
#define DAEMON_REGISTRY_H

#include <wire/message.h>

#include "node.h"

/* Returns NULL and sets `error` if the address cannot be bound. */
Registry *registry_create (Node *node, GError **error);
void registry_destroy (Registry *registry);

/* Takes what other nodes know: `start`, which was on this VM, has announced its end. NULL
   is allowed, also in the next function. */
void registry_note_departure (Registry *registry, const char *start);

/* Who tells a starting node of such ends. */
typedef enum
{
  REGISTRY_PEERS, /* another node has answered this one, or there is no other */
  REGISTRY_STORE, /* the platform's store, where it keeps them */
  REGISTRY_SOURCES
} RegistrySource;

/* Notes that a source has told. The calls that wait are answered once all have. */
void registry_note_told (Registry *registry, RegistrySource source);
/* Returns whether a source has told, or none needs to; TRUE if `registry` is NULL. */
gboolean registry_is_told (const Registry *registry, RegistrySource source);

/* Returns whether the registration has changed since the last call; FALSE for NULL. */
gboolean registry_take_changed (Registry *registry);

/* Returns whether the target has announced that it leaves; FALSE for NULL. */
gboolean registry_is_leaving (const Registry *registry);

/* Returns the software version that the target reports: NULL before the first heartbeat
   or if `registry` is NULL, "" if the target does not report it. */
const char *registry_version (const Registry *registry);

/* Fills in the registration for other nodes; its texts are borrowed. Returns the number
   of registrations, 0 or 1. */
guint registry_fill (const Registry *registry, sw_registration *registration);

#endif
