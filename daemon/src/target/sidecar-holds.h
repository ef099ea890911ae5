/*
 * Slots that a sidecar holds for requests that are sent afterwards. Unless it may queue
 * or has a ticket, a request is sent to another hall only once a slot is held for it
 * there. Within the hall, a node that has not been heard lately is asked for a slot
 * first, because a lost slot request costs less than a lost request. A slot whose request
 * does not arrive in time is released.
 */
#ifndef DAEMON_SIDECAR_HOLDS_H
#define DAEMON_SIDECAR_HOLDS_H

#include <core/fence.h>

#include "sidecar-target.h"

typedef struct SidecarHolds SidecarHolds;

SidecarHolds *sidecar_holds_create (Clock *clock);
void sidecar_holds_destroy (SidecarHolds *holds);

/* Holds a slot of the target for an attempt. Returns FALSE if none is free. */
gboolean
sidecar_holds_add (SidecarHolds *holds, SidecarTarget *target, const AttemptId *id);

/* Returns whether a slot of the target is held for the attempt. If so, the hold ends and
   the caller owns the slot. */
gboolean sidecar_holds_take (SidecarHolds *holds,
                             const SidecarTarget *target,
                             const AttemptId *id);

/* Releases the slots whose hold has timed out. */
void sidecar_holds_expire (SidecarHolds *holds);

#endif
