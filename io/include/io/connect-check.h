/*
 * Whether anything listens at an address: a connection is opened and closed again,
 * without a byte sent.
 */
#ifndef IO_CONNECT_CHECK_H
#define IO_CONNECT_CHECK_H

#include <io/loop.h>

typedef struct ConnectCheck ConnectCheck;

typedef enum
{
  CONNECT_ACCEPTED,
  CONNECT_REFUSED, /* nothing listens there */
  CONNECT_UNKNOWN  /* no answer in time, or the way there is broken */
} ConnectAnswer;

/* Runs once, from the loop, unless the check is destroyed before. */
typedef void (*ConnectCheckFunc) (ConnectAnswer answer, gpointer data);

ConnectCheck *connect_check_create (Loop *loop,
                                    const char *address,
                                    gint64 timeout_us,
                                    ConnectCheckFunc func,
                                    gpointer data);
void connect_check_destroy (ConnectCheck *check);

#endif
