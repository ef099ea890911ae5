/*
 * Watches over a node while a long call to it is on its way: a target may take its time,
 * but the node beside it answers a ping at once, or is not there.
 */
#ifndef DAEMON_PEER_WATCH_H
#define DAEMON_PEER_WATCH_H

#include "peers.h"

typedef struct PeerWatch PeerWatch;

/* Runs once, from the loop, when the node has not answered a ping; the watch is over. */
typedef void (*PeerWatchLost) (gpointer data);

PeerWatch *
peer_watch_create (Node *node, const char *vm, PeerWatchLost lost, gpointer data);
/* Ends it; NULL is fine. */
void peer_watch_destroy (PeerWatch *watch);

#endif
