/*
 * Shared by the files of gossip: gossip.c runs the protocol, gossip-send.c sends its
 * datagrams, gossip-updates.c writes and applies membership updates, and gossip-repair.c
 * compares views.
 */
#ifndef DAEMON_GOSSIP_PRIVATE_H
#define DAEMON_GOSSIP_PRIVATE_H

#include <io/datagram.h>

#include "gossip.h"

struct Gossip
{
  Node *node;
  Datagram *datagram;
  LoopTimer *timer;
  LoopTimer *forward_timer; /* forwards updates from other halls in this one */
  LoopTimer *spread;        /* sends the quarantine's updates */
  gboolean spread_urgent;   /* the timer runs for urgent updates */
  LoopTimer *join_timer;    /* probes more of the discovered nodes */
  GArray *join_left;        /* GossipAddress of those not probed yet */
  guint join_rounds;        /* further rounds of such probes */
  GHashTable *relays;       /* xid → Relay */
  guint32 relay_sequence;
  guint first_questions; /* sent by gossip_ask_first */
};

/* Send a call or a reply that carries this node's updates for `to`, NULL for an unknown
   receiver. */
void gossip_send_call (Gossip *gossip,
                       const char *address,
                       const char *to,
                       guint32 procedure,
                       const char *subject,
                       guint32 xid);
void gossip_send_reply (Gossip *gossip, const char *address, const char *to, guint32 xid);

/* Fills a message's rumours and deltas for `to`, NULL for an unknown receiver. They
   borrow their data from the membership; gossip_clear_updates frees the arrays. */
void gossip_fill_updates (Node *node, const char *to, sw_gossip *message);
void gossip_clear_updates (sw_gossip *message);

/* Merges a message's rumours and deltas. Returns TRUE if any of them was new. */
gboolean gossip_merge_updates (Node *node, const sw_gossip *message);

/* Passes a change of `member` on to the balancer, the configuration sync and the
   allowances; `data` is the Node. */
void gossip_on_changed (const Member *member, gpointer data);

/* Probes a member that a starting node has just learned of, unless another node has
   answered it already: the answer tells which targets have left. */
void gossip_ask_first (Gossip *gossip, const Member *member);

/* Compares the views bucket by bucket with member `from` if its `digest` differs from
   this node's and a comparison is due. */
void gossip_repair (Gossip *gossip, const char *from, guint64 digest);

#endif
