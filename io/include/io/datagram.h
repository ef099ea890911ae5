/*
 * UDP datagrams, for gossip: RPC messages without record marks (RFC 5531, section 10).
 */
#ifndef IO_DATAGRAM_H
#define IO_DATAGRAM_H

#include <io/loop.h>

typedef struct Datagram Datagram;

/* `from` is "address:port" and lives as long as the call. */
typedef void (*DatagramFunc) (const char *from,
                              const guint8 *data,
                              gsize len,
                              gpointer user);

Datagram *datagram_create (
    Loop *loop, const char *address, DatagramFunc func, gpointer data, GError **error);
void datagram_destroy (Datagram *datagram);

/* Sends and forgets: a lost datagram is the protocol's matter. */
void datagram_send (Datagram *datagram, const char *to, const GByteArray *message);

/* Payload bytes since the start. */
void datagram_bytes (const Datagram *datagram, guint64 *sent, guint64 *received);

#endif
