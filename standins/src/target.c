/*
 * A stand-in for a target: slots, a service time, and faults on command. It speaks HTTP
 * over sockets of its own, so that it can also speak it badly.
 *
 * Every request to a plain path runs once, is counted under its X-Request-Id, and is
 * answered with that id, the length and the SHA-256 of the body that came.
 *
 * /_control?latency_ms=N&error_percent=N&slow_percent=N&slow_ms=N&flap_ms=N&answer=TEXT
 *   answer: whole, truncated, long (bytes past the end), crossed (another's attempt),
 *   silent (never), hangup (runs, closes without an answer), half (half, then silence),
 *   refused (503 that says so, and does not run), busy (503 that does not say).
 * A request in the platform's dialect is counted under its id there, and its answer is
 * signed. Caller, time left and expected target of the last one are told by /_seen.
 *   flap_ms: faults are on and off by turns of that length.
 * With RUNS_FILE each run adds a line to it when it begins, "ID EXPECTED MICROSECONDS"
 * (the target that the request was meant for; the monotonic clock), which outlives the
 * process.
 * /_health always answers well. /_runs: totals, and how many ids ran more than once.
 * /_runs?id=ID: how often that one ran. /_ids: all ids, each with how often it ran.
 */
#include <io/loop.h>
#include <io/socket.h>
#include <target-dialect.h>

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_CHUNK 65536
#define REQUEST_MAX (32u * 1024 * 1024)

typedef enum
{
  ANSWER_WHOLE,
  ANSWER_TRUNCATED,
  ANSWER_LONG,
  ANSWER_CROSSED,
  ANSWER_SILENT,
  ANSWER_HANGUP,
  ANSWER_HALF,
  ANSWER_REFUSED,
  ANSWER_BUSY
} AnswerKind;

static const char *const answer_names[] = { "whole",  "truncated", "long", "crossed",
                                            "silent", "hangup",    "half", "refused",
                                            "busy",   NULL };

typedef struct
{
  int fd;
  LoopFd *watch;
  GByteArray *in;
  GByteArray *out;
  LoopTimer *timer;
  gboolean busy;   /* holds a slot */
  gboolean queued; /* waits for one */
  gboolean closing;
  char *path;
  char *id;
  char *attempt;
  char *expected;          /* the target that it is meant for, NULL where none is said */
  gboolean signed_answers; /* the caller speaks the users' dialect */
  gsize body_at;
  gsize body_len;
} Conn;

static Loop *loop;
static GRand *dice;
static guint slots;
static guint busy;
static GQueue waiting = G_QUEUE_INIT;
static GHashTable *runs; /* id → count */
static guint64 total;
static guint peak;
static gint64 latency_us = 2 * MS_US;
static guint error_percent;
static guint slow_percent = 100;
static gint64 slow_us;
static gint64 flap_us;
static AnswerKind answer_kind;
static char *name;
static char *seen; /* what /_seen tells */
static FILE *runs_file;

static void next_waiting (void);
static void take_request (Conn *conn);

static gboolean
faults_on (void)
{
  if (flap_us == 0)
    return TRUE;
  return (clock_now (loop_clock (loop)) / flap_us) % 2 == 0;
}

static void
release (Conn *conn)
{
  if (conn->busy)
    busy--;
  if (conn->queued)
    g_queue_remove (&waiting, conn);
  conn->busy = FALSE;
  conn->queued = FALSE;
}

static void
conn_free (Conn *conn)
{
  release (conn);
  loop_fd_destroy (conn->watch);
  loop_timer_destroy (conn->timer);
  close (conn->fd);
  g_byte_array_unref (conn->in);
  g_byte_array_unref (conn->out);
  g_free (conn->path);
  g_free (conn->id);
  g_free (conn->attempt);
  g_free (conn->expected);
  g_free (conn);
  next_waiting ();
}

static void
flush (Conn *conn)
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

static void
put (Conn *conn, const char *text)
{
  g_byte_array_append (conn->out, (const guint8 *)text, (guint)strlen (text));
}

static void
answer (Conn *conn, guint status, const char *body, const char *attempt, gsize extra)
{
  const char *echo = conn->signed_answers ? TARGET_DIALECT_ECHO : "Switchmill-Attempt: ";
  g_autofree char *head = g_strdup_printf (
      "HTTP/1.1 %u %s\r\nContent-Type: text/plain\r\nContent-Length: %zu\r\n%s%s%s\r\n",
      status, status < 400 ? "OK" : "Error", strlen (body) + extra, attempt ? echo : "",
      attempt ? attempt : "", attempt ? "\r\n" : "");

  put (conn, head);
  put (conn, body);
}

static char *
make_body (const Conn *conn)
{
  g_autofree char *digest = g_compute_checksum_for_data (
      G_CHECKSUM_SHA256, conn->in->data + conn->body_at, conn->body_len);

  return g_strdup_printf ("%s %zu %s %s\n", conn->id ? conn->id : "-", conn->body_len,
                          digest, name);
}

static void
close_after (Conn *conn)
{
  flush (conn);
  conn->closing = TRUE;
  shutdown (conn->fd, SHUT_RDWR);
}

static void
send_answer (Conn *conn)
{
  gboolean faulty = faults_on ();
  AnswerKind kind = faulty ? answer_kind : ANSWER_WHOLE;
  gboolean error = faulty && (guint)g_rand_int_range (dice, 0, 100) < error_percent;
  g_autofree char *body = make_body (conn);

  if (error)
    {
      answer (conn, 500, "broken inside\n", conn->attempt, 0);
      flush (conn);
      return;
    }
  switch (kind)
    {
    case ANSWER_TRUNCATED:
      answer (conn, 200, body, conn->attempt, 100);
      close_after (conn);
      break;
    case ANSWER_LONG:
      answer (conn, 200, body, conn->attempt, 0);
      put (conn, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nSTOLEN");
      flush (conn);
      break;
    case ANSWER_CROSSED:
      answer (conn, 200, "somebody else's answer\n", "other-1-1", 0);
      flush (conn);
      break;
    case ANSWER_HANGUP:
      close_after (conn);
      break;
    case ANSWER_HALF:
      answer (conn, 200, body, conn->attempt, 100);
      flush (conn);
      break;
    case ANSWER_SILENT:
      break;
    case ANSWER_BUSY:
      answer (conn, 503, "busy\n", conn->attempt, 0);
      flush (conn);
      break;
    default:
      answer (conn, 200, body, conn->attempt, 0);
      flush (conn);
      break;
    }
}

static void
on_served (gpointer data)
{
  Conn *conn = data;

  send_answer (conn);
  /* A silent target keeps its slot busy, as a hung worker would. */
  if (faults_on () && answer_kind == ANSWER_SILENT)
    return;
  release (conn);
  g_byte_array_remove_range (conn->in, 0, (guint)(conn->body_at + conn->body_len));
  g_clear_pointer (&conn->path, g_free);
  next_waiting ();
  if (!conn->closing && conn->in->len > 0)
    take_request (conn);
}

static void
record_run (const Conn *conn)
{
  if (!runs_file)
    return;
  fprintf (runs_file, "%s %s %" G_GINT64_FORMAT "\n", conn->id ? conn->id : "-",
           conn->expected ? conn->expected : "-", clock_now (loop_clock (loop)));
  fflush (runs_file);
}

static void
run (Conn *conn)
{
  gint64 span = latency_us;
  guint count;

  if (faults_on () && slow_us > 0 &&
      (guint)g_rand_int_range (dice, 0, 100) < slow_percent)
    span = slow_us;
  busy++;
  peak = MAX (peak, busy);
  conn->busy = TRUE;
  total++;
  record_run (conn);
  if (conn->id)
    {
      count = GPOINTER_TO_UINT (g_hash_table_lookup (runs, conn->id));
      g_hash_table_insert (runs, g_strdup (conn->id), GUINT_TO_POINTER (count + 1));
    }
  loop_timer_start (conn->timer, (gint64)(span * g_rand_double_range (dice, 0.8, 1.2)));
}

static void
next_waiting (void)
{
  while (busy < slots && waiting.head)
    {
      Conn *conn = g_queue_pop_head (&waiting);

      conn->queued = FALSE;
      run (conn);
    }
}

static char *
argument (const char *path, const char *key)
{
  const char *query = strchr (path, '?');
  g_auto (GStrv) pairs = query ? g_strsplit (query + 1, "&", -1) : NULL;
  g_autofree char *prefix = g_strconcat (key, "=", NULL);

  for (guint i = 0; pairs && pairs[i]; i++)
    if (g_str_has_prefix (pairs[i], prefix))
      return g_strdup (pairs[i] + strlen (prefix));
  return NULL;
}

static gint64
number (const char *path, const char *key, gint64 fallback)
{
  g_autofree char *text = argument (path, key);

  return text ? g_ascii_strtoll (text, NULL, 10) : fallback;
}

static void
control (const char *path)
{
  g_autofree char *kind = argument (path, "answer");

  latency_us = number (path, "latency_ms", latency_us / MS_US) * MS_US;
  error_percent = (guint)number (path, "error_percent", error_percent);
  slow_percent = (guint)number (path, "slow_percent", slow_percent);
  slow_us = number (path, "slow_ms", slow_us / MS_US) * MS_US;
  flap_us = number (path, "flap_ms", flap_us / MS_US) * MS_US;
  for (guint i = 0; kind && answer_names[i]; i++)
    if (strcmp (answer_names[i], kind) == 0)
      answer_kind = i;
}

static char *
runs_text (const char *path)
{
  g_autofree char *id = argument (path, "id");
  GHashTableIter iter;
  gpointer value;
  guint twice = 0;

  if (id)
    return g_strdup_printf ("%u\n", GPOINTER_TO_UINT (g_hash_table_lookup (runs, id)));
  g_hash_table_iter_init (&iter, runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (GPOINTER_TO_UINT (value) > 1)
      twice++;
  return g_strdup_printf ("{\"total\":%" G_GUINT64_FORMAT
                          ",\"ids\":%u,\"twice\":%u,\"peak\":%u,\"busy\":%u}\n",
                          total, g_hash_table_size (runs), twice, peak, busy);
}

static char *
ids_text (void)
{
  GString *text = g_string_new (NULL);
  GHashTableIter iter;
  gpointer id;
  gpointer count;

  g_hash_table_iter_init (&iter, runs);
  while (g_hash_table_iter_next (&iter, &id, &count))
    g_string_append_printf (text, "%s %u\n", (char *)id, GPOINTER_TO_UINT (count));
  return g_string_free (text, FALSE);
}

static void
answer_own (Conn *conn)
{
  g_autofree char *text = NULL;

  if (g_str_has_prefix (conn->path, "/_control"))
    control (conn->path);
  if (g_str_has_prefix (conn->path, "/_runs"))
    text = runs_text (conn->path);
  else if (g_str_has_prefix (conn->path, "/_ids"))
    text = ids_text ();
  else if (g_str_has_prefix (conn->path, "/_seen"))
    text = g_strdup (seen ? seen : "\n");
  else
    text = g_strdup ("ok\n");
  answer (conn, 200, text, NULL, 0);
  g_byte_array_remove_range (conn->in, 0, (guint)(conn->body_at + conn->body_len));
  g_clear_pointer (&conn->path, g_free);
  flush (conn);
}

/* A request in the platform's dialect is counted under its own id, and answered with it.
 */
static void
note_dialect (Conn *conn, char **lines)
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
  g_free (seen);
  seen = line;
}

/* FALSE while the request is not whole. Callers here are libcurl, with lengths. */
static gboolean
parse (Conn *conn)
{
  guint8 *end = memmem (conn->in->data, conn->in->len, "\r\n\r\n", 4);
  g_autofree char *head = NULL;
  g_auto (GStrv) lines = NULL;
  g_auto (GStrv) words = NULL;
  g_autofree char *length = NULL;

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
  note_dialect (conn, lines);
  return TRUE;
}

/* Says that it did not run it, and does not. */
static void
refuse (Conn *conn)
{
  put (conn, TARGET_DIALECT_REFUSAL);
  flush (conn);
  g_byte_array_remove_range (conn->in, 0, (guint)(conn->body_at + conn->body_len));
  g_clear_pointer (&conn->path, g_free);
}

static void
take_request (Conn *conn)
{
  while (!conn->busy && !conn->queued && parse (conn))
    {
      if (g_str_has_prefix (conn->path, "/_"))
        {
          answer_own (conn);
          continue;
        }
      if (faults_on () && answer_kind == ANSWER_REFUSED)
        {
          refuse (conn);
          continue;
        }
      if (busy < slots)
        {
          run (conn);
          return;
        }
      conn->queued = TRUE;
      g_queue_push_tail (&waiting, conn);
    }
}

static void
on_ready (int fd, LoopEvents ready, gpointer data)
{
  Conn *conn = data;
  guint old = conn->in->len;
  gssize n;

  if (ready & LOOP_WRITE)
    flush (conn);
  if (!(ready & LOOP_READ))
    return;
  g_byte_array_set_size (conn->in, old + READ_CHUNK);
  n = recv (fd, conn->in->data + old, READ_CHUNK, 0);
  g_byte_array_set_size (conn->in, old + (guint)MAX (n, 0));
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n <= 0 || conn->in->len > REQUEST_MAX)
    {
      conn_free (conn);
      return;
    }
  take_request (conn);
}

static void
on_connection (int fd, LoopEvents ready, gpointer data)
{
  int accepted;

  while ((accepted = socket_accept (fd)) >= 0)
    {
      Conn *conn = g_new0 (Conn, 1);

      conn->fd = accepted;
      conn->in = g_byte_array_new ();
      conn->out = g_byte_array_new ();
      conn->timer = loop_timer_create (loop, on_served, conn);
      conn->watch = loop_fd_create (loop, accepted, LOOP_READ, on_ready, conn);
    }
}

int
main (int argc, char **argv)
{
  g_autoptr (GError) error = NULL;
  int fd;

  if (argc < 3 || argc > 6)
    {
      fprintf (stderr, "usage: standin-target ADDRESS:PORT SLOTS [LATENCY_MS [SEED "
                       "[RUNS_FILE]]]\n");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  loop = loop_create (clock_create_monotonic ());
  dice = g_rand_new_with_seed (argc > 4 ? (guint32)atoi (argv[4]) : 1);
  runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  name = g_strdup (argv[1]);
  slots = (guint)atoi (argv[2]);
  if (argc > 3)
    latency_us = atoi (argv[3]) * MS_US;
  if (argc > 5)
    runs_file = fopen (argv[5], "a");
  fd = socket_listen (argv[1], &error);
  if (fd < 0)
    {
      fprintf (stderr, "standin-target: %s\n", error->message);
      return 1;
    }
  loop_fd_create (loop, fd, LOOP_READ, on_connection, NULL);
  loop_run (loop);
  return 0;
}
