/*
 * Acknowledges announced ends of targets. An acknowledged end is final, whatever happens
 * to the fleet's processes, of which any number may be lost at once: it is acknowledged
 * once the platform's store holds it. A node that does not reach the store has other
 * nodes save the end. While no node does, it is not acknowledged, and the target calls
 * again.
 *
 * On a platform without a store other nodes hold the end.
 */
#ifndef DAEMON_LEAVE_ACKS_H
#define DAEMON_LEAVE_ACKS_H

#include <io/http-server.h>

#include "node.h"

typedef struct LeaveAcks LeaveAcks;

LeaveAcks *leave_acks_create (Node *node);
/* Calls to other nodes must have ended, and none of the platform may end later. */
void leave_acks_destroy (LeaveAcks *acks);

/* Answers `request` with 200 once the end of `start` is held, with 503 if it is not
   within the time that targets wait. The end is noted already (target-departures.h). */
void leave_acks_add (LeaveAcks *acks, HttpRequest *request, const char *start);

#endif
