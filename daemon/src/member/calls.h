/*
 * RPC calls from other nodes, each handed to the part that answers it.
 */
#ifndef DAEMON_CALLS_H
#define DAEMON_CALLS_H

#include "node.h"

/* The RpcCallFunc of a node; `data` is the Node. */
void calls_handle (RpcConn *conn, const WireCall *call, XDR *in, gpointer data);

#endif
