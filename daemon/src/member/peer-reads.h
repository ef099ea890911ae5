/*
 * Reads from other nodes, on connections of their own: calls without effect, which may be
 * repeated. An open connection may go silent for good, without a reset, while new ones
 * work. When nothing arrives on one for a while, it is replaced, and the reads in flight
 * are repeated on the new one. Requests must not be repeated and have their own watch
 * (peer-watch.h).
 */
#ifndef DAEMON_PEER_READS_H
#define DAEMON_PEER_READS_H

#include "node.h"

PeerReads *peer_reads_create (Node *node);
/* Reads in flight end with RPC_LOST. */
void peer_reads_destroy (PeerReads *reads);

/*
 * Reads from a node within `timeout_us`. `args` is borrowed until `done` is called, which
 * is exactly once: inside this function with RPC_UNSENT if the node's address is unknown,
 * or while the reads are being destroyed.
 */
void peer_reads_call (PeerReads *reads,
                      const char *vm,
                      const RpcProcedure *procedure,
                      void *args,
                      gint64 timeout_us,
                      RpcDoneFunc done,
                      gpointer data);

#endif
