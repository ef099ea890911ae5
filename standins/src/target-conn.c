#include "target-conn.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <target-dialect.h>

#define READ_CHUNK 65536
#define REQUEST_MAX (32u * 1024 * 1024)

TargetConn *
target_conn_create (int fd)
{
  TargetConn *conn = g_new0 (TargetConn, 1);

  conn->fd = fd;
  conn->in = g_byte_array_new ();
  conn->out = g_byte_array_new ();
  return conn;
}

void
target_conn_destroy (TargetConn *conn)
{
  loop_fd_destroy (conn->watch);
  loop_timer_destroy (conn->timer);
  close (conn->fd);
  g_byte_array_unref (conn->in);
  g_byte_array_unref (conn->out);
  g_free (conn->repeat);
  g_free (conn->path);
  g_free (conn->id);
  g_free (conn->attempt);
  g_free (conn->expected);
  g_free (conn);
}

gboolean
target_conn_read (TargetConn *conn)
{
  guint old = conn->in->len;
  gssize n;

  g_byte_array_set_size (conn->in, old + READ_CHUNK);
  n = recv (conn->fd, conn->in->data + old, READ_CHUNK, 0);
  g_byte_array_set_size (conn->in, old + (guint)MAX (n, 0));
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return TRUE;
  return n > 0 && conn->in->len <= REQUEST_MAX;
}

void
target_conn_drop_request (TargetConn *conn)
{
  g_byte_array_remove_range (conn->in, 0, (guint)(conn->body_at + conn->body_len));
  g_clear_pointer (&conn->path, g_free);
}

void
target_conn_flush (TargetConn *conn)
{
  while (conn->out->len > 0)
    {
      gssize n = send (conn->fd, conn->out->data, conn->out->len, MSG_NOSIGNAL);

      if (n < 0)
        break;
      g_byte_array_remove_range (conn->out, 0, (guint)n);
    }
  loop_fd_set (conn->watch, LOOP_READ | (conn->out->len ? LOOP_WRITE : 0));
}

void
target_conn_put (TargetConn *conn, const char *text)
{
  g_byte_array_append (conn->out, (const guint8 *)text, (guint)strlen (text));
}

void
target_conn_put_answer (
    TargetConn *conn, guint status, const char *body, const char *attempt, gsize extra)
{
  const char *echo = conn->signed_answers ? TARGET_DIALECT_ECHO : "Switchmill-Attempt: ";
  g_autofree char *head = g_strdup_printf (
      "HTTP/1.1 %u %s\r\nContent-Type: text/plain\r\nContent-Length: %zu\r\n%s%s%s%s\r\n",
      status, status < 400 ? "OK" : "Error", strlen (body) + extra, attempt ? echo : "",
      attempt ? attempt : "", attempt ? "\r\n" : "", conn->notices ? conn->notices : "");

  target_conn_put (conn, head);
  target_conn_put (conn, body);
}

char *
target_conn_body (const TargetConn *conn, const char *name)
{
  g_autofree char *digest = g_compute_checksum_for_data (
      G_CHECKSUM_SHA256, conn->in->data + conn->body_at, conn->body_len);

  return g_strdup_printf ("%s %zu %s %s\n", conn->id ? conn->id : "-", conn->body_len,
                          digest, name);
}

void
target_conn_reset (TargetConn *conn)
{
  struct linger at_once = { .l_onoff = 1 };

  setsockopt (conn->fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

void
target_conn_close_after (TargetConn *conn)
{
  target_conn_flush (conn);
  conn->closing = TRUE;
  shutdown (conn->fd, SHUT_RDWR);
}

/* Takes the id of a request in the platform's dialect, which is counted and answered
   under that id. */
static void
take_dialect_id (TargetConn *conn, char **lines, char **seen)
{
  char *line = NULL;
  char *id;

  g_clear_pointer (&conn->expected, g_free);
  id = target_dialect_read (lines, &line, &conn->expected);

  conn->signed_answers = id != NULL;
  if (!id)
    return;
  g_free (conn->id);
  conn->id = id;
  g_free (conn->attempt);
  conn->attempt = g_strdup (id);
  g_free (*seen);
  *seen = line;
}

gboolean
target_conn_parse (TargetConn *conn, char **seen)
{
  guint8 *end;
  g_autofree char *head = NULL;
  g_auto (GStrv) lines = NULL;
  g_auto (GStrv) words = NULL;
  g_autofree char *length = NULL;

  /* Empty lines before a request are ignored. */
  while (conn->in->len >= 2 && memcmp (conn->in->data, "\r\n", 2) == 0)
    g_byte_array_remove_range (conn->in, 0, 2);
  end = memmem (conn->in->data, conn->in->len, "\r\n\r\n", 4);
  if (!end)
    return FALSE;
  head = g_strndup ((char *)conn->in->data, (gsize)(end - conn->in->data));
  lines = g_strsplit (head, "\r\n", -1);
  length = target_header (lines, "Content-Length");
  conn->body_at = (gsize)(end - conn->in->data) + 4;
  conn->body_len = length ? g_ascii_strtoull (length, NULL, 10) : 0;
  if (conn->in->len < conn->body_at + conn->body_len)
    return FALSE;
  words = g_strsplit (lines[0], " ", 3);
  conn->path = g_strdup (words[0] && words[1] ? words[1] : "/");
  g_free (conn->id);
  conn->id = target_header (lines, "X-Request-Id");
  g_free (conn->attempt);
  conn->attempt = target_header (lines, "Switchmill-Attempt");
  take_dialect_id (conn, lines, seen);
  return TRUE;
}
