/*
 * RPC connections to other nodes and the sessions on them. A session holds the sidecar's
 * incarnation and a reading of its clock, which each attempt must carry.
 */
#ifndef DAEMON_PEERS_H
#define DAEMON_PEERS_H

#include <wire/message.h>

#include "node.h"

/* The sidecar's stamp that attempts and fence queries carry. */
typedef struct
{
  guint64 incarnation;
  gint64 reading_us; /* of the sidecar's clock */
} PeerStamp;

Peers *peers_create (Node *node);
void peers_destroy (Peers *peers);

/* Called for each node that has not answered a request for a session. */
typedef void (*PeersUnanswered) (const char *vm, gpointer data);
void peers_set_unanswered (Peers *peers, PeersUnanswered unanswered, gpointer data);

/* Called once, possibly inside peers_open. `stamp` is NULL if there is no session: the
   node is unknown, unreachable or has refused. */
typedef void (*PeersOpened) (const PeerStamp *stamp, gpointer data);

/* Opens a session with a node unless its present connection has a fresh one. */
void peers_open (
    Peers *peers, const char *vm, gint64 timeout_us, PeersOpened opened, gpointer data);

/* Returns whether there is a fresh session, which peers_open would use at once. */
gboolean peers_has_session (const Peers *peers, const char *vm);

/* Returns when a node last sent anything over RPC, on the loop's clock; 0 for never. */
gint64 peers_heard_us (const Peers *peers, const char *vm);

/* Drops the connection to a node, because a single connection may hang for good while
   others work. Calls in flight are lost; the next call opens a new connection. */
void peers_disconnect (Peers *peers, const char *vm);

/* Marks the path to a node as doubtful, because the node is slow to answer. For a second,
   or until it answers, it gets only work that no other node can take. */
void peers_doubt (Peers *peers, const char *vm);

/* Records how long a ping of a node took, answered or not. */
void peers_note_ping (Peers *peers, const char *vm, gint64 took_us);
/* Returns how long a ping of a node may take (core/ping-time.h), at least `least_us`. */
gint64 peers_ping_timeout_us (const Peers *peers, const char *vm, gint64 least_us);

/* Calls a node's empty procedure, as peers_call does. */
void peers_ping (
    Peers *peers, const char *vm, gint64 timeout_us, RpcDoneFunc done, gpointer data);

/* Calls a node and returns the bytes sent. If the node's address is unknown, `done` is
   called with RPC_UNSENT inside this function. */
gsize peers_call_tail (Peers *peers,
                       const char *vm,
                       const RpcProcedure *procedure,
                       void *args,
                       GBytes *tail,
                       gint64 timeout_us,
                       RpcDoneFunc done,
                       gpointer data);
gsize peers_call (Peers *peers,
                  const char *vm,
                  const RpcProcedure *procedure,
                  void *args,
                  gint64 timeout_us,
                  RpcDoneFunc done,
                  gpointer data);

/* Returns a node's address from the membership or, until it is known there, from the
   platform's list; NULL if it is unknown. */
const char *peers_address (const Node *node, const char *vm);

/* Counts a call of `bytes` that was sent to a node. Returns `bytes`. */
gsize
peers_count_sent (Node *node, const char *vm, const RpcProcedure *procedure, gsize bytes);

/* Returns whether a node is in this node's data hall; FALSE for an unknown node. */
gboolean peers_in_own_hall (const Node *node, const char *vm);

/* Apply the stamp and the target state of an answer. A stamp of another incarnation than
   the session's is ignored. */
void peers_note_stamp (Peers *peers, const sw_stamp *stamp);
void peers_note_state (Peers *peers, const sw_stamp *stamp, const sw_target_state *state);

/* Sends a request for a session to a node, to tell its path's circuit breaker whether the
   node answers. Does nothing while such a check is in flight. */
void peers_check (Peers *peers, const char *vm);

#endif
