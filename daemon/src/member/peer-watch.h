/*
 * Monitors a node while a long call to it is in flight: its target may take long to
 * answer, but the node itself answers a ping at once unless it is down or unreachable.
 */
#ifndef DAEMON_PEER_WATCH_H
#define DAEMON_PEER_WATCH_H

#include "peers.h"

typedef struct PeerWatch PeerWatch;

/* Called from the loop, at most once, when the node has not answered a ping. No further
   pings follow; the watch still has to be destroyed. */
typedef void (*PeerWatchLost) (gpointer data);

PeerWatch *
peer_watch_create (Node *node, const char *vm, PeerWatchLost lost, gpointer data);
/* Accepts NULL. */
void peer_watch_destroy (PeerWatch *watch);

#endif
