/*
 * Acknowledges announced ends of targets. An acknowledged end is final, whatever happens
 * to this process: it is acknowledged once the platform's store holds it or, while the
 * store does not answer, once other nodes do. If nobody else can be reached, it is not
 * acknowledged, and the target calls again.
 */
#ifndef DAEMON_LEAVE_ACKS_H
#define DAEMON_LEAVE_ACKS_H

#include <io/http-server.h>

#include "node.h"

typedef struct LeaveAcks LeaveAcks;

LeaveAcks *leave_acks_create (Node *node);
/* Calls to other nodes must have ended, and none of the platform may end later. */
void leave_acks_destroy (LeaveAcks *acks);

/* Answers `request` with 200 once others hold the end of `start`, with 503 if none does
   within the time that targets wait. The end is noted already (target-departures.h). */
void leave_acks_add (LeaveAcks *acks, HttpRequest *request, const char *start);

#endif
