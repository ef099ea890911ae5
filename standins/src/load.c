/*
 * A load generator: sends requests of several classes, checks that each answer is
 * complete and belongs to its request, and prints outcomes and latencies by class.
 */
#include <argtable2.h>
#include <core/histogram.h>
#include <core/outcome.h>
#include <io/http-client.h>
#include <json-glib/json-glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ANSWER_MAX (16u * 1024 * 1024)
#define CALL_TIMEOUT_US (65 * SECOND_US)
#define DRAIN_US (70 * SECOND_US)

typedef struct
{
  char *name;
  char *method;
  char *path;
  guint weight;
  gsize body_len;
  guint64 asked;
  guint64 outcomes[OUTCOME_COUNT];
  guint64 errors;  /* answers with a 5xx status of the target, which count as done */
  guint64 lost;    /* requests without an answer from the ingress */
  guint64 foreign; /* answers that belong to another request or are incomplete */
  Histogram *latency;
} Class;

typedef struct
{
  Class *class;
  char *id;
  char *digest;
  gsize body_len;
  gint64 began_us;
} Call;

static Loop *loop;
static HttpClient *client;
static GRand *rng;
static GPtrArray *classes;
static const char **urls;
static guint url_count;
static const char *bearer;
static guint64 sequence;
static guint in_flight;
static guint concurrency;
static guint rate;
static gint64 end_us;
static gint64 next_us;
static LoopTimer *pace;
static char *run_name;
static FILE *ids; /* receives each id with its outcome; may be NULL */

static gboolean send_one (void);

static gint64
now (void)
{
  return clock_now (loop_clock (loop));
}

static gboolean
has_run_ended (void)
{
  return now () >= end_us;
}

static void
maybe_quit (void)
{
  if (has_run_ended () && in_flight == 0)
    loop_quit (loop);
}

static gboolean
is_own (const Call *call, const HttpResult *result)
{
  g_autofree char *want =
      g_strdup_printf ("%s %zu %s ", call->id, call->body_len, call->digest);

  return result->body->len > strlen (want) &&
         memcmp (result->body->data, want, strlen (want)) == 0 &&
         result->body->data[result->body->len - 1] == '\n';
}

static void
count (const Call *call, const HttpResult *result)
{
  Class *class = call->class;
  const char *outcome = http_headers_get (result->headers, "Switchmill-Outcome");

  if (ids)
    fprintf (ids, "%s %s\n", call->id,
             result->outcome != HTTP_CALL_OK || !outcome ? "lost" : outcome);
  if (result->outcome != HTTP_CALL_OK)
    {
      class->lost++;
      return;
    }
  histogram_add (class->latency, now () - call->began_us);
  if (g_strcmp0 (outcome, "not-run") == 0)
    class->outcomes[OUTCOME_NOT_RUN]++;
  else if (g_strcmp0 (outcome, "unknown") == 0)
    class->outcomes[OUTCOME_UNKNOWN]++;
  else
    {
      class->outcomes[OUTCOME_DONE]++;
      if (result->status >= 500)
        class->errors++;
      else if (!is_own (call, result))
        class->foreign++;
    }
}

static void
on_done (const HttpResult *result, gpointer data)
{
  Call *call = data;

  count (call, result);
  in_flight--;
  g_free (call->id);
  g_free (call->digest);
  g_free (call);
  if (rate == 0)
    send_one ();
  maybe_quit ();
}

static Class *
pick_class (void)
{
  guint weights = 0;
  gint32 at;

  for (guint i = 0; i < classes->len; i++)
    weights += ((Class *)g_ptr_array_index (classes, i))->weight;
  at = g_rand_int_range (rng, 0, (gint32)weights);
  for (guint i = 0; i < classes->len; i++)
    {
      Class *class = g_ptr_array_index (classes, i);

      at -= (gint32) class->weight;
      if (at < 0)
        return class;
    }
  return g_ptr_array_index (classes, 0);
}

static gboolean
send_one (void)
{
  Class *class = pick_class ();
  Call *call;
  g_autofree char *url = NULL;
  g_autofree guint8 *body = NULL;
  g_autoptr (GArray) headers = NULL;
  HttpCallParams order = { .method = class->method };

  if (has_run_ended ())
    return FALSE;
  call = g_new0 (Call, 1);
  call->class = class;
  call->id = g_strdup_printf ("%s-%" G_GUINT64_FORMAT, run_name, ++sequence);
  call->body_len = class->body_len;
  call->began_us = now ();
  body = g_malloc (class->body_len + 1);
  for (gsize i = 0; i < class->body_len; i += sizeof (guint32))
    {
      guint32 word = g_rand_int (rng);

      memcpy (body + i, &word, MIN (sizeof word, class->body_len - i));
    }
  call->digest = g_compute_checksum_for_data (G_CHECKSUM_SHA256, body, class->body_len);
  url = g_strdup_printf ("http://%s%s", urls[sequence % url_count], class->path);
  headers = http_headers_new ();
  http_headers_add (headers, "X-Request-Id", call->id);
  if (bearer)
    http_headers_add (headers, "Authorization", bearer);
  order.url = url;
  order.headers = headers;
  order.body = body;
  order.body_len = class->body_len;
  order.has_body = strcmp (class->method, "GET") != 0;
  order.timeout_us = CALL_TIMEOUT_US;
  order.answer_max = ANSWER_MAX;
  /* A request with a body uses a fresh connection, because libcurl may send a request
     twice if a reused connection turns out to be dead. */
  order.reuse = !order.has_body;
  class->asked++;
  in_flight++;
  http_client_send (client, &order, on_done, call);
  return TRUE;
}

static void
on_pace (gpointer data)
{
  while (!has_run_ended () && next_us <= now ())
    {
      send_one ();
      next_us += SECOND_US / rate;
    }
  if (has_run_ended ())
    maybe_quit ();
  else
    loop_timer_start (pace, next_us - now ());
}

static void
on_drain_timeout (gpointer data)
{
  loop_quit (loop);
}

static Class *
parse_class (const char *text)
{
  g_auto (GStrv) words = g_strsplit (text, ":", 5);
  Class *class;

  if (g_strv_length (words) != 5)
    return NULL;
  class = g_new0 (Class, 1);
  class->name = g_strdup (words[0]);
  class->method = g_strdup (words[1]);
  class->path = g_strdup (words[2]);
  class->weight = (guint)MAX (1, atoi (words[3]));
  class->body_len = (gsize)atoi (words[4]);
  class->latency = histogram_create ();
  return class;
}

static void
print_table (void)
{
  printf ("%-14s %8s %8s %8s %8s %6s %6s %8s %9s %9s %9s\n", "class", "asked", "done",
          "not-run", "unknown", "errors", "lost", "foreign", "p50 ms", "p90 ms",
          "p99 ms");
  for (guint i = 0; i < classes->len; i++)
    {
      const Class *class = g_ptr_array_index (classes, i);

      printf ("%-14s %8" G_GUINT64_FORMAT " %8" G_GUINT64_FORMAT " %8" G_GUINT64_FORMAT
              " %8" G_GUINT64_FORMAT " %6" G_GUINT64_FORMAT " %6" G_GUINT64_FORMAT
              " %8" G_GUINT64_FORMAT " %9.2f %9.2f %9.2f\n",
              class->name, class->asked, class->outcomes[OUTCOME_DONE],
              class->outcomes[OUTCOME_NOT_RUN], class->outcomes[OUTCOME_UNKNOWN],
              class->errors, class->lost, class->foreign,
              (double)histogram_quantile_us (class->latency, 0.5) / 1e3,
              (double)histogram_quantile_us (class->latency, 0.9) / 1e3,
              (double)histogram_quantile_us (class->latency, 0.99) / 1e3);
    }
}

static void
print_json (void)
{
  printf ("{");
  for (guint i = 0; i < classes->len; i++)
    {
      const Class *class = g_ptr_array_index (classes, i);

      printf ("%s\"%s\":{\"asked\":%" G_GUINT64_FORMAT ",\"done\":%" G_GUINT64_FORMAT
              ",\"not_run\":%" G_GUINT64_FORMAT ",\"unknown\":%" G_GUINT64_FORMAT
              ",\"errors\":%" G_GUINT64_FORMAT ",\"lost\":%" G_GUINT64_FORMAT
              ",\"foreign\":%" G_GUINT64_FORMAT ",\"p50_us\":%" G_GINT64_FORMAT
              ",\"p90_us\":%" G_GINT64_FORMAT ",\"p99_us\":%" G_GINT64_FORMAT "}",
              i ? "," : "", class->name, class->asked, class->outcomes[OUTCOME_DONE],
              class->outcomes[OUTCOME_NOT_RUN], class->outcomes[OUTCOME_UNKNOWN],
              class->errors, class->lost, class->foreign,
              histogram_quantile_us (class->latency, 0.5),
              histogram_quantile_us (class->latency, 0.9),
              histogram_quantile_us (class->latency, 0.99));
    }
  printf ("}\n");
}

/* Returns 1 if any answer was incomplete or another request's, or with `strict` if any
   answer was lost or its outcome is unknown; otherwise 0. */
static int
run (double seconds, gboolean strict)
{
  LoopTimer *give_up;
  guint64 bad = 0;

  loop = loop_create (clock_create_boottime ());
  client = http_client_create (loop);
  pace = loop_timer_create (loop, on_pace, NULL);
  give_up = loop_timer_create (loop, on_drain_timeout, NULL);
  end_us = now () + (gint64)(seconds * SECOND_US);
  next_us = now ();
  loop_timer_start (give_up, (gint64)(seconds * SECOND_US) + DRAIN_US);
  if (rate > 0)
    loop_timer_start (pace, 0);
  else
    for (guint i = 0; i < concurrency; i++)
      send_one ();
  loop_run (loop);
  for (guint i = 0; i < classes->len; i++)
    {
      const Class *class = g_ptr_array_index (classes, i);

      bad += class->foreign;
      if (strict)
        bad += class->lost + class->outcomes[OUTCOME_UNKNOWN];
    }
  return bad > 0;
}

int
main (int argc, char **argv)
{
  struct arg_str *to = arg_strn ("u", "url", "ADDRESS:PORT", 1, 64, "an ingress");
  struct arg_str *what =
      arg_strn ("c", "class", "NAME:METHOD:PATH:WEIGHT:BYTES", 1, 32, "requests to send");
  struct arg_int *parallel =
      arg_int0 ("n", "concurrency", "N", "closed loop: requests at once (default 16)");
  struct arg_int *per_second =
      arg_int0 ("r", "rate", "N", "open loop: requests a second instead");
  struct arg_dbl *span = arg_dbl0 ("t", "seconds", "S", "how long to send (default 5)");
  struct arg_str *account = arg_str0 ("a", "account", "ID:KEY", "a caller's account");
  struct arg_int *seed =
      arg_int0 (NULL, "seed", "N", "for bodies and the mix (default 1)");
  struct arg_file *list =
      arg_file0 (NULL, "ids", "FILE", "write each id with its outcome");
  struct arg_lit *strict =
      arg_lit0 (NULL, "strict", "fail when an answer is lost or its outcome unknown");
  struct arg_lit *json = arg_lit0 (NULL, "json", "print JSON");
  struct arg_end *end = arg_end (8);
  void *table[] = { to,   what, parallel, per_second, span, account,
                    seed, list, strict,   json,       end };
  g_autofree char *authorization = NULL;
  int code;

  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "standin-load");
      arg_print_glossary (stderr, table, "  %-40s %s\n");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  classes = g_ptr_array_new ();
  for (int i = 0; i < what->count; i++)
    {
      Class *class = parse_class (what->sval[i]);

      if (!class)
        {
          fprintf (stderr, "standin-load: invalid class \"%s\"\n", what->sval[i]);
          return 2;
        }
      g_ptr_array_add (classes, class);
    }
  urls = to->sval;
  url_count = (guint)to->count;
  concurrency = parallel->count ? (guint)parallel->ival[0] : 16;
  rate = per_second->count ? (guint)per_second->ival[0] : 0;
  rng = g_rand_new_with_seed (seed->count ? (guint32)seed->ival[0] : 1);
  run_name = g_strdup_printf ("%08x", g_random_int ());
  if (account->count)
    authorization = g_strconcat ("Bearer ", account->sval[0], NULL);
  bearer = authorization;
  ids = list->count ? fopen (list->filename[0], "w") : NULL;
  code = run (span->count ? span->dval[0] : 5.0, strict->count > 0);
  if (ids)
    fclose (ids);
  if (json->count)
    print_json ();
  else
    print_table ();
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}
