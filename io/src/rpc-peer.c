#include <io/rpc.h>

#include <io/socket.h>
#include "stream.h"

typedef struct
{
  RpcPeer *peer;
  guint32 xid;
  const RpcProcedure *procedure;
  RpcDoneFunc done;
  gpointer data;
  LoopTimer *timer;
  RpcOutcome outcome; /* passed to `done` when the timer fires */
} Call;

struct RpcPeer
{
  Loop *loop;
  char *address;
  Stream *stream;
  gboolean open;
  guint connection;
  gint64 heard_us;
  guint32 next_xid;
  GHashTable *calls; /* xid → Call */
  guint64 sent;
  guint64 received;
};

const char *
rpc_outcome_name (RpcOutcome outcome)
{
  static const char *const names[] = {
    "ok", "denied", "unsent", "lost", "timeout", "bad"
  };

  return names[outcome];
}

static void
call_finish (Call *call, RpcOutcome outcome, void *result)
{
  g_hash_table_remove (call->peer->calls, GUINT_TO_POINTER (call->xid));
  loop_timer_destroy (call->timer);
  call->done (outcome, result, call->data);
  g_free (call);
}

static void
on_timer (gpointer data)
{
  Call *call = data;

  call_finish (call, call->outcome, NULL);
}

/* Fails the call from the loop, so that `done` is never called from within a function
   that its owner has called. */
static void
call_fail_from_loop (Call *call, RpcOutcome outcome)
{
  call->outcome = outcome;
  loop_timer_start (call->timer, 0);
}

static void
drop_stream (RpcPeer *peer)
{
  guint64 sent;
  guint64 received;

  if (!peer->stream)
    return;
  stream_bytes (peer->stream, &sent, &received);
  peer->sent += sent;
  peer->received += received;
  stream_destroy (peer->stream);
  peer->stream = NULL;
  peer->open = FALSE;
}

static void
on_closed (gpointer data)
{
  RpcPeer *peer = data;
  RpcOutcome outcome = peer->open ? RPC_LOST : RPC_UNSENT;
  GHashTableIter iter;
  gpointer value;

  drop_stream (peer);
  g_hash_table_iter_init (&iter, peer->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    call_fail_from_loop (value, outcome);
}

void
rpc_peer_disconnect (RpcPeer *peer)
{
  if (peer->stream)
    on_closed (peer);
}

static void
on_opened (gpointer data)
{
  RpcPeer *peer = data;

  peer->open = TRUE;
  peer->connection++;
}

static void
on_record (GByteArray *record, gboolean truncated, gpointer data)
{
  RpcPeer *peer = data;
  guint32 xid;
  Call *call;
  g_autofree void *result = NULL;
  WireReply reply;

  peer->heard_us = clock_now (loop_clock (peer->loop));
  if (!wire_peek_xid (record->data, record->len, &xid))
    return;
  call = g_hash_table_lookup (peer->calls, GUINT_TO_POINTER (xid));
  if (!call)
    return; /* the answer to a call that has timed out */
  result = g_malloc0 (call->procedure->result_size);
  reply = wire_reply_decode (record->data, record->len, call->procedure->result, result);
  if (reply == WIRE_REPLY_OK)
    {
      xdrproc_t proc = call->procedure->result;

      call_finish (call, RPC_OK, result);
      xdr_free (proc, result);
      return;
    }
  xdr_free (call->procedure->result, result);
  call_finish (call, reply == WIRE_REPLY_DENIED ? RPC_DENIED : RPC_BAD, NULL);
}

static const StreamEvents stream_events = { on_record, on_opened, on_closed };

RpcPeer *
rpc_peer_create (Loop *loop, const char *address)
{
  RpcPeer *peer = g_new0 (RpcPeer, 1);

  peer->loop = loop;
  peer->address = g_strdup (address);
  peer->calls = g_hash_table_new (NULL, NULL);
  return peer;
}

void
rpc_peer_destroy (RpcPeer *peer)
{
  GHashTableIter iter;
  gpointer value;

  if (!peer)
    return;
  drop_stream (peer);
  g_hash_table_iter_init (&iter, peer->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Call *call = value;

      g_hash_table_iter_steal (&iter);
      loop_timer_destroy (call->timer);
      call->done (RPC_LOST, NULL, call->data);
      g_free (call);
    }
  g_hash_table_unref (peer->calls);
  g_free (peer->address);
  g_free (peer);
}

static void
ensure_stream (RpcPeer *peer)
{
  int fd;

  if (peer->stream)
    return;
  fd = socket_connect (peer->address);
  if (fd >= 0)
    peer->stream = stream_create (peer->loop, fd, TRUE, &stream_events, peer);
}

gsize
rpc_peer_call (RpcPeer *peer,
               const RpcProcedure *procedure,
               void *args,
               gint64 timeout_us,
               RpcDoneFunc done,
               gpointer data)
{
  return rpc_peer_call_tail (peer, procedure, args, NULL, timeout_us, done, data);
}

gsize
rpc_peer_call_tail (RpcPeer *peer,
                    const RpcProcedure *procedure,
                    void *args,
                    GBytes *tail,
                    gint64 timeout_us,
                    RpcDoneFunc done,
                    gpointer data)
{
  Call *call = g_new0 (Call, 1);
  g_autoptr (GByteArray) message = NULL;

  call->peer = peer;
  call->xid = ++peer->next_xid;
  call->procedure = procedure;
  call->done = done;
  call->data = data;
  call->outcome = RPC_TIMEOUT;
  call->timer = loop_timer_create (peer->loop, on_timer, call);
  g_hash_table_insert (peer->calls, GUINT_TO_POINTER (call->xid), call);
  loop_timer_start (call->timer, timeout_us);

  message = wire_call_encode (call->xid, procedure->procedure, procedure->args, args);
  ensure_stream (peer);
  if (!message || !peer->stream)
    {
      call_fail_from_loop (call, RPC_UNSENT);
      return 0;
    }
  if (!tail || g_bytes_get_size (tail) == 0)
    {
      stream_send (peer->stream, message);
      return message->len;
    }
  stream_send_tail (peer->stream, message, tail);
  return message->len + g_bytes_get_size (tail) +
         wire_tail_padding (g_bytes_get_size (tail));
}

gint64
rpc_peer_heard_us (const RpcPeer *peer)
{
  return peer->heard_us;
}

gboolean
rpc_peer_is_open (const RpcPeer *peer)
{
  return peer->open;
}

guint
rpc_peer_connection_number (const RpcPeer *peer)
{
  return peer->connection;
}

void
rpc_peer_bytes (const RpcPeer *peer, guint64 *sent, guint64 *received)
{
  guint64 now_sent = 0;
  guint64 now_received = 0;

  if (peer->stream)
    stream_bytes (peer->stream, &now_sent, &now_received);
  *sent = peer->sent + now_sent;
  *received = peer->received + now_received;
}
