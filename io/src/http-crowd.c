#include "http-server-private.h"

#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

/* Connections are closed for new ones when fewer than one in so many are free, until one
   in CLEARED_SHARE are. */
#define FREE_SHARE 16u
#define CLEARED_SHARE 4u
/* A head follows its connection within a round trip; a lost segment is sent again within
   this time. */
#define HEAD_US (200 * MS_US)
/* Turns in a row without progress after which connections are looked at. One turn serves
   all that is ready, so that a few are enough. */
#define TURNS_MAX 64u

#define MALFORMED_ANSWER                                                                 \
  "HTTP/1.1 400 Bad Request\r\nSwitchmill-Outcome: not-run\r\nConnection: close\r\n"     \
  "Content-Length: 0\r\n\r\n"

/* Closes both sides at once. What has been read of a request does not run. */
static void
close_now (Conn *conn)
{
  conn->refused = TRUE;
  conn->reading_since_us = 0;
  conn->idle_since_us = 0;
  conn->ending_us = clock_now (loop_clock (conn->server->loop));
  if (conn->request)
    http_body_drop (conn->request);
  shutdown (conn->fd, SHUT_RDWR);
}

/* Returns since when a connection waits for its caller, 0 if it does not: those with half
   a head before those at rest, which are kept for requests to come. */
static gint64
waits_since_us (const Conn *conn, gboolean at_rest)
{
  if (conn->ending_us || conn->request)
    return 0;
  return at_rest ? conn->idle_since_us : conn->reading_since_us;
}

static Conn *
longest_waiting (const HttpServer *server, gboolean at_rest, gint64 *since_us)
{
  gint64 latest = clock_now (loop_clock (server->loop)) - HEAD_US;
  Conn *first = NULL;
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, server->conns);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      Conn *conn = key;
      gint64 since = waits_since_us (conn, at_rest);

      if (since == 0 || since > latest || (first && since >= *since_us))
        continue;
      first = conn;
      *since_us = since;
    }
  return first;
}

/* Closes the connection that has waited longest. Returns FALSE if none has waited long
   enough. */
static gboolean
displace_one (HttpServer *server)
{
  gint64 since_us = 0;
  Conn *conn = longest_waiting (server, FALSE, &since_us);

  if (!conn)
    conn = longest_waiting (server, TRUE, &since_us);
  if (!conn)
    return FALSE;
  close_now (conn);
  if (server->displaced)
    server->displaced (clock_now (loop_clock (server->loop)) - since_us,
                       server->displaced_data);
  return TRUE;
}

void
http_crowd_make_room (HttpServer *server)
{
  guint most = server->limits.connections_max;
  guint open = g_hash_table_size (server->conns);
  guint closed = 0;

  if (open + MAX (most / FREE_SHARE, 1) < most)
    return;
  while (open - closed + most / CLEARED_SHARE > most && displace_one (server))
    closed++;
}

/*
 * Closes connections whose bytes are left unread from one look to the next. Framing that
 * does not fit the buffer, such as a chunk extension without an end, leaves libmicrohttpd
 * (0.9.75) asking to be run again for as long as the connection is open.
 */
static void
close_stuck (HttpServer *server)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, server->conns);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      Conn *conn = key;
      int before = conn->stuck_unread;

      conn->stuck_unread = 0;
      if (!conn->request || !conn->reading_since_us || conn->ending_us ||
          ioctl (conn->fd, FIONREAD, &conn->stuck_unread) != 0)
        continue;
      if (conn->stuck_unread == 0 || conn->stuck_unread != before)
        continue;
      if (send (conn->fd, MALFORMED_ANSWER, strlen (MALFORMED_ANSWER),
                MSG_NOSIGNAL | MSG_DONTWAIT) < 0)
        g_debug ("caller closed its connection before the answer");
      close_now (conn);
    }
}

void
http_crowd_note_turn (HttpServer *server)
{
  if (++server->turns < TURNS_MAX)
    return;
  server->turns = 0;
  close_stuck (server);
}

void
http_server_set_displaced_func (HttpServer *server, HttpDisplacedFunc func, gpointer data)
{
  server->displaced = func;
  server->displaced_data = data;
}
