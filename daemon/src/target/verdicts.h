/*
 * Publishes the health of this node's targets: verdicts in gossip, events when they
 * change, and the status for operators.
 */
#ifndef DAEMON_VERDICTS_H
#define DAEMON_VERDICTS_H

#include "node.h"

/*
 * Updates this member's gossip state and disseminates it at once, if any verdict or the
 * registration has changed. `targets` maps names to SidecarTarget; `draining` says that
 * all of them are leaving.
 */
void verdicts_publish (Node *node, GHashTable *targets, gboolean draining);

/* Appends an array of the targets with their verdicts and the reasons for them. */
void verdicts_write (GHashTable *targets, gboolean draining, JsonBuilder *builder);

#endif
