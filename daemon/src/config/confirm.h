/*
 * Confirming a plan: its parts are written under their digests, then one conditional
 * write of the head accepts it. A lost answer is settled by reading the head back: it
 * names the plan, or it does not.
 */
#ifndef DAEMON_CONFIRM_H
#define DAEMON_CONFIRM_H

#include <core/plan.h>

#include "node.h"

typedef enum
{
  CONFIRM_ACCEPTED, /* in force, or on its way everywhere */
  CONFIRM_STALE,    /* another change came first: plan again */
  CONFIRM_UNKNOWN   /* the platform does not answer: confirm again, which is harmless */
} ConfirmOutcome;

typedef void (*ConfirmDone) (ConfirmOutcome outcome, guint64 generation, gpointer data);

/* Takes the plan over. `done` runs once, from the loop. */
void confirm_start (Node *node, Plan *plan, ConfirmDone done, gpointer data);

#endif
