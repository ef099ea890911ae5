#include "stream.h"

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include <io/socket.h>
#include <wire/message.h>
#include <wire/record.h>

#define READ_CHUNK 65536u
/* Output buffers above this size are freed once they are empty. */
#define BUFFER_KEEP_MAX 65536u

struct Stream
{
  Loop *loop;
  int fd;
  LoopFd *watch;
  LoopTimer *fail;
  gboolean connecting;
  gboolean *destroyed; /* set by stream_destroy during dispatch_records, else NULL */
  GByteArray *in;
  GByteArray *out;
  guint out_at;
  gsize record_max;
  guint64 sent;
  guint64 received;
  const StreamEvents *events;
  gpointer data;
};

static void
notify_closed (gpointer data)
{
  Stream *stream = data;

  loop_timer_stop (stream->fail);
  stream->events->closed (stream->data);
}

void
stream_fail (Stream *stream)
{
  loop_timer_start (stream->fail, 0);
}

static void
update_watch (Stream *stream)
{
  gboolean writing = stream->connecting || stream->out_at < stream->out->len;

  loop_fd_set (stream->watch, LOOP_READ | (writing ? LOOP_WRITE : 0));
}

static void
flush (Stream *stream)
{
  while (stream->out_at < stream->out->len)
    {
      gssize n = send (stream->fd, stream->out->data + stream->out_at,
                       stream->out->len - stream->out_at, MSG_NOSIGNAL);

      if (n < 0)
        {
          if (errno != EAGAIN && errno != EINTR)
            stream_fail (stream);
          break;
        }
      stream->out_at += (guint)n;
      stream->sent += (guint64)n;
    }
  if (stream->out_at == stream->out->len)
    {
      gboolean large = stream->out->len > BUFFER_KEEP_MAX;

      g_byte_array_set_size (stream->out, 0);
      stream->out_at = 0;
      if (large)
        {
          g_byte_array_unref (stream->out);
          stream->out = g_byte_array_new ();
        }
    }
  update_watch (stream);
}

/* Returns FALSE if the owner has destroyed the stream, or if a record was invalid. */
static gboolean
dispatch_records (Stream *stream)
{
  g_autoptr (GByteArray) record = g_byte_array_new ();
  gboolean destroyed = FALSE;

  stream->destroyed = &destroyed;
  for (;;)
    {
      RecordState state = record_take (stream->in, stream->record_max, record);

      if (state == RECORD_MORE)
        break;
      if (state == RECORD_BAD)
        {
          stream->destroyed = NULL;
          notify_closed (stream);
          return FALSE;
        }
      stream->events->record (record, stream->data);
      if (destroyed)
        return FALSE;
    }
  stream->destroyed = NULL;
  if (stream->in->len == 0)
    {
      g_byte_array_unref (stream->in);
      stream->in = g_byte_array_new ();
    }
  return TRUE;
}

static void
read_some (Stream *stream)
{
  guint old = stream->in->len;
  gssize n;

  g_byte_array_set_size (stream->in, old + READ_CHUNK);
  n = recv (stream->fd, stream->in->data + old, READ_CHUNK, 0);
  g_byte_array_set_size (stream->in, old + (guint)MAX (n, 0));
  if (n > 0)
    {
      stream->received += (guint64)n;
      dispatch_records (stream);
      return;
    }
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  notify_closed (stream);
}

static void
on_ready (int fd, LoopEvents ready, gpointer data)
{
  Stream *stream = data;

  if (stream->connecting)
    {
      if (!(ready & LOOP_WRITE) && socket_error (fd) == 0)
        return;
      if (socket_error (fd) != 0)
        {
          notify_closed (stream);
          return;
        }
      stream->connecting = FALSE;
      stream->events->opened (stream->data);
      flush (stream);
      return;
    }
  if (ready & LOOP_WRITE)
    flush (stream);
  if (ready & LOOP_READ)
    read_some (stream);
}

Stream *
stream_create (
    Loop *loop, int fd, gboolean connecting, const StreamEvents *events, gpointer data)
{
  Stream *stream = g_new0 (Stream, 1);

  stream->loop = loop;
  stream->fd = fd;
  stream->connecting = connecting;
  stream->record_max = WIRE_RECORD_MAX;
  stream->events = events;
  stream->data = data;
  stream->in = g_byte_array_new ();
  stream->out = g_byte_array_new ();
  stream->fail = loop_timer_create (loop, notify_closed, stream);
  stream->watch = loop_fd_create (
      loop, fd, connecting ? LOOP_READ | LOOP_WRITE : LOOP_READ, on_ready, stream);
  return stream;
}

void
stream_destroy (Stream *stream)
{
  if (!stream)
    return;
  if (stream->destroyed)
    *stream->destroyed = TRUE;
  loop_fd_destroy (stream->watch);
  loop_timer_destroy (stream->fail);
  close (stream->fd);
  g_byte_array_unref (stream->in);
  g_byte_array_unref (stream->out);
  g_free (stream);
}

void
stream_send (Stream *stream, const GByteArray *message)
{
  record_append (stream->out, message);
  if (!stream->connecting)
    flush (stream);
}

gboolean
stream_is_sending (const Stream *stream)
{
  return stream->out_at < stream->out->len;
}

gboolean
stream_has_unsent (const Stream *stream)
{
  return socket_unsent (stream->fd) > 0;
}

void
stream_bytes (const Stream *stream, guint64 *sent, guint64 *received)
{
  *sent = stream->sent;
  *received = stream->received;
}

void
stream_set_record_max (Stream *stream, gsize max)
{
  stream->record_max = max;
}
