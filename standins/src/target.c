/*
 * A stand-in for a target, with a number of slots, a service time and injectable faults.
 * It writes HTTP to its sockets itself, so that it can also send malformed answers.
 *
 * Each request to an ordinary path is executed and counted under its X-Request-Id. The
 * answer holds that id, and the length and the SHA-256 digest of the request body.
 * Requests wait in a queue while all slots are busy. A request in the platform's dialect
 * is counted under its id in that dialect, and its answer is signed.
 *
 * Control paths:
 *   /_control?latency_ms=N&error_percent=N&slow_percent=N&slow_ms=N&flap_ms=N&answer=TEXT
 *             &deadly=TEXT&rate=TEXT&leaving=TEXT&body_kb=N
 *     answer=whole: the default.
 *     answer=truncated: closes before the end of the body.
 *     answer=long: sends extra bytes after the answer.
 *     answer=crossed: echoes another attempt's id.
 *     answer=silent: never answers; the slot stays busy.
 *     answer=hangup: executes the request, then closes without an answer.
 *     answer=half: sends less than the announced length and stays open.
 *     answer=refused: sends a 503 that states that the request was not executed.
 *     answer=busy: executes the request and answers with a plain 503.
 *     answer=again: sends each answer a second time as the connection's next request
 *     comes.
 *     deadly: a request whose path contains the text ends the process after its service
 *     time; an empty text disables this.
 *     rate: the answers name this request rate, in one header for each of the values that
 *     "|" separates; leaving: they say that the target leaves. "off" ends either.
 *     forget_ms: connections that rested longer are reset as the next bytes come, which
 *     are not read; an empty line does not end the rest; 0 for never.
 *     body_kb: each answer is longer by this.
 *     flap_ms: faults are on and off in turn, for this long.
 *   /_health: always answers 200.
 *   /_connections: the number of connections accepted so far.
 *   /_runs: totals, and the number of ids executed more than once.
 *   /_runs?id=ID: the number of executions of one id.
 *   /_ids: all ids with their number of executions.
 *   /_seen: caller, time left and expected target of the last request in the dialect.
 *   /_head: the head of the last request, as received.
 *
 * Each execution appends a line "ID EXPECTED MICROSECONDS" to RUNS_FILE when it starts,
 * where EXPECTED is the target that the request was meant for and the time counts from
 * the boot of the machine. A refused request has the line "refused:ID EXPECTED
 * MICROSECONDS". The file outlives the process.
 */
#include <io/loop.h>
#include <io/socket.h>
#include <target-dialect.h>

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "target-conn.h"
#include "target-faults.h"
#include "target-query.h"
#include "target-runs.h"

static Loop *loop;
static GRand *rng;
static guint slots;
static guint busy;
static guint peak;
static GQueue waiting = G_QUEUE_INIT;
static TargetRuns *runs;
static TargetFaults faults = { .latency_us = 2 * MS_US, .slow_percent = 100 };
static guint accepted_total;
static char *name;
static char *seen;    /* answer to /_seen */
static char *head;    /* answer to /_head */
static char *notices; /* header lines about the target itself */

static void start_queued (void);
static void take_request (TargetConn *conn);

static gint64
now (void)
{
  return clock_now (loop_clock (loop));
}

static gboolean
faults_on (void)
{
  return target_faults_on (&faults, now ());
}

static void
release (TargetConn *conn)
{
  if (conn->busy)
    busy--;
  if (conn->queued)
    g_queue_remove (&waiting, conn);
  conn->busy = FALSE;
  conn->queued = FALSE;
}

static void
end (TargetConn *conn)
{
  release (conn);
  target_conn_destroy (conn);
  start_queued ();
}

/* Returns the body of a whole answer. */
static char *
whole_body (const TargetConn *conn)
{
  g_autofree char *body = target_conn_body (conn, name);
  g_autofree char *padding = g_strnfill (1024 * (gsize)faults.body_kb, '.');

  return g_strconcat (body, padding, NULL);
}

static void
send_answer (TargetConn *conn)
{
  gboolean faulty = faults_on ();
  TargetAnswer kind = faulty ? faults.answer : TARGET_WHOLE;
  gboolean error = faulty && (guint)g_rand_int_range (rng, 0, 100) < faults.error_percent;
  g_autofree char *body = whole_body (conn);

  conn->notices = notices;
  if (error)
    {
      target_conn_put_answer (conn, 500, "broken inside\n", conn->attempt, 0);
      target_conn_flush (conn);
      return;
    }
  switch (kind)
    {
    case TARGET_TRUNCATED:
      target_conn_put_answer (conn, 200, body, conn->attempt, 100);
      target_conn_close_after (conn);
      break;
    case TARGET_LONG:
      target_conn_put_answer (conn, 200, body, conn->attempt, 0);
      target_conn_put (conn, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nSTOLEN");
      target_conn_flush (conn);
      break;
    case TARGET_CROSSED:
      target_conn_put_answer (conn, 200, "somebody else's answer\n", "other-1-1", 0);
      target_conn_flush (conn);
      break;
    case TARGET_HANGUP:
      target_conn_close_after (conn);
      break;
    case TARGET_HALF:
      target_conn_put_answer (conn, 200, body, conn->attempt, 100);
      target_conn_flush (conn);
      break;
    case TARGET_SILENT:
      break;
    case TARGET_AGAIN:
      target_conn_put_answer (conn, 200, body, conn->attempt, 0);
      conn->repeat = g_strndup ((const char *)conn->out->data, conn->out->len);
      target_conn_flush (conn);
      break;
    case TARGET_BUSY:
      target_conn_put_answer (conn, 503, "busy\n", conn->attempt, 0);
      target_conn_flush (conn);
      break;
    default:
      target_conn_put_answer (conn, 200, body, conn->attempt, 0);
      target_conn_flush (conn);
      break;
    }
}

static void
on_served (gpointer data)
{
  TargetConn *conn = data;

  if (target_faults_is_deadly (&faults, conn->path))
    exit (EXIT_FAILURE);
  send_answer (conn);
  /* A silent target keeps its slot busy, like a hung worker. */
  if (faults_on () && faults.answer == TARGET_SILENT)
    return;
  release (conn);
  target_conn_drop_request (conn);
  conn->rests_since_us = now ();
  start_queued ();
  if (!conn->closing && conn->in->len > 0)
    take_request (conn);
}

static void
run (TargetConn *conn)
{
  gint64 span = faults.latency_us;

  if (faults_on () && faults.slow_us > 0 &&
      (guint)g_rand_int_range (rng, 0, 100) < faults.slow_percent)
    span = faults.slow_us;
  if (conn->repeat)
    {
      target_conn_put (conn, conn->repeat);
      target_conn_flush (conn);
      g_clear_pointer (&conn->repeat, g_free);
    }
  busy++;
  peak = MAX (peak, busy);
  conn->busy = TRUE;
  target_runs_add (runs, conn->id, conn->expected, now ());
  loop_timer_start (conn->timer, (gint64)(span * g_rand_double_range (rng, 0.8, 1.2)));
}

static void
start_queued (void)
{
  while (busy < slots && waiting.head)
    {
      TargetConn *conn = g_queue_pop_head (&waiting);

      conn->queued = FALSE;
      run (conn);
    }
}

static char *
runs_text (const char *path)
{
  g_autofree char *id = target_query_text (path, "id");

  if (id)
    return g_strdup_printf ("%u\n", target_runs_count (runs, id));
  return target_runs_totals (runs, busy, peak);
}

static void
answer_control (TargetConn *conn)
{
  g_autofree char *text = NULL;

  if (g_str_has_prefix (conn->path, "/_control"))
    {
      target_faults_set (&faults, conn->path);
      g_free (notices);
      notices = target_dialect_notices (faults.rate, faults.leaving);
    }
  if (g_str_has_prefix (conn->path, "/_runs"))
    text = runs_text (conn->path);
  else if (g_str_has_prefix (conn->path, "/_connections"))
    text = g_strdup_printf ("%u\n", accepted_total);
  else if (g_str_has_prefix (conn->path, "/_ids"))
    text = target_runs_ids (runs);
  else if (g_str_has_prefix (conn->path, "/_seen"))
    text = g_strdup (seen ? seen : "\n");
  else if (g_str_has_prefix (conn->path, "/_head"))
    text = g_strdup (head ? head : "\n");
  else
    text = g_strdup ("ok\n");
  conn->notices = NULL;
  target_conn_put_answer (conn, 200, text, NULL, 0);
  target_conn_drop_request (conn);
  target_conn_flush (conn);
}

/* Answers that the request was not executed. */
static void
refuse (TargetConn *conn)
{
  target_conn_put (conn, TARGET_DIALECT_REFUSAL);
  target_conn_put (conn, notices ? notices : "");
  target_conn_put (conn, "\r\n");
  target_conn_flush (conn);
  target_conn_drop_request (conn);
  conn->rests_since_us = now ();
}

static void
take_request (TargetConn *conn)
{
  while (!conn->busy && !conn->queued && target_conn_parse (conn, &seen))
    {
      if (g_str_has_prefix (conn->path, "/_"))
        {
          answer_control (conn);
          continue;
        }
      g_free (head);
      head = g_strndup ((const char *)conn->in->data, conn->body_at);
      if (faults_on () && faults.answer == TARGET_REFUSED)
        {
          target_runs_note_refused (runs, conn->id, conn->expected, now ());
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

/* Whether the target has forgotten the connection, which rested until now. */
static gboolean
is_forgotten (const TargetConn *conn)
{
  return faults_on () && faults.forget_us > 0 && !conn->busy && !conn->queued &&
         conn->rests_since_us > 0 && now () - conn->rests_since_us > faults.forget_us;
}

static void
on_ready (int fd, LoopEvents ready, gpointer data)
{
  TargetConn *conn = data;
  guint old = conn->in->len;

  if (ready & LOOP_WRITE)
    target_conn_flush (conn);
  if (!(ready & LOOP_READ))
    return;
  if (is_forgotten (conn))
    {
      target_conn_reset (conn);
      end (conn);
      return;
    }
  if (!target_conn_read (conn))
    {
      end (conn);
      return;
    }
  if (conn->in->len > old)
    take_request (conn);
}

static void
on_connection (int fd, LoopEvents ready, gpointer data)
{
  int accepted;

  while ((accepted = socket_accept (fd)) >= 0)
    {
      TargetConn *conn = target_conn_create (accepted);

      accepted_total++;
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
  loop = loop_create (clock_create_boottime ());
  rng = g_rand_new_with_seed (argc > 4 ? (guint32)atoi (argv[4]) : 1);
  name = g_strdup (argv[1]);
  slots = (guint)atoi (argv[2]);
  if (argc > 3)
    faults.latency_us = atoi (argv[3]) * MS_US;
  runs = target_runs_create (argc > 5 ? fopen (argv[5], "a") : NULL);
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
