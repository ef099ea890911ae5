/*
 * Sends and receives the datagrams of the membership protocol. The liveness of nodes and
 * the verdicts on targets go to the balancer, newer generations to the configuration
 * sync.
 */
#ifndef DAEMON_GOSSIP_H
#define DAEMON_GOSSIP_H

#include <wire/message.h>

#include "node.h"

/* Returns NULL and sets `error` if the nodes' address cannot be bound. */
Gossip *gossip_create (Node *node, GError **error);
void gossip_destroy (Gossip *gossip);

/* Sends this node's updates to a few members of this and other halls now, instead of with
   the next probe. */
void gossip_push (Gossip *gossip);

/* Returns live members other than self in random order: up to `near` of this hall, and
   one of each of up to `far` other halls. The Members are borrowed; the caller frees the
   array. */
GPtrArray *gossip_pick_members (const Gossip *gossip, guint near, guint far);

/* Starts to send the quarantine's updates to a few members at intervals, until each has
   been sent often enough. */
void gossip_schedule_quarantine_updates (Gossip *gossip);

/* A node's address as discovery reports it. */
typedef struct
{
  char *address;
  char *hall; /* "" if unknown */
} GossipAddress;

/* Probes a few of the discovered nodes (of GossipAddress), which announces this node. */
void gossip_join (Gossip *gossip, const GArray *found);

/* Merges another node's entry of a member. Returns TRUE if it was new. */
gboolean gossip_merge_rumour (Node *node, const sw_rumour *rumour);

/* Applies the verdicts and the registration in a member's payload and state. */
void gossip_apply_member (Node *node, const Member *member);

/* Fills `res` with the members of the buckets that differ. The caller frees the `rumours`
   array; its strings are borrowed from the membership. */
void gossip_answer_view (Node *node, const sw_view_args *args, sw_view_res *res);

#endif
