/*
 * The membership's datagrams, and what they bring about: alive and dead nodes and
 * targets' verdicts for the balancer, newer configurations for the sync.
 */
#ifndef DAEMON_GOSSIP_H
#define DAEMON_GOSSIP_H

#include <wire/message.h>

#include "node.h"

/* NULL, with `error` set, when the nodes' address cannot be bound. */
Gossip *gossip_create (Node *node, GError **error);
void gossip_destroy (Gossip *gossip);

/* Tells a few members of each hall at once, rather than with the next probe. */
void gossip_push (Gossip *gossip);

/* Tells the quarantine's news to a few members soon, and goes on until it has been told
   enough. */
void gossip_spread (Gossip *gossip);

/* Where a node is said to be. */
typedef struct
{
  char *address;
  char *hall; /* "" where it is not known */
} GossipAddress;

/* Makes this node known to a few of those found (of GossipAddress). */
void gossip_join (Gossip *gossip, const GArray *found);

/* The members in the buckets that differ; `rumours` is to be freed, its texts not. */
void gossip_answer_view (Node *node, const sw_view_args *args, sw_view_res *res);

#endif
