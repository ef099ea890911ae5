/*
 * What this node's sidecar makes known of its targets: verdicts in gossip, events when
 * they change, and the status for operators.
 */
#ifndef DAEMON_VERDICTS_H
#define DAEMON_VERDICTS_H

#include "node.h"

/*
 * Puts verdicts that have changed into this member's words, and spreads them at once.
 * `targets` is a table of SidecarTarget by name; `draining` says that all of them leave.
 */
void verdicts_publish (Node *node, GHashTable *targets, gboolean draining);

/* Appends an array of the targets with their verdicts and why. */
void verdicts_write (GHashTable *targets, gboolean draining, JsonBuilder *builder);

#endif
