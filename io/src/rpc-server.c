#include <io/rpc.h>

#include <string.h>
#include <unistd.h>

#include <io/socket.h>
#include "stream.h"

/* Interval of the search for idle connections. */
#define SWEEP_US (5 * SECOND_US)
/* Longest record from a peer that is not authenticated, in bytes. */
#define UNAUTHENTICATED_RECORD_MAX 65536u

struct RpcConn
{
  gatomicrefcount refs;
  RpcServer *server; /* NULL once closed */
  Stream *stream;
  char *peer;
  gint64 active_us;
};

struct RpcServer
{
  Loop *loop;
  int fd;
  LoopFd *watch;
  LoopTimer *sweep;
  RpcLimits limits;
  GPtrArray *conns;
  RpcCallFunc func;
  gpointer data;
};

RpcConn *
rpc_conn_ref (RpcConn *conn)
{
  g_atomic_ref_count_inc (&conn->refs);
  return conn;
}

void
rpc_conn_unref (RpcConn *conn)
{
  if (!g_atomic_ref_count_dec (&conn->refs))
    return;
  g_free (conn->peer);
  g_free (conn);
}

static void
conn_close (RpcConn *conn)
{
  RpcServer *server = conn->server;

  conn->server = NULL;
  stream_destroy (conn->stream);
  conn->stream = NULL;
  g_ptr_array_remove_fast (server->conns, conn);
  rpc_conn_unref (conn);
}

static void
on_closed (gpointer data)
{
  conn_close (data);
}

static void
on_record (GByteArray *record, gboolean truncated, gpointer data)
{
  RpcConn *conn = data;
  RpcServer *server = conn->server;
  WireCall call;
  XDR xdr;

  conn->active_us = clock_now (loop_clock (server->loop));
  xdrmem_create (&xdr, (char *)record->data, record->len, XDR_DECODE);
  call.truncated = truncated;
  if (wire_call_decode (&xdr, &call))
    server->func (conn, &call, &xdr, server->data);
  else
    stream_fail (conn->stream);
  xdr_destroy (&xdr);
}

static const StreamEvents stream_events = { on_record, NULL, on_closed };

static void
on_connection (int fd, LoopEvents ready, gpointer data)
{
  RpcServer *server = data;
  int accepted;

  while ((accepted = socket_accept (fd)) >= 0)
    {
      RpcConn *conn;

      if (server->conns->len >= server->limits.connections_max)
        {
          close (accepted);
          continue;
        }
      conn = g_new0 (RpcConn, 1);
      g_atomic_ref_count_init (&conn->refs);
      conn->server = server;
      conn->active_us = clock_now (loop_clock (server->loop));
      conn->stream = stream_create (server->loop, accepted, FALSE, &stream_events, conn);
      stream_set_record_max (conn->stream, UNAUTHENTICATED_RECORD_MAX);
      stream_set_account (conn->stream, server->limits.account);
      g_ptr_array_add (server->conns, conn);
    }
}

static void
on_sweep (gpointer data)
{
  RpcServer *server = data;
  gint64 oldest = clock_now (loop_clock (server->loop)) - server->limits.idle_us;

  for (guint i = server->conns->len; i-- > 0;)
    {
      RpcConn *conn = g_ptr_array_index (server->conns, i);

      if (conn->active_us < oldest)
        conn_close (conn);
    }
  loop_timer_start (server->sweep, SWEEP_US);
}

RpcServer *
rpc_server_create (Loop *loop,
                   const char *address,
                   const RpcLimits *limits,
                   RpcCallFunc func,
                   gpointer data,
                   GError **error)
{
  int fd = socket_listen (address, error);
  RpcServer *server;

  if (fd < 0)
    return NULL;
  server = g_new0 (RpcServer, 1);
  server->loop = loop;
  server->fd = fd;
  server->limits = *limits;
  server->func = func;
  server->data = data;
  server->conns = g_ptr_array_new ();
  server->watch = loop_fd_create (loop, fd, LOOP_READ, on_connection, server);
  server->sweep = loop_timer_create (loop, on_sweep, server);
  loop_timer_start (server->sweep, SWEEP_US);
  return server;
}

void
rpc_server_destroy (RpcServer *server)
{
  if (!server)
    return;
  for (guint i = server->conns->len; i-- > 0;)
    conn_close (g_ptr_array_index (server->conns, i));
  g_ptr_array_unref (server->conns);
  loop_timer_destroy (server->sweep);
  loop_fd_destroy (server->watch);
  close (server->fd);
  g_free (server);
}

gboolean
rpc_server_is_sending (const RpcServer *server)
{
  for (guint i = 0; i < server->conns->len; i++)
    {
      const RpcConn *conn = g_ptr_array_index (server->conns, i);

      if (stream_is_sending (conn->stream))
        return TRUE;
    }
  return FALSE;
}

gboolean
rpc_server_has_unsent (const RpcServer *server)
{
  for (guint i = 0; i < server->conns->len; i++)
    {
      const RpcConn *conn = g_ptr_array_index (server->conns, i);

      if (stream_has_unsent (conn->stream))
        return TRUE;
    }
  return FALSE;
}

static gsize
send_message (RpcConn *conn, GByteArray *message)
{
  gsize sent = 0;

  if (!message)
    {
      if (conn->stream)
        stream_fail (conn->stream);
      return 0;
    }
  if (conn->stream)
    {
      sent = message->len;
      conn->active_us = clock_now (loop_clock (conn->server->loop));
      stream_send (conn->stream, message);
    }
  g_byte_array_unref (message);
  return sent;
}

gsize
rpc_conn_reply (RpcConn *conn, guint32 xid, xdrproc_t proc, void *result)
{
  return send_message (conn, wire_reply_encode (xid, proc, result));
}

void
rpc_conn_deny (RpcConn *conn, guint32 xid)
{
  send_message (conn, wire_reply_encode_denied (xid));
}

const char *
rpc_conn_peer (const RpcConn *conn)
{
  return conn->peer;
}

void
rpc_conn_set_peer (RpcConn *conn, const char *node)
{
  g_free (conn->peer);
  conn->peer = g_strdup (node);
  if (conn->stream)
    stream_set_record_max (conn->stream, WIRE_RECORD_MAX);
}
