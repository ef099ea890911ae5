#include "target-calls.h"

#include <string.h>
#include <unistd.h>

#include <core/http-status.h>
#include <core/json-write.h>

#include "log.h"

/* A connection that the target has forgotten is reset within a round trip on the VM. The
   target may forget it until the request follows, so the wait is short. */
#define PROBE_US (2 * MS_US)
/* Interval between two log lines about one target, and the new connections in it that
   make one worthwhile. */
#define LOG_US (30 * SECOND_US)
#define LOG_OPENED_MIN 30u
#define KEEP_ALIVE_MAX_S 3600u

struct TargetCalls
{
  Node *node;
  const char *target;
  char *address;
  gboolean keep;
  gboolean leaving;
  ConnectionPool *pool;
  GHashTable *running; /* set of TargetCall */
  gint64 logged_us;
  guint64 logged_opened; /* the totals at that time */
  guint64 logged_reused;
};

struct TargetCall
{
  TargetCalls *calls;
  HttpLink *link;    /* NULL if none could be made */
  LoopTimer *failed; /* ends such a call; NULL otherwise */
  gboolean kept;     /* the link had carried an earlier call */
  ConnectionRest rest;
  HttpLinkRequest request;
  ConnectionUse use;
  HttpDoneFunc done;
  gpointer data;
};

TargetCalls *
target_calls_create (Node *node, const char *target)
{
  TargetCalls *calls = g_new0 (TargetCalls, 1);

  calls->node = node;
  calls->target = target;
  calls->pool = connection_pool_create (node->clock);
  calls->running = g_hash_table_new (NULL, NULL);
  calls->logged_us = clock_now (node->clock);
  return calls;
}

static void
call_free (TargetCall *call)
{
  g_array_unref ((GArray *)call->request.headers);
  g_hash_table_remove (call->calls->running, call);
  loop_timer_destroy (call->failed);
  g_free (call);
}

static void
count_closed (const TargetCalls *calls, ConnectionCloseReason reason)
{
  metrics_add (calls->node->metrics, METRIC_CONNECTIONS_CLOSED + reason, 1);
}

static void
close_resting (TargetCalls *calls)
{
  HttpLink *link;

  while ((link = connection_pool_clear (calls->pool)))
    {
      count_closed (calls, CONNECTION_TARGET_GONE);
      http_link_destroy (link);
    }
}

void
target_calls_destroy (TargetCalls *calls)
{
  GHashTableIter iter;
  gpointer key;

  if (!calls)
    return;
  for (;;)
    {
      g_hash_table_iter_init (&iter, calls->running);
      if (!g_hash_table_iter_next (&iter, &key, NULL))
        break;
      target_call_cancel (key);
    }
  close_resting (calls);
  g_hash_table_unref (calls->running);
  connection_pool_destroy (calls->pool);
  g_free (calls->address);
  g_free (calls);
}

void
target_calls_update (TargetCalls *calls, const char *address, gboolean keep, guint limit)
{
  if (!keep || g_strcmp0 (address, calls->address) != 0)
    close_resting (calls);
  g_free (calls->address);
  calls->address = g_strdup (address);
  calls->keep = keep;
  connection_pool_set_limit (calls->pool, limit);
}

/* Returns how long the target keeps the connection, by the header Keep-Alive; 0 if it
   does not say. */
static gint64
keep_alive_us (const GArray *headers)
{
  const char *value = http_headers_get (headers, "Keep-Alive");
  const char *timeout = value ? strstr (value, "timeout=") : NULL;
  guint64 seconds;

  if (!timeout)
    return 0;
  seconds = g_ascii_strtoull (timeout + strlen ("timeout="), NULL, 10);
  return (gint64)MIN (seconds, KEEP_ALIVE_MAX_S) * SECOND_US;
}

static void
on_lost (HttpLink *link, HttpLinkState state, gpointer data)
{
  TargetCalls *calls = data;
  ConnectionCloseReason reason =
      state == HTTP_LINK_SURPLUS ? CONNECTION_SURPLUS : CONNECTION_CLOSED_BY_TARGET;

  if (state == HTTP_LINK_SURPLUS)
    connection_pool_note_surplus (calls->pool);
  connection_pool_remove (calls->pool, link, reason);
  count_closed (calls, reason);
  http_link_destroy (link);
}

/* Takes a link at rest whose state is still good, or returns NULL. */
static HttpLink *
take_kept (TargetCall *call)
{
  TargetCalls *calls = call->calls;
  HttpLink *link;

  while ((link = connection_pool_take (calls->pool, call->use, &call->rest)))
    {
      HttpLinkState state = http_link_wake (link);

      if (state == HTTP_LINK_QUIET)
        return link;
      if (state == HTTP_LINK_SURPLUS)
        connection_pool_note_surplus (calls->pool);
      connection_pool_note_closed (calls->pool, state == HTTP_LINK_SURPLUS
                                                    ? CONNECTION_SURPLUS
                                                    : CONNECTION_CLOSED_BY_TARGET);
      count_closed (calls, state == HTTP_LINK_SURPLUS ? CONNECTION_SURPLUS
                                                      : CONNECTION_CLOSED_BY_TARGET);
      http_link_destroy (link);
    }
  return NULL;
}

static void
close_link (TargetCall *call, ConnectionCloseReason reason)
{
  count_closed (call->calls, reason);
  http_link_destroy (call->link);
  call->link = NULL;
}

/* Whether the target had forgotten the connection before anything of the request was
   sent. */
static gboolean
is_unsent_by_probe (const TargetCall *call, const HttpResult *result)
{
  return call->rest.probe && result->outcome == HTTP_CALL_UNSENT;
}

/* Puts the link of an ended call to rest, or closes it. */
static void
settle_link (TargetCall *call, const HttpResult *result)
{
  TargetCalls *calls = call->calls;
  ConnectionPool *pool = calls->pool;
  gboolean foreign =
      result->outcome == HTTP_CALL_OK && call->request.is_foreign &&
      call->request.is_foreign (result->status, result->headers, call->data);

  if (foreign || http_link_had_surplus (call->link))
    connection_pool_note_surplus (pool);
  if (result->status == HTTP_MISDIRECTED)
    close_resting (calls);
  if ((result->outcome == HTTP_CALL_BROKEN && !http_link_has_heard (call->link)) ||
      is_unsent_by_probe (call, result))
    {
      connection_pool_note_died (pool, call->rest.rested_us);
      close_link (call, CONNECTION_DIED);
    }
  else if (!http_link_is_reusable (call->link) || foreign || !calls->keep ||
           calls->leaving || result->status == HTTP_MISDIRECTED)
    {
      connection_pool_note_closed (pool, CONNECTION_UNFIT);
      close_link (call, CONNECTION_UNFIT);
    }
  else
    {
      connection_pool_rest (pool, call->link, http_link_quiet_us (call->link),
                            keep_alive_us (result->headers));
      http_link_rest (call->link, on_lost, calls);
    }
}

static gboolean
is_foreign (guint status, const GArray *headers, gpointer data)
{
  const TargetCall *call = data;

  return call->request.is_foreign (status, headers, call->data);
}

static gboolean send_on_link (TargetCall *call);

static void
on_link_done (const HttpResult *result, gpointer data)
{
  TargetCall *call = data;
  HttpDoneFunc done = call->done;
  gpointer user = call->data;
  HttpResult judged = *result;

  judged.rested_us = call->rest.rested_us;
  settle_link (call, result);
  if (is_unsent_by_probe (call, result) && send_on_link (call))
    return;
  call_free (call);
  done (&judged, user);
}

static gboolean
send_on_link (TargetCall *call)
{
  TargetCalls *calls = call->calls;
  HttpLinkRequest order = call->request;

  call->link = take_kept (call);
  call->kept = call->link != NULL;
  if (!call->link)
    call->link = http_link_create (calls->node->loop, calls->address);
  if (!call->link)
    {
      connection_pool_note_closed (calls->pool, CONNECTION_UNFIT);
      return FALSE;
    }
  metrics_add (calls->node->metrics,
               call->kept ? METRIC_CONNECTIONS_REUSED : METRIC_CONNECTIONS_OPENED, 1);
  order.is_foreign = order.is_foreign ? is_foreign : NULL;
  order.probe_us = call->rest.probe ? PROBE_US : 0;
  http_link_send (call->link, &order, on_link_done, call);
  return TRUE;
}

/* Ends a call for which no socket could be had. */
static void
on_failed (gpointer data)
{
  TargetCall *call = data;
  HttpDoneFunc done = call->done;
  gpointer user = call->data;
  g_autoptr (GArray) headers = http_headers_new ();
  g_autoptr (GByteArray) body = g_byte_array_new ();
  const HttpResult result = { .outcome = HTTP_CALL_UNSENT,
                              .headers = headers,
                              .body = body,
                              .detail = "cannot connect" };

  call_free (call);
  done (&result, user);
}

TargetCall *
target_calls_send (TargetCalls *calls,
                   const HttpLinkRequest *request,
                   ConnectionUse use,
                   HttpDoneFunc done,
                   gpointer data)
{
  TargetCall *call = g_new0 (TargetCall, 1);

  call->calls = calls;
  call->request = *request;
  call->request.headers = g_array_ref ((GArray *)request->headers);
  call->use = use;
  call->done = done;
  call->data = data;
  g_hash_table_add (calls->running, call);
  if (!send_on_link (call))
    {
      call->failed = loop_timer_create (calls->node->loop, on_failed, call);
      loop_timer_start (call->failed, 0);
    }
  return call;
}

void
target_call_cancel (TargetCall *call)
{
  if (call->link)
    {
      connection_pool_note_closed (call->calls->pool, CONNECTION_UNFIT);
      close_link (call, CONNECTION_UNFIT);
    }
  call_free (call);
}

void
target_calls_adopt (TargetCalls *calls, int fd)
{
  HttpLink *link;

  if (!calls->keep || calls->leaving)
    {
      close (fd);
      return;
    }
  link = http_link_adopt (calls->node->loop, calls->address, fd);
  connection_pool_adopt (calls->pool, link);
  http_link_rest (link, on_lost, calls);
}

/* Returns the totals as one line; the caller frees it. */
static char *
describe (const TargetCalls *calls)
{
  const ConnectionPoolStats *stats = connection_pool_stats (calls->pool);
  GString *text = g_string_new (NULL);

  g_string_append_printf (text,
                          "opened %" G_GUINT64_FORMAT ", reused %" G_GUINT64_FORMAT
                          ", at rest %u, longest rest used %" G_GINT64_FORMAT
                          " ms; closed:",
                          stats->opened, stats->reused,
                          connection_pool_resting (calls->pool), stats->rest_us / MS_US);
  for (guint i = 0; i < CONNECTION_CLOSE_REASONS; i++)
    g_string_append_printf (text, " %s %" G_GUINT64_FORMAT,
                            connection_close_reason_name (i), stats->closed[i]);
  return g_string_free (text, FALSE);
}

/* Logs the totals if most calls of the last interval needed a new connection. */
static void
log_connections (TargetCalls *calls, gint64 now)
{
  const ConnectionPoolStats *stats = connection_pool_stats (calls->pool);
  guint64 opened = stats->opened - calls->logged_opened;
  guint64 reused = stats->reused - calls->logged_reused;
  g_autofree char *detail = NULL;

  if (now - calls->logged_us < LOG_US)
    return;
  calls->logged_us = now;
  calls->logged_opened = stats->opened;
  calls->logged_reused = stats->reused;
  if (opened < LOG_OPENED_MIN || opened < reused)
    return;
  detail = describe (calls);
  log_event (G_LOG_LEVEL_INFO, "target-connections", "TARGET", calls->target, "DETAIL",
             detail, NULL);
}

void
target_calls_tick (TargetCalls *calls, gboolean leaving)
{
  ConnectionCloseReason reason;
  HttpLink *link;

  calls->leaving = leaving;
  if (!calls->keep)
    return;
  if (leaving)
    close_resting (calls);
  while ((link = connection_pool_excess (calls->pool, &reason)))
    {
      count_closed (calls, reason);
      http_link_destroy (link);
    }
  log_connections (calls, clock_now (calls->node->clock));
}

void
target_calls_write_status (const TargetCalls *calls, JsonBuilder *builder)
{
  const ConnectionPoolStats *stats = connection_pool_stats (calls->pool);

  json_builder_set_member_name (builder, "connections");
  json_builder_begin_object (builder);
  json_write_int (builder, "in_use", connection_pool_in_use (calls->pool));
  json_write_int (builder, "at_rest", connection_pool_resting (calls->pool));
  json_write_int (builder, "opened", (gint64)stats->opened);
  json_write_int (builder, "reused", (gint64)stats->reused);
  json_write_int (builder, "longest_rest_ms", stats->rest_us / MS_US);
  for (guint i = 0; i < CONNECTION_CLOSE_REASONS; i++)
    json_write_int (builder, connection_close_reason_name (i), (gint64)stats->closed[i]);
  json_builder_end_object (builder);
}
