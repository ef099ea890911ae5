#include "outcomes-private.h"

#include <core/http-status.h>
#include <string.h>

#include "log-line.h"

/* The causes of the reasons in log lines. */
static const struct
{
  const char *reason;
  Cause cause;
} reasons[] = {
  { "timeout", CAUSE_HUNG },
  { "broken", CAUSE_BROKEN },
  { "crossed", CAUSE_BROKEN },
  { "too-large", CAUSE_BROKEN },
  { "lost", CAUSE_NODE_LOST },
  { "unreachable", CAUSE_NODE_LOST },
  { "incarnation", CAUSE_NODE_LOST },
  { "connect", CAUSE_TARGET_FAILED },
  { "target-refused", CAUSE_NO_SLOT },
  { "target-failed", CAUSE_TARGET_FAILED },
  { "overload", CAUSE_NO_SLOT },
  { "deadline", CAUSE_QUEUE },
  { "budget", CAUSE_BUDGET },
  { "sick", CAUSE_SICK },
  { "unproved", CAUSE_SICK },
  { "no-target", CAUSE_NO_TARGET },
  { "draining", CAUSE_LEAVING },
  { "cancelled", CAUSE_CALLER_LEFT },
  { "rate-limited", CAUSE_RATE_LIMITED },
  { NULL, CAUSE_OTHER },
};

static void
request_free (gpointer data)
{
  Request *request = data;

  g_free (request->class);
  g_free (request);
}

RequestOutcomes *
request_outcomes_create (guint span_s)
{
  RequestOutcomes *outcomes = g_new0 (RequestOutcomes, 1);

  outcomes->span_s = span_s;
  outcomes->requests =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, request_free);
  for (guint i = 0; i < 2; i++)
    {
      outcomes->bytes[i] =
          g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      outcomes->last[i] = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
    }
  return outcomes;
}

void
request_outcomes_destroy (RequestOutcomes *outcomes)
{
  if (!outcomes)
    return;
  for (guint i = 0; i < 2; i++)
    {
      g_hash_table_unref (outcomes->bytes[i]);
      g_hash_table_unref (outcomes->last[i]);
    }
  g_hash_table_unref (outcomes->requests);
  g_free (outcomes);
}

static Request *
request_of (RequestOutcomes *outcomes, const char *id)
{
  Request *request = g_hash_table_lookup (outcomes->requests, id);

  if (request)
    return request;
  request = g_new0 (Request, 1);
  g_hash_table_insert (outcomes->requests, g_strdup (id), request);
  return request;
}

static Cause
cause_of_reason (const char *reason)
{
  guint i = 0;

  while (reasons[i].reason && strcmp (reasons[i].reason, reason) != 0)
    i++;
  return reasons[i].cause;
}

static gint64
int_member (const JsonNode *node, const char *name)
{
  return g_ascii_strtoll (log_line_member (node, name), NULL, 10);
}

static gboolean
is_yes (const JsonNode *node, const char *name)
{
  return strcmp (log_line_member (node, name), "yes") == 0;
}

static gint64
unix_seconds (const char *time)
{
  g_autoptr (GDateTime) parsed = g_date_time_new_from_iso8601 (time, NULL);

  return parsed ? g_date_time_to_unix (parsed) : 0;
}

static void
apply_end (Request *request, const JsonNode *node)
{
  const char *outcome = log_line_member (node, "outcome");
  gint64 status = int_member (node, "status");
  gint64 arrivals = int_member (node, "arrivals");

  request->over = TRUE;
  g_free (request->class);
  request->class = g_strdup (log_line_member (node, "class"));
  request->took_us = int_member (node, "took_us");
  request->began_s =
      unix_seconds (log_line_member (node, "time")) - request->took_us / G_USEC_PER_SEC;
  request->retries = (guint)MAX (arrivals - 1, 0);
  request->by_target = status >= HTTP_SERVER_ERROR;
  if (strcmp (outcome, "done") == 0 && !request->by_target)
    {
      request->final_result = is_yes (node, "late") ? RESULT_LATE : RESULT_SERVED;
      return;
    }
  request->final_result =
      strcmp (outcome, "not-run") == 0 ? RESULT_REFUSED : RESULT_FAILED;
  request->cause = request->by_target
                       ? CAUSE_TARGET_FAILED
                       : cause_of_reason (log_line_member (node, "reason"));
}

static void
apply_request_line (RequestOutcomes *outcomes, const JsonNode *node, const char *event)
{
  const char *id = log_line_member (node, "id");

  if (!*id)
    return;
  if (strcmp (event, "attempt") == 0)
    {
      Request *request = request_of (outcomes, id);

      if (is_yes (node, "own_hall"))
        request->own_hall++;
      else
        request->other_halls++;
    }
  else if (strcmp (event, "hedge") == 0)
    request_of (outcomes, id)->hedges++;
  else if (strcmp (event, "attempt-end") == 0 &&
           strcmp (log_line_member (node, "reason"), "budget") == 0)
    request_of (outcomes, id)->budget_denied++;
  else if (strcmp (event, "request") == 0 || strcmp (event, "request-failed") == 0)
    apply_end (request_of (outcomes, id), node);
}

void
request_outcomes_add_bytes (GHashTable *table, const char *kind, guint64 bytes)
{
  guint64 *sum = g_hash_table_lookup (table, kind);

  if (!sum)
    {
      sum = g_new0 (guint64, 1);
      g_hash_table_insert (table, g_strdup (kind), sum);
    }
  *sum += bytes;
}

/* Handles "kind=bytes kind=bytes ...". The counts of a node rise from its start, so a
   lower count means that the node was restarted. */
static void
apply_sent_bytes (RequestOutcomes *outcomes,
                  guint hall,
                  const char *name,
                  const char *text)
{
  g_auto (GStrv) pairs = g_strsplit (text, " ", -1);

  for (guint i = 0; pairs[i]; i++)
    {
      g_auto (GStrv) pair = g_strsplit (pairs[i], "=", 2);
      g_autofree char *key = NULL;
      guint64 *last;
      guint64 now;

      if (g_strv_length (pair) != 2)
        continue;
      key = g_strconcat (name, " ", pair[0], NULL);
      now = g_ascii_strtoull (pair[1], NULL, 10);
      last = g_hash_table_lookup (outcomes->last[hall], key);
      if (last && now < *last)
        request_outcomes_add_bytes (outcomes->bytes[hall], pair[0], *last);
      last = g_new (guint64, 1);
      *last = now;
      g_hash_table_replace (outcomes->last[hall], g_steal_pointer (&key), last);
    }
}

void
request_outcomes_add (RequestOutcomes *outcomes, const char *line, gssize len)
{
  g_autoptr (JsonNode) node = NULL;
  const char *event;

  switch (log_line_parse (line, len, &node))
    {
    case LOG_LINE_OTHER:
      return;
    case LOG_LINE_BAD:
      outcomes->bad++;
      return;
    default:
      break;
    }
  event = log_line_member (node, "event");
  if (strcmp (event, "log-omitted") == 0)
    outcomes->omitted += (guint64)int_member (node, "count");
  else if (strcmp (event, "bytes-sent") == 0)
    {
      apply_sent_bytes (outcomes, 0, log_line_member (node, "node"),
                        log_line_member (node, "own_hall"));
      apply_sent_bytes (outcomes, 1, log_line_member (node, "node"),
                        log_line_member (node, "other_halls"));
    }
  else
    apply_request_line (outcomes, node, event);
}

guint
request_outcomes_bad_lines (const RequestOutcomes *outcomes)
{
  return outcomes->bad;
}

guint64
request_outcomes_omitted_lines (const RequestOutcomes *outcomes)
{
  return outcomes->omitted;
}

guint
request_outcomes_requests (const RequestOutcomes *outcomes)
{
  GHashTableIter iter;
  gpointer value;
  guint over = 0;

  g_hash_table_iter_init (&iter, outcomes->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    over += ((Request *)value)->over;
  return over;
}
