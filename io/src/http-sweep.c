#include "http-server-private.h"

#include <poll.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

/* Answers that are sent past libmicrohttpd, while it reads a request. */
#define NOT_RUN_HEAD                                                                     \
  "\r\nSwitchmill-Outcome: not-run\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
#define READ_TIMEOUT_ANSWER "HTTP/1.1 408 Request Timeout" NOT_RUN_HEAD
#define TOO_LARGE_ANSWER "HTTP/1.1 413 Content Too Large" NOT_RUN_HEAD
#define NO_ROOM_ANSWER                                                                   \
  "HTTP/1.1 503 Service Unavailable\r\nRetry-After: " HTTP_FULL_RETRY_AFTER_S NOT_RUN_HEAD
/* How long a connection whose sending side is closed may stay open. */
#define ENDING_US (2 * SECOND_US)

/* Closes the sending side. The rest of a request may already be in the socket's buffer,
   so `refused` keeps it from running, and closes the connection once it is read. */
static void
end_sending (Conn *conn)
{
  conn->refused = TRUE;
  conn->reading_since_us = 0;
  conn->idle_since_us = 0;
  conn->ending_us = clock_now (loop_clock (conn->server->loop));
  shutdown (conn->fd, SHUT_WR);
}

/* Answers a request that is not read to its end. */
static void
refuse_unread (Conn *conn, const char *answer)
{
  if (send (conn->fd, answer, strlen (answer), MSG_NOSIGNAL | MSG_DONTWAIT) < 0)
    g_debug ("caller closed its connection before the answer");
  if (conn->request)
    http_body_drop (conn->request);
  end_sending (conn);
}

void
http_refuse_too_large (Conn *conn)
{
  refuse_unread (conn, TOO_LARGE_ANSWER);
}

void
http_refuse_no_room (Conn *conn)
{
  refuse_unread (conn, NO_ROOM_ANSWER);
}

static gboolean
has_stalled (const Conn *conn, gint64 now)
{
  gint64 stall_us = conn->server->limits.stall_us;

  return stall_us > 0 && conn->last_read_us > 0 && now - conn->last_read_us > stall_us;
}

/* Closes a stalled connection, which frees the memory held for its answer. */
static void
close_stalled (Conn *conn)
{
  HttpServer *server = conn->server;

  conn->last_read_us = 0;
  if (server->stall_func)
    server->stall_func (conn->answer_unread, server->stall_data);
  shutdown (conn->fd, SHUT_RDWR);
}

/* Returns whether no more of the request will come: the connection is reset, or the
   caller has closed its side and all that it sent has been read. */
static gboolean
is_gone (const struct pollfd *poll_fd)
{
  int unread = 0;

  if (poll_fd->revents & (POLLERR | POLLHUP | POLLNVAL))
    return TRUE;
  return (poll_fd->revents & POLLRDHUP) && ioctl (poll_fd->fd, FIONREAD, &unread) == 0 &&
         unread == 0;
}

/*
 * Closes connections whose callers have gone in the middle of a request. The
 * edge-triggered event of a close is lost on libmicrohttpd if it comes while bytes are
 * left to read; a shutdown makes another one.
 */
static void
close_gone (HttpServer *server)
{
  g_autoptr (GArray) polls = g_array_new (FALSE, FALSE, sizeof (struct pollfd));
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, server->conns);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const Conn *conn = key;
      struct pollfd poll_fd = { conn->fd, POLLRDHUP, 0 };

      if (conn->reading_since_us || conn->ending_us)
        g_array_append_val (polls, poll_fd);
    }
  if (polls->len == 0 || poll ((struct pollfd *)polls->data, polls->len, 0) <= 0)
    return;
  for (guint i = 0; i < polls->len; i++)
    {
      const struct pollfd *poll_fd = &g_array_index (polls, struct pollfd, i);

      if (is_gone (poll_fd))
        shutdown (poll_fd->fd, SHUT_RDWR);
    }
}

/*
 * Closes connections that exceed the time limits. libmicrohttpd's own time-out counts
 * from the last byte, so a caller that sends a byte now and then would hold a connection
 * for ever. The limit for reading a request counts from its start.
 */
void
http_sweep (gpointer data)
{
  HttpServer *server = data;
  gint64 now = clock_now (loop_clock (server->loop));
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, server->conns);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      Conn *conn = key;

      if (conn->ending_us)
        {
          if (now - conn->ending_us > ENDING_US)
            shutdown (conn->fd, SHUT_RDWR);
        }
      else if (conn->reading_since_us &&
               now - conn->reading_since_us > server->limits.read_us)
        refuse_unread (conn, READ_TIMEOUT_ANSWER);
      else if (has_stalled (conn, now))
        close_stalled (conn);
      else if (conn->idle_since_us && now - conn->idle_since_us > server->limits.idle_us)
        end_sending (conn);
    }
  close_gone (server);
  http_crowd_make_room (server);
  http_linger_check (server);
  loop_timer_start (server->sweep, HTTP_SWEEP_US);
}
