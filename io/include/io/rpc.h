/*
 * ONC RPC over TCP between nodes: persistent connections, many calls in flight,
 * matched by xid. Never blocks and never sends a call twice.
 */
#ifndef IO_RPC_H
#define IO_RPC_H

#include <io/loop.h>
#include <wire/message.h>

typedef struct RpcServer RpcServer;
typedef struct RpcConn RpcConn;
typedef struct RpcPeer RpcPeer;

/* Takes a call; `in` stands at its arguments and is gone after the return. */
typedef void (*RpcCallFunc) (RpcConn *conn, const WireCall *call, XDR *in, gpointer data);

/* Bounds of a server: connections at once, and silence after which one is closed. */
typedef struct
{
  guint connections_max;
  gint64 idle_us;
} RpcLimits;

RpcServer *rpc_server_create (Loop *loop,
                              const char *address,
                              const RpcLimits *limits,
                              RpcCallFunc func,
                              gpointer data,
                              GError **error);
void rpc_server_destroy (RpcServer *server);

RpcConn *rpc_conn_ref (RpcConn *conn);
void rpc_conn_unref (RpcConn *conn);

/* Answers one call; dropped without harm when the connection has gone. Returns the bytes
   that go out, 0 for none. */
gsize rpc_conn_reply (RpcConn *conn, guint32 xid, xdrproc_t proc, void *result);

/* Refuses one call with AUTH_ERROR. */
void rpc_conn_deny (RpcConn *conn, guint32 xid);

/* The peer that this connection has proved to be, or NULL; kept by the connection. */
const char *rpc_conn_peer (const RpcConn *conn);
void rpc_conn_set_peer (RpcConn *conn, const char *node);

typedef enum
{
  RPC_OK,
  RPC_DENIED,  /* refused before it ran */
  RPC_UNSENT,  /* no connection came about: nothing of the call left this node */
  RPC_LOST,    /* the connection broke with the call in flight */
  RPC_TIMEOUT, /* no answer in time; a late one is dropped */
  RPC_BAD      /* an answer that does not decode */
} RpcOutcome;

/* `result` is valid for RPC_OK only, and is freed after the return. */
typedef void (*RpcDoneFunc) (RpcOutcome outcome, void *result, gpointer data);

/* A call's codecs: of arguments and result, and the result's size in memory. */
typedef struct
{
  guint32 procedure;
  xdrproc_t args;
  xdrproc_t result;
  gsize result_size;
} RpcProcedure;

/* A peer by address; connects when first called, again when called after a break. */
RpcPeer *rpc_peer_create (Loop *loop, const char *address);
void rpc_peer_destroy (RpcPeer *peer);

/* Calls; `done` runs exactly once, never inside this function. Returns the bytes that go
   out, 0 for none. */
gsize rpc_peer_call (RpcPeer *peer,
                     const RpcProcedure *procedure,
                     void *args,
                     gint64 timeout_us,
                     RpcDoneFunc done,
                     gpointer data);

/* Gives the connection up: calls on their way are lost, and the next opens a new one. */
void rpc_peer_disconnect (RpcPeer *peer);

/* When the peer last sent anything, on the loop's clock; 0 for never. */
gint64 rpc_peer_heard_us (const RpcPeer *peer);

/* Whether there is a connection now. */
gboolean rpc_peer_is_open (const RpcPeer *peer);

/* Rises by one with each new connection; 0 before the first. */
guint rpc_peer_connection (const RpcPeer *peer);

/* Bytes sent and received since the start, records and marks. */
void rpc_peer_bytes (const RpcPeer *peer, guint64 *sent, guint64 *received);

#endif
