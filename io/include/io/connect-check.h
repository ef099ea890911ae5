/*
 * Checks whether a process listens at an address: opens a connection without sending a
 * byte.
 */
#ifndef IO_CONNECT_CHECK_H
#define IO_CONNECT_CHECK_H

#include <io/loop.h>

typedef struct ConnectCheck ConnectCheck;

typedef enum
{
  CONNECT_ACCEPTED,
  CONNECT_REFUSED, /* nothing listens there */
  CONNECT_UNKNOWN  /* no answer in time, or a network error */
} ConnectAnswer;

/* Called once, from the loop, unless the check is destroyed first. After CONNECT_ACCEPTED
   `fd` is the connection, which the function owns; else it is -1. */
typedef void (*ConnectCheckFunc) (ConnectAnswer answer, int fd, gpointer data);

/* Starts a check of `address` ("IP:port"). Its function is called after `timeout_us` at
   the latest. */
ConnectCheck *connect_check_create (Loop *loop,
                                    const char *address,
                                    gint64 timeout_us,
                                    ConnectCheckFunc func,
                                    gpointer data);
void connect_check_destroy (ConnectCheck *check);

#endif
