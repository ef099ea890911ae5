#include "http-server-private.h"

#include <poll.h>

/* Longest time until a closed connection is noticed: a quarter of the half second after
   which the users' platform counts work for a caller that has left as waste. */
#define GONE_CHECK_US (125 * MS_US)

/* Calls the functions of the requests whose callers have closed their connections, once
   each. */
static void
notify_gone (HttpServer *server, GPtrArray *requests, const GArray *polls)
{
  for (guint i = 0; i < requests->len; i++)
    {
      HttpRequest *request = g_ptr_array_index (requests, i);

      if (!(g_array_index (polls, struct pollfd, i).revents &
            (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)))
        continue;
      if (g_hash_table_remove (server->watched, request))
        request->gone_func (request->gone_data);
    }
}

/*
 * libmicrohttpd does not watch a connection while its request is suspended, so one poll
 * for all such connections runs at intervals. POLLRDHUP reports that the caller has
 * closed its side even if further requests were sent before and are still unread. A watch
 * in the loop would only report that there is data to read.
 */
void
http_gone_check (gpointer data)
{
  HttpServer *server = data;
  guint count = g_hash_table_size (server->watched);
  g_autoptr (GArray) polls = NULL;
  g_autoptr (GPtrArray) requests = NULL;
  GHashTableIter iter;
  gpointer key;

  if (count == 0)
    return;
  polls = g_array_sized_new (FALSE, FALSE, sizeof (struct pollfd), count);
  requests = g_ptr_array_new_with_free_func ((GDestroyNotify)http_request_unref);
  g_hash_table_iter_init (&iter, server->watched);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      HttpRequest *request = key;
      struct pollfd poll_fd = { request->conn->fd, POLLRDHUP, 0 };

      g_array_append_val (polls, poll_fd);
      g_ptr_array_add (requests, http_request_ref (request));
    }
  if (poll ((struct pollfd *)polls->data, polls->len, 0) > 0)
    notify_gone (server, requests, polls);
  loop_timer_start (server->gone_check, GONE_CHECK_US);
}

void
http_request_watch_gone (HttpRequest *request, HttpGoneFunc func, gpointer data)
{
  HttpServer *server = request->server;

  request->gone_func = func;
  request->gone_data = data;
  if (!server)
    return;
  if (!func)
    {
      g_hash_table_remove (server->watched, request);
      return;
    }
  if (!request->conn || !request->connection)
    return;
  if (g_hash_table_size (server->watched) == 0)
    loop_timer_start (server->gone_check, GONE_CHECK_US);
  g_hash_table_add (server->watched, request);
}
