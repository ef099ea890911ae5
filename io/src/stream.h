/*
 * A TCP stream of RPC records, used by the RPC server and by its clients.
 */
#ifndef IO_STREAM_H
#define IO_STREAM_H

#include <io/loop.h>

typedef struct Stream Stream;

/* Functions of the owner. `closed` is called at most once, and the owner then destroys
   the stream. */
typedef struct
{
  void (*record) (GByteArray *record, gpointer data);
  void (*opened) (gpointer data); /* a connecting stream is connected */
  void (*closed) (gpointer data);
} StreamEvents;

/* Takes ownership of `fd`. `connecting` says that its connect is still in progress. */
Stream *stream_create (
    Loop *loop, int fd, gboolean connecting, const StreamEvents *events, gpointer data);
void stream_destroy (Stream *stream);

/* Queues one message as a record. */
void stream_send (Stream *stream, const GByteArray *message);

/* Fails the stream: `closed` is called from the loop, not from within this function. */
void stream_fail (Stream *stream);

/* Bounds the records that the other side may send, in bytes. */
void stream_set_record_max (Stream *stream, gsize max);

/* Returns whether bytes wait for the socket to take them. */
gboolean stream_is_sending (const Stream *stream);
/* Returns whether the peer has not received all that was passed to the kernel. */
gboolean stream_has_unsent (const Stream *stream);

void stream_bytes (const Stream *stream, guint64 *sent, guint64 *received);

#endif
