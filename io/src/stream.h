/*
 * A TCP stream of RPC records, for both ends of a connection.
 */
#ifndef IO_STREAM_H
#define IO_STREAM_H

#include <io/loop.h>

typedef struct Stream Stream;

/* What the owner is told. `closed` runs at most once; the owner then destroys. */
typedef struct
{
  void (*record) (GByteArray *record, gpointer data);
  void (*opened) (gpointer data); /* for a connecting stream */
  void (*closed) (gpointer data);
} StreamEvents;

/* Takes over `fd`. `connecting` when its connect has not been decided. */
Stream *stream_create (
    Loop *loop, int fd, gboolean connecting, const StreamEvents *events, gpointer data);
void stream_destroy (Stream *stream);

/* Queues one message as a record. */
void stream_send (Stream *stream, const GByteArray *message);

/* Tells `closed` from the loop, not from inside a send. */
void stream_fail (Stream *stream);

/* Bounds what the other side may send as one record, in bytes. */
void stream_set_record_max (Stream *stream, gsize max);

void stream_bytes (const Stream *stream, guint64 *sent, guint64 *received);

#endif
