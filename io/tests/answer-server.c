#include "answer-server.h"

#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <io/socket.h>

/* Small enough that a client cannot get rid of a long request that nobody reads. */
#define RECEIVE_BUFFER 16384
#define READ_CHUNK 65536u
#define SHUT_US (20 * 1000)
#define HEALTH_ANSWER "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

struct AnswerServer
{
  const AnswerScript *script;
  char *address;
  int listener;
  GThread *thread;
  GPtrArray *connections; /* of GThread */
  GMutex lock;
  GArray *open;  /* of int: the sockets that are being served */
  gint answered; /* atomic */
};

typedef struct
{
  AnswerServer *server;
  int fd;
} Connection;

static void
write_all (int fd, const char *bytes, gsize len)
{
  gssize n;

  while (len > 0 && (n = send (fd, bytes, len, MSG_NOSIGNAL)) > 0)
    {
      bytes += n;
      len -= (gsize)n;
    }
}

/* Appends what arrives next. Returns FALSE at the end of the connection. */
static gboolean
read_more (int fd, GString *text, gsize max)
{
  char buffer[READ_CHUNK];
  gssize n = recv (fd, buffer, MIN (max, sizeof buffer), 0);

  if (n <= 0)
    return FALSE;
  g_string_append_len (text, buffer, n);
  return TRUE;
}

static char *
header (const char *head, const char *name)
{
  g_auto (GStrv) lines = g_strsplit (head, "\r\n", -1);
  g_autofree char *prefix = g_strconcat (name, ":", NULL);

  for (guint i = 0; lines[i]; i++)
    if (g_ascii_strncasecmp (lines[i], prefix, strlen (prefix)) == 0)
      return g_strstrip (g_strdup (lines[i] + strlen (prefix)));
  return NULL;
}

/* Reads a head, byte by byte so that nothing of the body is taken. The caller frees it.
   Returns NULL at the end of the connection. */
static char *
read_head (int fd)
{
  GString *text = g_string_new (NULL);

  while (!g_str_has_suffix (text->str, "\r\n\r\n"))
    {
      if (!read_more (fd, text, 1))
        {
          g_string_free (text, TRUE);
          return NULL;
        }
      /* Clients may send empty lines before a request. */
      if (strcmp (text->str, "\r\n") == 0)
        g_string_truncate (text, 0);
    }
  return g_string_free (text, FALSE);
}

static gboolean
read_body (int fd, const char *head)
{
  g_autofree char *length = header (head, "Content-Length");
  gsize left = length ? (gsize)g_ascii_strtoull (length, NULL, 10) : 0;
  g_autoptr (GString) text = g_string_new (NULL);

  while (left > 0)
    {
      g_string_truncate (text, 0);
      if (!read_more (fd, text, left))
        return FALSE;
      left -= text->len;
    }
  return TRUE;
}

static void
discard (int fd)
{
  char buffer[READ_CHUNK];

  while (recv (fd, buffer, sizeof buffer, 0) > 0)
    continue;
}

static void
write_answer (int fd, const AnswerScript *script, const char *head)
{
  g_autofree char *attempt =
      script->attempt_name ? header (head, script->attempt_name) : NULL;
  g_auto (GStrv) parts = NULL;
  g_autofree char *text = NULL;

  if (script->answer_len > 0)
    {
      write_all (fd, script->answer, script->answer_len);
      return;
    }
  parts = g_strsplit (script->answer, ANSWER_ATTEMPT, -1);
  text = g_strjoinv (attempt ? attempt : "", parts);
  write_all (fd, text, strlen (text));
}

static void
set_reset (int fd)
{
  struct linger at_once = { .l_onoff = 1 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

/* Returns whether the connection goes on. */
static gboolean
end_answer (int fd, const AnswerScript *script)
{
  if (script->end == ANSWER_STAYS)
    return TRUE;
  if (script->pause_us > 0)
    g_usleep ((gulong)script->pause_us);
  switch (script->end)
    {
    case ANSWER_SHUTS:
      shutdown (fd, SHUT_WR);
      discard (fd);
      break;
    case ANSWER_SHUTS_RESETS:
      shutdown (fd, SHUT_WR);
      g_usleep (SHUT_US);
      set_reset (fd);
      break;
    case ANSWER_RESETS:
      set_reset (fd);
      break;
    default:
      break;
    }
  return FALSE;
}

static void
serve (AnswerServer *server, int fd)
{
  const AnswerScript *script = server->script;
  char *head;

  while ((head = read_head (fd)))
    {
      g_autofree char *owned = head;

      if (strstr (head, " /_health"))
        {
          write_all (fd, HEALTH_ANSWER, strlen (HEALTH_ANSWER));
          continue;
        }
      if (script->moment == ANSWER_AFTER_REQUEST && !read_body (fd, head))
        return;
      write_answer (fd, script, head);
      g_atomic_int_inc (&server->answered);
      if (!end_answer (fd, script))
        return;
      if (script->moment == ANSWER_EARLY)
        {
          discard (fd);
          return;
        }
    }
}

static void
note_open (AnswerServer *server, int fd)
{
  g_mutex_lock (&server->lock);
  g_array_append_val (server->open, fd);
  g_mutex_unlock (&server->lock);
}

/* Closes under the lock, so that a socket which is shut down at the end is this one. */
static void
close_open (AnswerServer *server, int fd)
{
  g_mutex_lock (&server->lock);
  for (guint i = 0; i < server->open->len; i++)
    if (g_array_index (server->open, int, i) == fd)
      {
        g_array_remove_index_fast (server->open, i);
        break;
      }
  close (fd);
  g_mutex_unlock (&server->lock);
}

static gpointer
run_connection (gpointer data)
{
  g_autofree Connection *connection = data;

  serve (connection->server, connection->fd);
  close_open (connection->server, connection->fd);
  return NULL;
}

static gpointer
run (gpointer data)
{
  AnswerServer *server = data;
  int fd;

  while ((fd = accept (server->listener, NULL, NULL)) >= 0)
    {
      Connection *connection = g_new0 (Connection, 1);

      connection->server = server;
      connection->fd = fd;
      note_open (server, fd);
      g_ptr_array_add (server->connections,
                       g_thread_new ("connection", run_connection, connection));
    }
  return NULL;
}

AnswerServer *
answer_server_create (const char *address, const AnswerScript *script)
{
  AnswerServer *server;
  struct sockaddr_in at = { 0 };
  socklen_t len = sizeof at;
  int size = RECEIVE_BUFFER;
  int listener = socket_listen (address, NULL);

  if (listener < 0)
    return NULL;
  server = g_new0 (AnswerServer, 1);
  server->listener = listener;
  server->script = script;
  fcntl (listener, F_SETFL, 0);
  setsockopt (listener, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  getsockname (listener, (struct sockaddr *)&at, &len);
  server->address = g_strdup_printf ("127.0.0.1:%u", ntohs (at.sin_port));
  server->connections = g_ptr_array_new ();
  server->open = g_array_new (FALSE, FALSE, sizeof (int));
  g_mutex_init (&server->lock);
  server->thread = g_thread_new ("server", run, server);
  return server;
}

void
answer_server_destroy (AnswerServer *server)
{
  shutdown (server->listener, SHUT_RDWR);
  g_thread_join (server->thread);
  g_mutex_lock (&server->lock);
  for (guint i = 0; i < server->open->len; i++)
    shutdown (g_array_index (server->open, int, i), SHUT_RDWR);
  g_mutex_unlock (&server->lock);
  for (guint i = 0; i < server->connections->len; i++)
    g_thread_join (g_ptr_array_index (server->connections, i));
  close (server->listener);
  g_ptr_array_free (server->connections, TRUE);
  g_array_unref (server->open);
  g_mutex_clear (&server->lock);
  g_free (server->address);
  g_free (server);
}

const char *
answer_server_address (const AnswerServer *server)
{
  return server->address;
}

guint
answer_server_answered (const AnswerServer *server)
{
  return (guint)g_atomic_int_get (&server->answered);
}
