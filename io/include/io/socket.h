/*
 * Non-blocking TCP sockets by IP number, and "address:port" texts.
 */
#ifndef IO_SOCKET_H
#define IO_SOCKET_H

#include <glib.h>
#include <netinet/in.h>

/* Reads "127.0.0.1:80". FALSE when it is not an IPv4 number and a port. */
gboolean socket_address_parse (const char *text, struct sockaddr_in *address);

/* A listening socket, or -1 with `error` set. */
int socket_listen (const char *text, GError **error);

/* A socket on its way to `text`, or -1. Writable or broken once it is decided. */
int socket_connect (const char *text);

/* Takes a waiting connection, non-blocking; -1 when there is none. */
int socket_accept (int listener);

/* The error a connecting or open socket stands at: 0 for none. */
int socket_error (int fd);

#endif
