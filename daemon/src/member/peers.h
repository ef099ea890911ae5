/*
 * RPC connections to other nodes, and what their sidecars last said: a session holds
 * the incarnation and a reading of the sidecar's clock that each attempt must carry.
 */
#ifndef DAEMON_PEERS_H
#define DAEMON_PEERS_H

#include <wire/message.h>

#include "node.h"

/* What an attempt or a question is addressed with. */
typedef struct
{
  guint64 incarnation;
  gint64 reading_us; /* of the sidecar's clock */
} PeerStamp;

Peers *peers_create (Node *node);
void peers_destroy (Peers *peers);

/* What is told of each node that could not be asked for a session. */
typedef void (*PeersUnanswered) (const char *vm, gpointer data);
void peers_set_unanswered (Peers *peers, PeersUnanswered unanswered, gpointer data);

/* Runs once, perhaps inside peers_open; `stamp` is NULL when the node cannot be reached.
 */
typedef void (*PeersOpened) (const PeerStamp *stamp, gpointer data);

/* Makes sure that there is a session with a node, on its present connection. */
void peers_open (
    Peers *peers, const char *vm, gint64 timeout_us, PeersOpened opened, gpointer data);

/* Whether peers_open would call back at once. */
gboolean peers_has_session (const Peers *peers, const char *vm);

/* When a node was last heard over RPC; 0 for never. */
gint64 peers_heard_us (const Peers *peers, const char *vm);

/* The connection to a node is silent: the next call opens a new one, for one may go
   silent for good while others work. What is on its way is lost. */
void peers_renew (Peers *peers, const char *vm);

/* A node has not answered at once: for a second, or until it answers, it gets only what
   nobody else can take. */
void peers_doubt (Peers *peers, const char *vm);

/* Calls a node for nothing but its answer. */
void peers_ping (
    Peers *peers, const char *vm, gint64 timeout_us, RpcDoneFunc done, gpointer data);

/* Calls a node; RPC_UNSENT when its address is not known. Returns the bytes sent. */
gsize peers_call (Peers *peers,
                  const char *vm,
                  const RpcProcedure *procedure,
                  void *args,
                  gint64 timeout_us,
                  RpcDoneFunc done,
                  gpointer data);

/* Whether a node is of this node's data hall; an unknown one is not. */
gboolean peers_in_own_hall (const Node *node, const char *vm);

/* Takes the stamp and the state that came with an answer. */
void peers_note_stamp (Peers *peers, const sw_stamp *stamp);
void peers_note_state (Peers *peers, const sw_stamp *stamp, const sw_target_state *state);

/* Asks whether a node answers at all, for the breaker of its path. */
void peers_check (Peers *peers, const char *vm);

#endif
