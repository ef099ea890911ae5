/*
 * UDP datagrams for gossip. Each holds an RPC message without a record mark (RFC 5531,
 * section 10).
 */
#ifndef IO_DATAGRAM_H
#define IO_DATAGRAM_H

#include <io/loop.h>

typedef struct Datagram Datagram;

/* Called for each datagram. `from` is "address:port"; it and `data` are valid only during
   the call. */
typedef void (*DatagramFunc) (const char *from,
                              const guint8 *data,
                              gsize len,
                              gpointer user);

/* Binds a socket to `address` ("IP:port"). Returns NULL with `error` set (G_IO_ERROR) on
   failure. */
Datagram *datagram_create (
    Loop *loop, const char *address, DatagramFunc func, gpointer data, GError **error);
void datagram_destroy (Datagram *datagram);

/* Sends without acknowledgement and reports no errors: the protocol tolerates the loss of
   datagrams. */
void datagram_send (Datagram *datagram, const char *to, const GByteArray *message);

/* Returns the payload bytes sent and received since the socket was bound. */
void datagram_bytes (const Datagram *datagram, guint64 *sent, guint64 *received);

#endif
