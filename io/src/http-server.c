#include "http-framing.h"
#include "http-server-private.h"

#include <gio/gio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <io/socket.h>

static enum MHD_Result
copy_header (void *data, enum MHD_ValueKind kind, const char *key, const char *value)
{
  http_headers_add (data, key, value);
  return MHD_YES;
}

static Conn *
conn_of (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info =
      MHD_get_connection_info (connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

  return info ? info->socket_context : NULL;
}

/* Keeps the raw target, which libmicrohttpd passes on before it decodes it. */
static void *
on_uri (void *data, const char *uri, struct MHD_Connection *connection)
{
  HttpRequest *request = g_new0 (HttpRequest, 1);
  Conn *conn = conn_of (connection);

  if (conn)
    {
      conn->idle_since_us = 0;
      if (!conn->reading_since_us)
        conn->reading_since_us = clock_now (loop_clock (conn->server->loop));
    }
  g_atomic_ref_count_init (&request->refs);
  request->target = g_strdup (uri);
  request->headers = http_headers_new ();
  request->body = g_byte_array_new ();
  return request;
}

static enum MHD_Result
answer_early (struct MHD_Connection *connection, guint status, const char *why)
{
  g_autofree char *text = g_strdup_printf ("{\"error\":\"%s\"}\n", why);
  struct MHD_Response *response =
      MHD_create_response_from_buffer (strlen (text), text, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result;

  MHD_add_response_header (response, "Connection", "close");
  MHD_add_response_header (response, "Content-Type", "application/json");
  MHD_add_response_header (response, "Switchmill-Outcome", "not-run");
  if (status == MHD_HTTP_SERVICE_UNAVAILABLE)
    MHD_add_response_header (response, "Retry-After", HTTP_FULL_RETRY_AFTER_S);
  result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
refuse_full (HttpServer *server, struct MHD_Connection *connection)
{
  if (server->full)
    server->full (0, server->full_data);
  return answer_early (connection, MHD_HTTP_SERVICE_UNAVAILABLE,
                       "too much is held for other callers");
}

static enum MHD_Result
begin (HttpServer *server,
       HttpRequest *request,
       struct MHD_Connection *connection,
       const char *url,
       const char *method)
{
  const char *fault;
  const char *length;
  guint64 bytes = 0;

  request->connection = connection;
  request->method = g_strdup (method);
  request->path = g_strdup (url);
  request->conn = conn_of (connection);
  MHD_get_connection_values (connection, MHD_HEADER_KIND, copy_header, request->headers);
  fault = http_framing_fault (request->headers);
  if (fault)
    return answer_early (connection, MHD_HTTP_BAD_REQUEST, fault);
  length = http_headers_get (request->headers, "Content-Length");
  if (length && !g_ascii_string_to_unsigned (length, 10, 0, G_MAXINT64, &bytes, NULL))
    return answer_early (connection, MHD_HTTP_BAD_REQUEST,
                         "Content-Length is not a number");
  if (length && bytes > server->limits.body_max)
    return answer_early (connection, MHD_HTTP_CONTENT_TOO_LARGE, "the body is too large");
  if (!http_body_may_begin (server, bytes))
    return refuse_full (server, connection);
  request->server = server;
  request->account = mem_account_ref (server->account);
  if (request->conn)
    request->conn->request = request;
  server->active++;
  return MHD_YES;
}

static enum MHD_Result
queue (HttpRequest *request)
{
  enum MHD_Result result =
      MHD_queue_response (request->connection, request->status, request->response);

  if (request->conn)
    request->conn->reading_since_us = 0;
  return result;
}

static enum MHD_Result
on_access (void *data,
           struct MHD_Connection *connection,
           const char *url,
           const char *method,
           const char *version,
           const char *upload,
           size_t *upload_size,
           void **context)
{
  HttpServer *server = data;
  HttpRequest *request = *context;

  server->turns = 0;
  if (request->conn)
    request->conn->stuck_unread = 0;
  if (request->conn && request->conn->refused)
    return MHD_NO;
  if (!request->method)
    return begin (server, request, connection, url, method);
  if (*upload_size > 0)
    {
      if (request->body->len + *upload_size > server->limits.body_max)
        {
          if (request->conn)
            http_refuse_too_large (request->conn);
          return MHD_NO;
        }
      if (!http_body_append (request, upload, *upload_size))
        return MHD_NO;
      *upload_size = 0;
      return MHD_YES;
    }
  if (request->dropped)
    return MHD_NO;
  if (request->response)
    return queue (request);
  if (!request->handled)
    {
      request->handled = TRUE;
      http_body_end (request);
      request->received_us = clock_now (loop_clock (server->loop));
      if (request->conn)
        request->conn->reading_since_us = 0;
      server->handler (request, server->data);
      if (request->dropped)
        return MHD_NO;
      if (request->response)
        return queue (request);
    }
  request->suspended = TRUE;
  MHD_suspend_connection (connection);
  return MHD_YES;
}

static void
on_completed (void *data,
              struct MHD_Connection *connection,
              void **context,
              enum MHD_RequestTerminationCode code)
{
  HttpServer *server = data;
  HttpRequest *request = *context;

  if (!request)
    return;
  *context = NULL;
  g_hash_table_remove (server->watched, request);
  if (request->server)
    server->active--;
  http_body_end (request);
  if (request->conn)
    {
      request->conn->request = NULL;
      request->conn->reading_since_us = 0;
      request->conn->last_read_us = 0;
      request->conn->idle_since_us = clock_now (loop_clock (server->loop));
    }
  request->connection = NULL;
  request->conn = NULL;
  request->server = NULL;
  http_request_unref (request);
}

static void
on_connection (void *data,
               struct MHD_Connection *connection,
               void **context,
               enum MHD_ConnectionNotificationCode code)
{
  HttpServer *server = data;
  const union MHD_ConnectionInfo *info;
  Conn *conn = *context;

  if (code == MHD_CONNECTION_NOTIFY_CLOSED)
    {
      /* At its limit libmicrohttpd does not listen, and only another run resumes that. */
      if (g_hash_table_size (server->conns) >= server->limits.connections_max)
        server->run_pending = TRUE;
      g_hash_table_remove (server->conns, conn);
      http_linger_start (server, conn->fd);
      g_free (conn);
      *context = NULL;
      return;
    }
  info = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  conn = g_new0 (Conn, 1);
  conn->server = server;
  conn->fd = info->connect_fd;
  conn->reading_since_us = clock_now (loop_clock (server->loop));
  g_hash_table_add (server->conns, conn);
  *context = conn;
}

static void
on_ready (int fd, LoopEvents ready, gpointer data)
{
  HttpServer *server = data;

  server->run_pending = FALSE;
  MHD_run (server->daemon);
}

static gint64
on_prepare (gpointer data)
{
  HttpServer *server = data;
  MHD_UNSIGNED_LONG_LONG wait_ms;

  if (MHD_get_timeout (server->daemon, &wait_ms) == MHD_YES && wait_ms == 0)
    http_crowd_note_turn (server);
  else
    server->turns = 0;
  /* MHD_get_timeout of libmicrohttpd 0.9.75 ignores resumed connections. */
  if (server->run_pending ||
      (MHD_get_timeout (server->daemon, &wait_ms) == MHD_YES && wait_ms == 0))
    {
      server->run_pending = FALSE;
      MHD_run (server->daemon);
    }
  if (MHD_get_timeout (server->daemon, &wait_ms) != MHD_YES)
    return -1;
  return (gint64)wait_ms * MS_US;
}

static void
free_parts (HttpServer *server)
{
  g_hash_table_unref (server->conns);
  g_hash_table_unref (server->watched);
  g_hash_table_unref (server->reading);
  mem_account_unref (server->account);
  g_free (server);
}

HttpServer *
http_server_create (Loop *loop,
                    const char *address,
                    const HttpLimits *limits,
                    HttpHandler handler,
                    gpointer data,
                    GError **error)
{
  const union MHD_DaemonInfo *info;
  HttpServer *server;
  int fd = socket_listen (address, error);

  if (fd < 0)
    return NULL;
  server = g_new0 (HttpServer, 1);
  server->loop = loop;
  server->fd = fd;
  server->limits = *limits;
  server->handler = handler;
  server->data = data;
  server->conns = g_hash_table_new (NULL, NULL);
  server->watched = g_hash_table_new (NULL, NULL);
  server->reading = g_hash_table_new (NULL, NULL);
  server->account = limits->account        ? mem_account_ref (limits->account)
                    : limits->held_max > 0 ? mem_account_create (limits->held_max)
                                           : NULL;
  server->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_access, server,
      MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_CONNECTION_LIMIT, limits->connections_max,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, limits->header_max,
      MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_URI_LOG_CALLBACK, on_uri, server,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, server, MHD_OPTION_NOTIFY_CONNECTION,
      on_connection, server, MHD_OPTION_END);
  if (!server->daemon)
    {
      g_set_error (error, G_IO_ERROR, G_IO_ERROR_FAILED, "cannot serve HTTP on %s",
                   address);
      close (fd);
      free_parts (server);
      return NULL;
    }
  info = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  server->watch = loop_fd_create (loop, info->epoll_fd, LOOP_READ, on_ready, server);
  loop_add_prepare (loop, on_prepare, server);
  server->gone_check = loop_timer_create (loop, http_gone_check, server);
  server->sweep = loop_timer_create (loop, http_sweep, server);
  loop_timer_start (server->sweep, HTTP_SWEEP_US);
  return server;
}

void
http_server_set_stall_func (HttpServer *server, HttpStallFunc func, gpointer data)
{
  server->stall_func = func;
  server->stall_data = data;
}

void
http_server_set_full_func (HttpServer *server, HttpFullFunc func, gpointer data)
{
  server->full = func;
  server->full_data = data;
}

void
http_server_destroy (HttpServer *server)
{
  if (!server)
    return;
  loop_remove_prepare (server->loop, server);
  loop_timer_destroy (server->sweep);
  loop_timer_destroy (server->gone_check);
  loop_fd_destroy (server->watch);
  MHD_stop_daemon (server->daemon);
  http_linger_destroy_all (server);
  free_parts (server);
}

void
http_server_set_closing (HttpServer *server)
{
  server->closing = TRUE;
}

guint
http_server_active (const HttpServer *server)
{
  return server->active;
}
