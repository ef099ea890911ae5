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
/* Bytes from this length on are sent from where they are. */
#define PART_MIN 65536u

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
  GQueue parts;  /* of Part, which are sent between the bytes of `out` */
  gsize part_at; /* bytes of the first one that are sent */
  gsize record_max;
  MemAccount *account;
  gsize in_held; /* bytes of `in` in the account */
  gsize skip;    /* bytes of a truncated record that are still to be discarded */
  guint64 sent;
  guint64 received;
  const StreamEvents *events;
  gpointer data;
};

/* Bytes that are not copied to `out`. */
typedef struct
{
  guint after; /* bytes of `out` that go before them */
  GBytes *bytes;
} Part;

static void
part_free (gpointer data)
{
  Part *part = data;

  g_bytes_unref (part->bytes);
  g_free (part);
}

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
  gboolean writing = stream->connecting || stream_is_sending (stream);

  loop_fd_set (stream->watch, LOOP_READ | (writing ? LOOP_WRITE : 0));
}

/* Returns the bytes that are sent next, without a break. */
static const guint8 *
next_bytes (const Stream *stream, gsize *len)
{
  const Part *part = g_queue_peek_head ((GQueue *)&stream->parts);
  const guint8 *bytes;

  if (!part || stream->out_at < part->after)
    {
      *len = (part ? part->after : stream->out->len) - stream->out_at;
      return stream->out->data + stream->out_at;
    }
  bytes = g_bytes_get_data (part->bytes, len);
  *len -= stream->part_at;
  return bytes + stream->part_at;
}

static void
note_sent (Stream *stream, gsize n)
{
  const Part *part = g_queue_peek_head (&stream->parts);

  stream->sent += n;
  if (!part || stream->out_at < part->after)
    {
      stream->out_at += (guint)n;
      return;
    }
  stream->part_at += n;
  if (stream->part_at < g_bytes_get_size (part->bytes))
    return;
  stream->part_at = 0;
  part_free (g_queue_pop_head (&stream->parts));
}

static void
flush (Stream *stream)
{
  while (stream_is_sending (stream))
    {
      gsize len;
      const guint8 *bytes = next_bytes (stream, &len);
      gssize n = send (stream->fd, bytes, len, MSG_NOSIGNAL);

      if (n < 0)
        {
          if (errno != EAGAIN && errno != EINTR)
            stream_fail (stream);
          break;
        }
      note_sent (stream, (gsize)n);
    }
  if (!stream_is_sending (stream))
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

static void
count_in (Stream *stream)
{
  gsize held = stream->in->len > READ_CHUNK ? mem_account_cost (stream->in->len) : 0;

  mem_account_subtract (stream->account, stream->in_held);
  mem_account_add (stream->account, held);
  stream->in_held = held;
}

/* Hands over a long record that has come alone, without a copy. Returns FALSE if there is
   none. */
static gboolean
dispatch_long_record (Stream *stream)
{
  g_autoptr (GByteArray) record = NULL;

  if (stream->in->len <= READ_CHUNK || !record_take_all (stream->in, stream->record_max))
    return FALSE;
  record = g_steal_pointer (&stream->in);
  stream->in = g_byte_array_new ();
  count_in (stream);
  stream->events->record (record, FALSE, stream->data);
  return TRUE;
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
      stream->events->record (record, FALSE, stream->data);
      if (destroyed)
        return FALSE;
    }
  stream->destroyed = NULL;
  if (stream->in->len == 0)
    {
      g_byte_array_unref (stream->in);
      stream->in = g_byte_array_new ();
    }
  count_in (stream);
  return TRUE;
}

/* Truncates the long record that is arriving, if there is no memory for it: keeps its
   beginning and discards the rest. The connection goes on, which carries other calls. */
static void
truncate_if_full (Stream *stream)
{
  gsize missing = record_missing (stream->in);
  GByteArray *kept;

  if (missing == 0 || stream->in->len <= READ_CHUNK ||
      mem_account_fits (stream->account, MEM_RUNNING, 0, stream->in->len))
    return;
  kept = g_byte_array_sized_new (2 * READ_CHUNK);
  g_byte_array_append (kept, stream->in->data, READ_CHUNK);
  g_byte_array_unref (stream->in);
  stream->in = kept;
  stream->skip = missing;
  count_in (stream);
}

/* Discards bytes of a truncated record, and hands over its beginning once it has ended.
 */
static void
note_skipped (Stream *stream, gsize n)
{
  g_autoptr (GByteArray) record = NULL;

  stream->skip -= n;
  if (stream->skip > 0)
    return;
  record = g_steal_pointer (&stream->in);
  stream->in = g_byte_array_new ();
  record_strip_mark (record);
  stream->events->record (record, TRUE, stream->data);
}

static void
read_some (Stream *stream)
{
  guint old = stream->in->len;
  gsize missing = stream->skip > 0 ? stream->skip : record_missing (stream->in);
  /* A long record is read to its end alone, so that it need not be copied. */
  guint most = missing > 0 && old + missing > READ_CHUNK
                   ? (guint)MIN (missing, READ_CHUNK)
                   : READ_CHUNK;
  gssize n;

  g_byte_array_set_size (stream->in, old + most);
  n = recv (stream->fd, stream->in->data + old, most, 0);
  g_byte_array_set_size (stream->in, old + (stream->skip > 0 ? 0 : (guint)MAX (n, 0)));
  if (n > 0)
    {
      stream->received += (guint64)n;
      if (stream->skip > 0)
        {
          note_skipped (stream, (gsize)n);
          return;
        }
      count_in (stream);
      truncate_if_full (stream);
      if (!dispatch_long_record (stream))
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
  g_queue_clear_full (&stream->parts, part_free);
  mem_account_subtract (stream->account, stream->in_held);
  mem_account_unref (stream->account);
  g_free (stream);
}

/* Appends bytes: short ones to `out`, long ones as a part that keeps `bytes`. */
static void
append (Stream *stream, GBytes *bytes)
{
  gsize len;
  const guint8 *data = g_bytes_get_data (bytes, &len);
  Part *part;

  if (len < PART_MIN)
    {
      g_byte_array_append (stream->out, data, (guint)len);
      return;
    }
  part = g_new0 (Part, 1);
  part->after = stream->out->len;
  part->bytes = g_bytes_ref (bytes);
  g_queue_push_tail (&stream->parts, part);
}

static void
append_message (Stream *stream, GByteArray *message)
{
  g_autoptr (GBytes) bytes = g_bytes_new_with_free_func (
      message->data, message->len, (GDestroyNotify)g_byte_array_unref,
      g_byte_array_ref (message));

  append (stream, bytes);
}

void
stream_send (Stream *stream, GByteArray *message)
{
  record_append_mark (stream->out, message->len);
  append_message (stream, message);
  if (!stream->connecting)
    flush (stream);
}

void
stream_send_tail (Stream *stream, GByteArray *message, GBytes *tail)
{
  static const guint8 zeros[BYTES_PER_XDR_UNIT];
  gsize len = g_bytes_get_size (tail);
  guint padding = wire_tail_padding (len);

  wire_set_tail (message, (guint32)len);
  record_append_mark (stream->out, message->len + (guint32)len + padding);
  append_message (stream, message);
  append (stream, tail);
  g_byte_array_append (stream->out, zeros, padding);
  if (!stream->connecting)
    flush (stream);
}

gboolean
stream_is_sending (const Stream *stream)
{
  return stream->out_at < stream->out->len || stream->parts.length > 0;
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
stream_set_account (Stream *stream, MemAccount *account)
{
  stream->account = mem_account_ref (account);
}

void
stream_set_record_max (Stream *stream, gsize max)
{
  stream->record_max = max;
}
