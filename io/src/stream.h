/*
 * A TCP stream of RPC records, used by the RPC server and by its clients.
 */
#ifndef IO_STREAM_H
#define IO_STREAM_H

#include <io/loop.h>
#include <io/mem-account.h>

typedef struct Stream Stream;

/* Functions of the owner. `closed` is called at most once, and the owner then destroys
   the stream. */
typedef struct
{
  /* Of a truncated record only the beginning is left (stream_set_account). */
  void (*record) (GByteArray *record, gboolean truncated, gpointer data);
  void (*opened) (gpointer data); /* a connecting stream is connected */
  void (*closed) (gpointer data);
} StreamEvents;

/* Takes ownership of `fd`. `connecting` says that its connect is still in progress. */
Stream *stream_create (
    Loop *loop, int fd, gboolean connecting, const StreamEvents *events, gpointer data);
void stream_destroy (Stream *stream);

/* Queues one message as a record. */
void stream_send (Stream *stream, GByteArray *message);
/* Queues a message and its tail (wire/message.h) as a record. Neither is copied if it is
   long; `tail` is kept until it is sent. */
void stream_send_tail (Stream *stream, GByteArray *message, GBytes *tail);

/* Fails the stream: `closed` is called from the loop, not from within this function. */
void stream_fail (Stream *stream);

/* Counts long records in an account while they arrive, and truncates those that do not
   fit (MEM_RUNNING). */
void stream_set_account (Stream *stream, MemAccount *account);

/* Bounds the records that the other side may send, in bytes. */
void stream_set_record_max (Stream *stream, gsize max);

/* Returns whether bytes wait for the socket to take them. */
gboolean stream_is_sending (const Stream *stream);
/* Returns whether the peer has not received all that was passed to the kernel. */
gboolean stream_has_unsent (const Stream *stream);

void stream_bytes (const Stream *stream, guint64 *sent, guint64 *received);

#endif
