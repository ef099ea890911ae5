/*
 * A stand-in for the platform's object API: conditional writes, watches, a list of VMs
 * that can be stale, outages, delays, and writes whose answers are lost.
 *
 * POST /_control?down=0|1&delay_ms=N&lose=N&vms=TEXT
 *   down: drops open watches and all requests but those for /_control and /_stats.
 *   lose: drops the answers of the next N writes after they took effect.
 *   vms: sets the list of VMs; a test makes it stale by setting it late.
 * GET /_stats returns the numbers of reads, writes, watches and objects.
 */
#include <io/http-server.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define HEADER_MAX 32768
#define BODY_MAX (2 * 1024 * 1024)
#define WAIT_MAX_MS 60000
#define OBJECT_PREFIX "/v1/objects/"

typedef struct
{
  guint64 version;
  GBytes *body;
} Object;

typedef struct
{
  HttpRequest *request;
  char *key;
  char *after;
  LoopTimer *timer;
} Watch;

typedef struct
{
  HttpRequest *request;
  LoopTimer *timer;
} Delayed;

static Loop *loop;
static GHashTable *objects; /* key → Object */
static GPtrArray *watches;  /* of Watch */
static guint64 versions;
static gboolean down;
static guint lose;
static gint64 delay_us;
static char *vms;
static guint64 reads;
static guint64 writes;

static void
object_free (gpointer data)
{
  Object *object = data;

  g_bytes_unref (object->body);
  g_free (object);
}

static char *
version_text (const Object *object)
{
  return object ? g_strdup_printf ("\"%" G_GUINT64_FORMAT "\"", object->version)
                : g_strdup ("");
}

static void
answer_object (HttpRequest *request, const Object *object)
{
  g_autoptr (GArray) headers = http_headers_new ();
  g_autofree char *version = version_text (object);
  gsize len;
  const void *body;

  if (!object)
    {
      http_request_answer_json (request, 404, "{\"error\":\"no such object\"}\n");
      return;
    }
  body = g_bytes_get_data (object->body, &len);
  http_headers_add (headers, "ETag", version);
  http_request_answer (request, 200, headers, body, len);
}

static void
watch_free (Watch *watch)
{
  loop_timer_destroy (watch->timer);
  http_request_unref (watch->request);
  g_free (watch->key);
  g_free (watch->after);
  g_free (watch);
}

static void
on_watch_over (gpointer data)
{
  Watch *watch = data;

  g_ptr_array_remove_fast (watches, watch);
  if (down)
    http_request_drop (watch->request);
  else
    http_request_answer (watch->request, 304, NULL, "", 0);
  watch_free (watch);
}

static void
wake_watches (const char *key, const Object *object)
{
  for (guint i = watches->len; i-- > 0;)
    {
      Watch *watch = g_ptr_array_index (watches, i);

      if (strcmp (watch->key, key) != 0)
        continue;
      g_ptr_array_remove_index_fast (watches, i);
      answer_object (watch->request, object);
      watch_free (watch);
    }
}

static void
drop_watches (void)
{
  while (watches->len > 0)
    {
      Watch *watch = g_ptr_array_steal_index (watches, 0);

      http_request_drop (watch->request);
      watch_free (watch);
    }
}

static void
on_get (HttpRequest *request, const char *key)
{
  Object *object = g_hash_table_lookup (objects, key);
  const char *after = http_request_argument (request, "after");
  const char *wait = http_request_argument (request, "wait_ms");
  g_autofree char *version = version_text (object);
  Watch *watch;

  reads++;
  if (!after || !wait || strcmp (after, version) != 0)
    {
      answer_object (request, object);
      return;
    }
  watch = g_new0 (Watch, 1);
  watch->request = http_request_ref (request);
  watch->key = g_strdup (key);
  watch->after = g_strdup (after);
  watch->timer = loop_timer_create (loop, on_watch_over, watch);
  g_ptr_array_add (watches, watch);
  loop_timer_start (watch->timer,
                    (gint64)MIN (g_ascii_strtoull (wait, NULL, 10), WAIT_MAX_MS) * MS_US);
}

static void
on_put (HttpRequest *request, const char *key)
{
  const GByteArray *body = http_request_body (request);
  const char *match = http_request_header (request, "If-Match");
  const char *none = http_request_header (request, "If-None-Match");
  Object *object = g_hash_table_lookup (objects, key);
  g_autofree char *version = version_text (object);

  writes++;
  if ((none && object) || (match && strcmp (match, version) != 0))
    {
      http_request_answer_json (request, 412, "{\"error\":\"another version\"}\n");
      return;
    }
  object = g_new0 (Object, 1);
  object->version = ++versions;
  object->body = g_bytes_new (body->data, body->len);
  g_hash_table_replace (objects, g_strdup (key), object);
  wake_watches (key, object);
  if (lose > 0)
    {
      lose--;
      http_request_drop (request);
      return;
    }
  answer_object (request, object);
}

static guint64
number_argument (HttpRequest *request, const char *name, guint64 fallback)
{
  const char *text = http_request_argument (request, name);

  return text ? g_ascii_strtoull (text, NULL, 10) : fallback;
}

static void
on_control (HttpRequest *request)
{
  const char *list = http_request_argument (request, "vms");

  down = number_argument (request, "down", down) != 0;
  lose = (guint)number_argument (request, "lose", lose);
  delay_us =
      (gint64)number_argument (request, "delay_ms", (guint64)(delay_us / MS_US)) * MS_US;
  if (list)
    {
      g_free (vms);
      vms = g_strdup (list);
    }
  if (down)
    drop_watches ();
  http_request_answer_json (request, 200, "{}\n");
}

static void
on_stats (HttpRequest *request)
{
  g_autofree char *text =
      g_strdup_printf ("{\"reads\":%" G_GUINT64_FORMAT ",\"writes\":%" G_GUINT64_FORMAT
                       ",\"watches\":%u,\"objects\":%u}\n",
                       reads, writes, watches->len, g_hash_table_size (objects));

  http_request_answer_json (request, 200, text);
}

static void
on_vms (HttpRequest *request)
{
  g_autofree char *version = g_strdup_printf ("\"%u\"", g_str_hash (vms));
  g_autoptr (GArray) headers = http_headers_new ();

  reads++;
  http_headers_add (headers, "ETag", version);
  if (g_strcmp0 (http_request_header (request, "If-None-Match"), version) == 0)
    http_request_answer (request, 304, headers, "", 0);
  else
    http_request_answer (request, 200, headers, vms, strlen (vms));
}

static void
serve (HttpRequest *request)
{
  const char *path = http_request_path (request);
  const char *method = http_request_method (request);

  if (down)
    http_request_drop (request);
  else if (strcmp (path, "/v1/vms") == 0)
    on_vms (request);
  else if (!g_str_has_prefix (path, OBJECT_PREFIX))
    http_request_answer_json (request, 404, "{\"error\":\"nothing here\"}\n");
  else if (strcmp (method, "GET") == 0)
    on_get (request, path + strlen (OBJECT_PREFIX));
  else if (strcmp (method, "PUT") == 0)
    on_put (request, path + strlen (OBJECT_PREFIX));
  else
    http_request_answer_json (request, 405, "{\"error\":\"no such method\"}\n");
}

static void
on_delay_over (gpointer data)
{
  Delayed *delayed = data;

  serve (delayed->request);
  loop_timer_destroy (delayed->timer);
  http_request_unref (delayed->request);
  g_free (delayed);
}

static void
on_request (HttpRequest *request, gpointer data)
{
  const char *path = http_request_path (request);
  Delayed *delayed;

  if (strcmp (path, "/_control") == 0)
    {
      on_control (request);
      return;
    }
  if (strcmp (path, "/_stats") == 0)
    {
      on_stats (request);
      return;
    }
  if (delay_us == 0)
    {
      serve (request);
      return;
    }
  delayed = g_new0 (Delayed, 1);
  delayed->request = http_request_ref (request);
  delayed->timer = loop_timer_create (loop, on_delay_over, delayed);
  loop_timer_start (delayed->timer, delay_us);
}

int
main (int argc, char **argv)
{
  g_autoptr (GError) error = NULL;
  HttpLimits limits = { 4096, HEADER_MAX, BODY_MAX, 30 * SECOND_US, 240 * SECOND_US };

  if (argc != 2)
    {
      fprintf (stderr, "usage: standin-platform ADDRESS:PORT\n");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  loop = loop_create (clock_create_boottime ());
  objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, object_free);
  watches = g_ptr_array_new ();
  vms = g_strdup ("[]");
  if (!http_server_create (loop, argv[1], &limits, on_request, NULL, &error))
    {
      fprintf (stderr, "standin-platform: %s\n", error->message);
      return 1;
    }
  loop_run (loop);
  return 0;
}
