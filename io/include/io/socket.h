/*
 * Non-blocking TCP sockets over IPv4, and "address:port" texts.
 */
#ifndef IO_SOCKET_H
#define IO_SOCKET_H

#include <glib.h>
#include <netinet/in.h>

/* Reads an address such as "127.0.0.1:80". Returns FALSE unless it is an IPv4 address
   with a port. */
gboolean socket_address_parse (const char *text, struct sockaddr_in *address);

/* Returns a listening socket, or -1 with `error` set (G_IO_ERROR). */
int socket_listen (const char *text, GError **error);

/* Starts to connect to `text`. Returns the socket, or -1 on failure. The socket becomes
   writable or reports an error once the connection has succeeded or failed. */
int socket_connect (const char *text);

/* Accepts a pending connection as a non-blocking socket. Returns -1 if there is none. */
int socket_accept (int listener);

/* Returns the pending error of a socket (SO_ERROR), which the kernel then clears; 0 for
   none. */
int socket_error (int fd);

/* Returns the number of bytes that were written to a connection and that the peer has not
   acknowledged (SIOCOUTQ); an unacknowledged end counts as one. 0 if the kernel cannot
   tell. */
gsize socket_unsent (int fd);

/* Returns the time since the kernel received the last data of a connection (TCP_INFO), in
   steps of some milliseconds; since it was established, if there was none. Returns
   G_MAXINT32 if the kernel cannot tell. */
gint64 socket_quiet_us (int fd);

#endif
