/*
 * What the files of gossip share: gossip.c the protocol, gossip-send.c its datagrams on
 * their way out, gossip-news.c what rumours say and what they bring about,
 * gossip-repair.c the comparison of views.
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
  LoopTimer *retell;      /* news from another hall is told on in this one */
  LoopTimer *spread;      /* news of the quarantine is told on by everybody */
  gboolean spread_urgent; /* what that timer waits for */
  GHashTable *relays;     /* xid → Relay */
  guint32 relay_sequence;
};

/* Sends a call, or an answer to one, with this node's news for `to` (NULL for nobody
   known) on it. */
void gossip_send_call (Gossip *gossip,
                       const char *address,
                       const char *to,
                       guint32 procedure,
                       const char *subject,
                       guint32 xid);
void gossip_send_reply (Gossip *gossip, const char *address, const char *to, guint32 xid);

/* Puts this node's news for `to` (NULL for nobody known) on a message. */
void gossip_put_news (Node *node, const char *to, sw_gossip *message);
void gossip_drop_news (sw_gossip *message);

/* Takes a message's news in; TRUE when there was any. */
gboolean gossip_take_news (Node *node, const sw_gossip *message);

/* What the membership tells of a change of `member`; `data` is the node. */
void gossip_on_changed (const Member *member, gpointer data);

/* Compares the views bucket by bucket with a member whose digest keeps differing. */
void gossip_repair (Gossip *gossip, const char *from, guint64 digest);

#endif
