/*
 * Dispatches the RPC calls of other nodes.
 */
#ifndef DAEMON_CALLS_H
#define DAEMON_CALLS_H

#include "node.h"

/* The RpcCallFunc of the node's server; `data` is the Node. */
void calls_handle (RpcConn *conn, const WireCall *call, XDR *in, gpointer data);

#endif
