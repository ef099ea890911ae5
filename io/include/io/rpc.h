/*
 * ONC RPC over TCP between nodes: persistent connections with many calls in flight,
 * matched by xid. No function blocks, and no call is sent twice.
 */
#ifndef IO_RPC_H
#define IO_RPC_H

#include <io/loop.h>
#include <io/mem-account.h>
#include <wire/message.h>

typedef struct RpcServer RpcServer;
typedef struct RpcConn RpcConn;
typedef struct RpcPeer RpcPeer;

/* Handles a call. `in` is positioned at the arguments, of which a truncated call has only
   the first; it is valid until the return. */
typedef void (*RpcCallFunc) (RpcConn *conn, const WireCall *call, XDR *in, gpointer data);

/* Bounds of a server: concurrent connections, and the time without a record in either
   direction after which a connection is closed. */
typedef struct
{
  guint connections_max;
  gint64 idle_us;
  MemAccount *account; /* counts long calls while they arrive, and those that do not fit
                          are truncated; borrowed, or NULL */
} RpcLimits;

/* Listens on `address` ("IP:port"). Returns NULL with `error` set (G_IO_ERROR) if it
   cannot. */
RpcServer *rpc_server_create (Loop *loop,
                              const char *address,
                              const RpcLimits *limits,
                              RpcCallFunc func,
                              gpointer data,
                              GError **error);
void rpc_server_destroy (RpcServer *server);

/* Returns whether a reply waits for its connection to take it. */
gboolean rpc_server_is_sending (const RpcServer *server);
/* Returns whether a peer has still to receive bytes that were passed to the kernel. */
gboolean rpc_server_has_unsent (const RpcServer *server);

RpcConn *rpc_conn_ref (RpcConn *conn);
void rpc_conn_unref (RpcConn *conn);

/* Answers one call; does nothing if the connection has closed. Closes the connection if
   the result does not encode. Returns the length of the reply in bytes, 0 if none is
   sent. */
gsize rpc_conn_reply (RpcConn *conn, guint32 xid, xdrproc_t proc, void *result);

/* Refuses one call with AUTH_ERROR. */
void rpc_conn_deny (RpcConn *conn, guint32 xid);

/* Returns the name of the node that the connection has authenticated as, or NULL. The
   connection owns it. */
const char *rpc_conn_peer (const RpcConn *conn);
/* Sets the authenticated node, and allows it records of WIRE_RECORD_MAX bytes. */
void rpc_conn_set_peer (RpcConn *conn, const char *node);

typedef enum
{
  RPC_OK,
  RPC_DENIED,  /* refused before it ran */
  RPC_UNSENT,  /* no connection was established: nothing of the call was sent */
  RPC_LOST,    /* the connection broke with the call in flight */
  RPC_TIMEOUT, /* no answer in time; a late answer is dropped */
  RPC_BAD      /* the answer does not decode */
} RpcOutcome;

const char *rpc_outcome_name (RpcOutcome outcome);

/* `result` is set for RPC_OK only and is freed after the function returns. */
typedef void (*RpcDoneFunc) (RpcOutcome outcome, void *result, gpointer data);

/* The codecs of a call's arguments and result, and the size of the decoded result. */
typedef struct
{
  guint32 procedure;
  xdrproc_t args;
  xdrproc_t result;
  gsize result_size;
} RpcProcedure;

/* Creates a peer at `address` ("IP:port"). The first call connects, and so does the first
   call after the connection broke. */
RpcPeer *rpc_peer_create (Loop *loop, const char *address);
/* Closes the connection. Calls in flight end with RPC_LOST. */
void rpc_peer_destroy (RpcPeer *peer);

/* Starts a call. `done` is called exactly once, and never from within this function.
   Returns the length of the call in bytes, 0 if none is sent. */
gsize rpc_peer_call (RpcPeer *peer,
                     const RpcProcedure *procedure,
                     void *args,
                     gint64 timeout_us,
                     RpcDoneFunc done,
                     gpointer data);

/* The same for a call whose last argument is opaque data of variable length: `args` has
   it empty, and `tail` is sent in its place, without a copy if it is long. */
gsize rpc_peer_call_tail (RpcPeer *peer,
                          const RpcProcedure *procedure,
                          void *args,
                          GBytes *tail,
                          gint64 timeout_us,
                          RpcDoneFunc done,
                          gpointer data);

/* Closes the connection. Calls in flight fail, and the next call opens a new one. */
void rpc_peer_disconnect (RpcPeer *peer);

/* Returns when the peer's last record arrived, by the loop's clock; 0 for never. */
gint64 rpc_peer_heard_us (const RpcPeer *peer);

/* Returns whether a connection is established. */
gboolean rpc_peer_is_open (const RpcPeer *peer);

/* Returns the number of the current or last connection: 1 for the first, 0 before it. */
guint rpc_peer_connection_number (const RpcPeer *peer);

/* Returns the bytes of records and record marks that were sent and received since the
   peer was created. */
void rpc_peer_bytes (const RpcPeer *peer, guint64 *sent, guint64 *received);

#endif
