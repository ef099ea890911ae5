/*
 * Confirms a plan: writes its parts under their digests, then accepts it by one
 * conditional write of the head. If the answer to that write is lost, the head is read
 * back to see whether it names the plan.
 */
#ifndef DAEMON_CONFIRM_H
#define DAEMON_CONFIRM_H

#include <core/plan.h>

#include "node.h"

typedef enum
{
  CONFIRM_ACCEPTED, /* in force, or being distributed */
  CONFIRM_STALE,    /* another change was accepted first; a new plan is needed */
  CONFIRM_UNKNOWN   /* no usable answer from the platform; it is safe to confirm again */
} ConfirmOutcome;

typedef void (*ConfirmDone) (ConfirmOutcome outcome, guint64 generation, gpointer data);

/* Takes ownership of the plan. Calls `done` once, from the loop. */
void confirm_start (Node *node, Plan *plan, ConfirmDone done, gpointer data);

#endif
