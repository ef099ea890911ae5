/*
 * Exchanges the announced ends of targets (core/departures.h) with other nodes. The node
 * on a VM publishes the ends there in its payload and saves them in the platform's store;
 * every other node tells them to that node with each message, because it forgets them
 * when it restarts.
 */
#ifndef DAEMON_TARGET_DEPARTURES_H
#define DAEMON_TARGET_DEPARTURES_H

#include <wire/message.h>

#include "node.h"

/* Records that `start` on `vm` has announced its end, and applies it. */
void target_departures_note (Node *node, const char *vm, const char *start);

/* Takes the ends in a member's entry, even if the entry is older than the held one. */
void target_departures_note_rumour (Node *node, const sw_rumour *rumour);

/* Fills in the ends on the VM of node `to`, NULL for an unknown receiver. The names are
   borrowed; target_departures_clear_gossip frees the array. */
void target_departures_fill_gossip (const Node *node, const char *to, sw_gossip *message);
void target_departures_clear_gossip (sw_gossip *message);

/* Takes what another node tells of the ends on this VM. */
void target_departures_merge_gossip (Node *node, const sw_gossip *message);

/* Stores the ends on this VM in `names`, which are borrowed, and returns their number. */
guint target_departures_own (const Node *node,
                             sw_target_name names[DEPARTURES_PER_VM_MAX]);

#endif
