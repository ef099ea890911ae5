#include "http-server-private.h"

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include <io/socket.h>

/* Without progress for this long, the connection is closed at last. */
#define LINGER_US (2 * SECOND_US)
/* Connections that linger at once; the oldest is closed for a new one. */
#define LINGERS_MAX 256u
/* Bytes that are discarded from one connection: the rest of a body that was refused. */
#define DISCARD_MAX (32u * 1024 * 1024)
#define DISCARD_CHUNK 65536u
/* Reads of one event; the loop then serves others. */
#define READS_MAX 4u

/*
 * A connection whose last answer is not received yet (RFC 9112, 9.6). The kernel resets a
 * connection that is closed with unread bytes, and drops what it has not sent; so its
 * socket stays open, the sending side closed, until the caller closes its side.
 */
struct HttpLinger
{
  HttpServer *server;
  int fd;
  LoopFd *watch;
  gsize discarded;
  gsize unsent;       /* at the last check */
  gint64 progress_us; /* when that last changed */
};

static gint64
now_of (const HttpServer *server)
{
  return clock_now (loop_clock (server->loop));
}

static void
linger_free (HttpLinger *linger)
{
  loop_fd_destroy (linger->watch);
  close (linger->fd);
  g_free (linger);
}

static void
linger_end (HttpLinger *linger)
{
  g_queue_remove (&linger->server->lingers, linger);
  linger_free (linger);
}

static void
on_ready (int fd, LoopEvents ready, gpointer data)
{
  HttpLinger *linger = data;
  static char discarded[DISCARD_CHUNK];
  gssize n = 1;

  for (guint i = 0; i < READS_MAX && n > 0; i++)
    {
      n = recv (fd, discarded, sizeof discarded, MSG_DONTWAIT);
      linger->discarded += (gsize)MAX (n, 0);
    }
  if (n > 0 && linger->discarded <= DISCARD_MAX)
    return;
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  linger_end (linger);
}

/* Returns whether the caller has closed its side, and all that it sent has been read. */
static gboolean
is_closed_by_caller (int fd)
{
  char byte;
  gssize n = recv (fd, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);

  return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

void
http_linger_start (HttpServer *server, int fd)
{
  HttpLinger *linger;
  int copy;

  if (is_closed_by_caller (fd))
    return;
  copy = dup (fd);
  if (copy < 0)
    return;
  if (g_queue_get_length (&server->lingers) >=
      MIN (LINGERS_MAX, server->limits.connections_max))
    linger_end (g_queue_peek_head (&server->lingers));
  shutdown (copy, SHUT_WR);
  linger = g_new0 (HttpLinger, 1);
  linger->server = server;
  linger->fd = copy;
  linger->unsent = socket_unsent (copy);
  linger->progress_us = now_of (server);
  linger->watch = loop_fd_create (server->loop, copy, LOOP_READ, on_ready, linger);
  g_queue_push_tail (&server->lingers, linger);
}

/* Returns how long the connection may go on without progress. */
static gint64
patience_us (const HttpLinger *linger)
{
  return linger->unsent > 0 ? MAX (linger->server->limits.stall_us, LINGER_US)
                            : LINGER_US;
}

void
http_linger_check (HttpServer *server)
{
  gint64 now = now_of (server);
  GList *next;

  for (GList *item = server->lingers.head; item; item = next)
    {
      HttpLinger *linger = item->data;
      gsize unsent = socket_unsent (linger->fd);

      next = item->next;
      if (unsent != linger->unsent)
        linger->progress_us = now;
      linger->unsent = unsent;
      if (now - linger->progress_us > patience_us (linger))
        linger_end (linger);
    }
}

void
http_linger_destroy_all (HttpServer *server)
{
  HttpLinger *linger;

  while ((linger = g_queue_pop_head (&server->lingers)))
    linger_free (linger);
}

gboolean
http_server_is_sending (const HttpServer *server)
{
  GHashTableIter iter;
  gpointer key;

  for (GList *item = server->lingers.head; item; item = item->next)
    if (socket_unsent (((const HttpLinger *)item->data)->fd) > 0)
      return TRUE;
  g_hash_table_iter_init (&iter, server->conns);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (socket_unsent (((const Conn *)key)->fd) > 0)
      return TRUE;
  return FALSE;
}
