#include "account.h"

#include <core/http-status.h>
#include <core/json-write.h>
#include <string.h>

#include "log-line.h"

/* Classes times spans; what is beyond is left out. */
#define CLASSES_MAX 10000u

/* Why a request was not served, at the root. */
typedef enum
{
  CAUSE_NONE,
  CAUSE_TARGET_FAILED, /* its own target answered that it failed */
  CAUSE_HUNG,          /* a target did not answer in time */
  CAUSE_BROKEN,        /* an answer was cut, crossed or too large */
  CAUSE_NODE_LOST,     /* the node before the target did not answer, or was not reached */
  CAUSE_NO_SLOT,       /* every target that was asked was full */
  CAUSE_QUEUE,         /* it waited, and could not be done in the time left */
  CAUSE_BUDGET,        /* another try was not allowed any more */
  CAUSE_SICK,          /* the targets that were left were held sick */
  CAUSE_NOBODY_LEFT,   /* no target at all */
  CAUSE_LEAVING,       /* the node or the target was leaving */
  CAUSE_CALLER_LEFT,
  CAUSE_OTHER,
  CAUSE_COUNT
} Cause;

static const char *const cause_names[CAUSE_COUNT] = {
  "none",   "target-failed", "hung",        "broken",  "node-lost",   "no-slot", "queue",
  "budget", "sick",          "nobody-left", "leaving", "caller-left", "other"
};

/* The reasons that log lines give, and what they come to. */
static const struct
{
  const char *reason;
  Cause cause;
} reasons[] = {
  { "timeout", CAUSE_HUNG },           { "broken", CAUSE_BROKEN },
  { "crossed", CAUSE_BROKEN },         { "too-large", CAUSE_BROKEN },
  { "lost", CAUSE_NODE_LOST },         { "unreachable", CAUSE_NODE_LOST },
  { "incarnation", CAUSE_NODE_LOST },  { "connect", CAUSE_TARGET_FAILED },
  { "target-refused", CAUSE_NO_SLOT }, { "target-failed", CAUSE_TARGET_FAILED },
  { "overload", CAUSE_NO_SLOT },       { "deadline", CAUSE_QUEUE },
  { "budget", CAUSE_BUDGET },          { "sick", CAUSE_SICK },
  { "no-target", CAUSE_NOBODY_LEFT },  { "draining", CAUSE_LEAVING },
  { "cancelled", CAUSE_CALLER_LEFT },  { NULL, CAUSE_OTHER },
};

typedef enum
{
  FATE_SERVED,
  FATE_LATE, /* served after its objective */
  FATE_REFUSED,
  FATE_FAILED,
  FATE_COUNT
} Fate;

static const char *const fate_names[FATE_COUNT] = { "served", "late", "refused",
                                                    "failed" };

typedef struct
{
  char *class;
  gint64 began_s;
  gint64 took_us;
  Fate fate;
  Cause cause;
  gboolean over;      /* its last line was found */
  gboolean by_target; /* the target's own answer says that it failed */
  guint own_hall;     /* attempts */
  guint other_halls;
  guint retries;
  guint hedges;
  guint budget_denied;
} Request;

/* What is counted of a class in one span. */
typedef struct
{
  char *class;
  gint64 span;
  guint fates[FATE_COUNT];
  guint causes[CAUSE_COUNT];
  guint call_causes[CAUSE_COUNT]; /* of those that failed by a call of their target */
  gint64 unserved_us;             /* how long those that were not served were held */
  guint own_hall;
  guint other_halls;
  guint retries;
  guint hedges;
  guint budget_denied;
} Row;

struct RequestAccount
{
  guint span_s;
  GHashTable *requests; /* id → Request */
  GHashTable *rows;     /* "span class" → Row */
  GHashTable *bytes[2]; /* kind → guint64 *, of finished lives: own hall, others */
  GHashTable *last[2];  /* "node kind" → guint64 *, of lives that go on */
  guint64 omitted;
  guint bad;
};

static void
request_free (gpointer data)
{
  Request *request = data;

  g_free (request->class);
  g_free (request);
}

static void
row_free (gpointer data)
{
  Row *row = data;

  g_free (row->class);
  g_free (row);
}

RequestAccount *
request_account_create (guint span_s)
{
  RequestAccount *account = g_new0 (RequestAccount, 1);

  account->span_s = span_s;
  account->requests =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, request_free);
  account->rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, row_free);
  for (guint i = 0; i < 2; i++)
    {
      account->bytes[i] = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      account->last[i] = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
    }
  return account;
}

void
request_account_destroy (RequestAccount *account)
{
  if (!account)
    return;
  for (guint i = 0; i < 2; i++)
    {
      g_hash_table_unref (account->bytes[i]);
      g_hash_table_unref (account->last[i]);
    }
  g_hash_table_unref (account->rows);
  g_hash_table_unref (account->requests);
  g_free (account);
}

static Request *
request_of (RequestAccount *account, const char *id)
{
  Request *request = g_hash_table_lookup (account->requests, id);

  if (request)
    return request;
  request = g_new0 (Request, 1);
  g_hash_table_insert (account->requests, g_strdup (id), request);
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
number_in (const JsonNode *node, const char *name)
{
  return g_ascii_strtoll (log_line_member (node, name), NULL, 10);
}

static gboolean
says_yes (const JsonNode *node, const char *name)
{
  return strcmp (log_line_member (node, name), "yes") == 0;
}

static gint64
seconds_of (const char *time)
{
  g_autoptr (GDateTime) parsed = g_date_time_new_from_iso8601 (time, NULL);

  return parsed ? g_date_time_to_unix (parsed) : 0;
}

static void
take_end (Request *request, const JsonNode *node)
{
  const char *outcome = log_line_member (node, "outcome");
  gint64 status = number_in (node, "status");
  gint64 arrivals = number_in (node, "arrivals");

  request->over = TRUE;
  g_free (request->class);
  request->class = g_strdup (log_line_member (node, "class"));
  request->took_us = number_in (node, "took_us");
  request->began_s =
      seconds_of (log_line_member (node, "time")) - request->took_us / G_USEC_PER_SEC;
  request->retries = (guint)MAX (arrivals - 1, 0);
  request->by_target = status >= HTTP_SERVER_ERROR;
  if (strcmp (outcome, "done") == 0 && !request->by_target)
    {
      request->fate = says_yes (node, "late") ? FATE_LATE : FATE_SERVED;
      return;
    }
  request->fate = strcmp (outcome, "not-run") == 0 ? FATE_REFUSED : FATE_FAILED;
  request->cause = request->by_target
                       ? CAUSE_TARGET_FAILED
                       : cause_of_reason (log_line_member (node, "reason"));
}

static void
take_request_line (RequestAccount *account, const JsonNode *node, const char *event)
{
  const char *id = log_line_member (node, "id");

  if (!*id)
    return;
  if (strcmp (event, "attempt") == 0)
    {
      Request *request = request_of (account, id);

      if (says_yes (node, "own_hall"))
        request->own_hall++;
      else
        request->other_halls++;
    }
  else if (strcmp (event, "hedge") == 0)
    request_of (account, id)->hedges++;
  else if (strcmp (event, "attempt-end") == 0 &&
           strcmp (log_line_member (node, "reason"), "budget") == 0)
    request_of (account, id)->budget_denied++;
  else if (strcmp (event, "request") == 0 || strcmp (event, "request-failed") == 0)
    take_end (request_of (account, id), node);
}

static void
add_bytes (GHashTable *table, const char *kind, guint64 bytes)
{
  guint64 *sum = g_hash_table_lookup (table, kind);

  if (!sum)
    {
      sum = g_new0 (guint64, 1);
      g_hash_table_insert (table, g_strdup (kind), sum);
    }
  *sum += bytes;
}

/* "kind=bytes kind=bytes ...": counts rise while a node lives, and start anew with it. */
static void
take_bytes (RequestAccount *account, guint hall, const char *name, const char *text)
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
      last = g_hash_table_lookup (account->last[hall], key);
      if (last && now < *last)
        add_bytes (account->bytes[hall], pair[0], *last);
      last = g_new (guint64, 1);
      *last = now;
      g_hash_table_replace (account->last[hall], g_steal_pointer (&key), last);
    }
}

void
request_account_add (RequestAccount *account, const char *line, gssize len)
{
  g_autoptr (JsonNode) node = NULL;
  const char *event;

  switch (log_line_parse (line, len, &node))
    {
    case LOG_LINE_OTHER:
      return;
    case LOG_LINE_BAD:
      account->bad++;
      return;
    default:
      break;
    }
  event = log_line_member (node, "event");
  if (strcmp (event, "log-omitted") == 0)
    account->omitted += (guint64)number_in (node, "count");
  else if (strcmp (event, "bytes-sent") == 0)
    {
      take_bytes (account, 0, log_line_member (node, "node"),
                  log_line_member (node, "own_hall"));
      take_bytes (account, 1, log_line_member (node, "node"),
                  log_line_member (node, "other_halls"));
    }
  else
    take_request_line (account, node, event);
}

guint
request_account_bad_lines (const RequestAccount *account)
{
  return account->bad;
}

guint64
request_account_omitted_lines (const RequestAccount *account)
{
  return account->omitted;
}

guint
request_account_requests (const RequestAccount *account)
{
  GHashTableIter iter;
  gpointer value;
  guint over = 0;

  g_hash_table_iter_init (&iter, account->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    over += ((Request *)value)->over;
  return over;
}

/* Calls are named after the request they are made for: "ID.REST". NULL for no call. */
static char *
parent_of (const char *id)
{
  const char *stop = strrchr (id, '.');

  return stop ? g_strndup (id, (gsize)(stop - id)) : NULL;
}

/* The cause of a call that failed, by the id of the request that it was made for. */
static GHashTable *
causes_of_calls (const RequestAccount *account)
{
  GHashTable *causes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTableIter iter;
  gpointer id;
  gpointer value;

  g_hash_table_iter_init (&iter, account->requests);
  while (g_hash_table_iter_next (&iter, &id, &value))
    {
      const Request *request = value;
      char *parent =
          request->over && request->fate >= FATE_REFUSED ? parent_of (id) : NULL;

      if (parent)
        g_hash_table_replace (causes, parent, GUINT_TO_POINTER (request->cause));
    }
  return causes;
}

static Row *
row_of (RequestAccount *account, const char *id, const Request *request)
{
  const char *class = *request->class ? request->class : "unknown";
  g_autofree char *name = g_strconcat (strchr (id, '.') ? "call " : "", class, NULL);
  gint64 span = account->span_s ? request->began_s / account->span_s : 0;
  g_autofree char *key = g_strdup_printf ("%020" G_GINT64_FORMAT " %s", span, name);
  Row *row = g_hash_table_lookup (account->rows, key);

  if (row || g_hash_table_size (account->rows) >= CLASSES_MAX)
    return row;
  row = g_new0 (Row, 1);
  row->class = g_steal_pointer (&name);
  row->span = span * account->span_s;
  g_hash_table_insert (account->rows, g_steal_pointer (&key), row);
  return row;
}

static void
count (Row *row, const char *id, const Request *request, GHashTable *calls)
{
  gpointer cause;

  row->fates[request->fate]++;
  row->own_hall += request->own_hall;
  row->other_halls += request->other_halls;
  row->retries += request->retries;
  row->hedges += request->hedges;
  row->budget_denied += request->budget_denied;
  if (request->fate < FATE_REFUSED)
    return;
  row->unserved_us += request->took_us;
  if (request->by_target && g_hash_table_lookup_extended (calls, id, NULL, &cause))
    row->call_causes[GPOINTER_TO_UINT (cause)]++;
  else
    row->causes[request->cause]++;
}

/* Counts all requests anew; returns the rows' keys in their order, borrowed. */
static GList *
tabulate (RequestAccount *account)
{
  g_autoptr (GHashTable) calls = causes_of_calls (account);
  GHashTableIter iter;
  gpointer id;
  gpointer value;

  g_hash_table_remove_all (account->rows);
  g_hash_table_iter_init (&iter, account->requests);
  while (g_hash_table_iter_next (&iter, &id, &value))
    {
      const Request *request = value;
      Row *row = request->over ? row_of (account, id, request) : NULL;

      if (row)
        count (row, id, request, calls);
    }
  return g_list_sort (g_hash_table_get_keys (account->rows), (GCompareFunc)strcmp);
}

static guint
asked (const Row *row)
{
  guint sum = 0;

  for (guint i = 0; i < FATE_COUNT; i++)
    sum += row->fates[i];
  return sum;
}

static guint
unserved (const Row *row)
{
  return row->fates[FATE_REFUSED] + row->fates[FATE_FAILED];
}

/* The mean time that a request was held which was not served, in milliseconds. */
static gint64
held_ms (const Row *row)
{
  return unserved (row) ? row->unserved_us / unserved (row) / 1000 : 0;
}

static void
append_causes (GString *text, const char *prefix, const guint *causes)
{
  for (guint i = 1; i < CAUSE_COUNT; i++)
    if (causes[i])
      g_string_append_printf (text, " %s%s=%u", prefix, cause_names[i], causes[i]);
}

/* All bytes of a kind: of lives that are over and of those that go on. */
static GHashTable *
sum_bytes (const RequestAccount *account, guint hall)
{
  GHashTable *sum = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, account->bytes[hall]);
  while (g_hash_table_iter_next (&iter, &key, &value))
    add_bytes (sum, key, *(guint64 *)value);
  g_hash_table_iter_init (&iter, account->last[hall]);
  while (g_hash_table_iter_next (&iter, &key, &value))
    add_bytes (sum, strrchr (key, ' ') + 1, *(guint64 *)value);
  return sum;
}

static void
append_bytes (GString *text, const RequestAccount *account, guint hall, const char *name)
{
  g_autoptr (GHashTable) sum = sum_bytes (account, hall);
  g_autoptr (GList) kinds =
      g_list_sort (g_hash_table_get_keys (sum), (GCompareFunc)strcmp);

  g_string_append_printf (text, "bytes sent to %s:", name);
  for (GList *kind = kinds; kind; kind = kind->next)
    g_string_append_printf (text, " %s=%" G_GUINT64_FORMAT, (char *)kind->data,
                            *(guint64 *)g_hash_table_lookup (sum, kind->data));
  g_string_append_c (text, '\n');
}

char *
request_account_text (RequestAccount *account)
{
  g_autoptr (GList) keys = tabulate (account);
  GString *text = g_string_new (NULL);

  g_string_append_printf (
      text, "%-12s %-22s %6s %6s %6s %7s %6s %7s %6s %6s %6s %6s %6s  %s\n", "from",
      "class", "asked", "served", "late", "refused", "failed", "held-ms", "own", "other",
      "again", "hedged", "denied", "causes");
  for (GList *key = keys; key; key = key->next)
    {
      const Row *row = g_hash_table_lookup (account->rows, key->data);

      g_string_append_printf (
          text,
          "%-12" G_GINT64_FORMAT " %-22s %6u %6u %6u %7u %6u %7" G_GINT64_FORMAT
          " %6u %6u %6u %6u %6u ",
          row->span, row->class, asked (row), row->fates[FATE_SERVED],
          row->fates[FATE_LATE], row->fates[FATE_REFUSED], row->fates[FATE_FAILED],
          held_ms (row), row->own_hall, row->other_halls, row->retries, row->hedges,
          row->budget_denied);
      append_causes (text, "", row->causes);
      append_causes (text, "call:", row->call_causes);
      g_string_append_c (text, '\n');
    }
  append_bytes (text, account, 0, "the own hall");
  append_bytes (text, account, 1, "other halls");
  return g_string_free (text, FALSE);
}

static void
write_causes (JsonBuilder *builder, const char *name, const guint *causes)
{
  json_builder_set_member_name (builder, name);
  json_builder_begin_object (builder);
  for (guint i = 1; i < CAUSE_COUNT; i++)
    if (causes[i])
      json_write_int (builder, cause_names[i], causes[i]);
  json_builder_end_object (builder);
}

static void
write_row (JsonBuilder *builder, const Row *row)
{
  json_builder_begin_object (builder);
  json_write_int (builder, "from_s", row->span);
  json_write_string (builder, "class", row->class);
  for (guint i = 0; i < FATE_COUNT; i++)
    json_write_int (builder, fate_names[i], row->fates[i]);
  write_causes (builder, "causes", row->causes);
  write_causes (builder, "call_causes", row->call_causes);
  json_write_int (builder, "unserved_held_ms", held_ms (row));
  json_write_int (builder, "attempts_own_hall", row->own_hall);
  json_write_int (builder, "attempts_other_halls", row->other_halls);
  json_write_int (builder, "retries", row->retries);
  json_write_int (builder, "hedges", row->hedges);
  json_write_int (builder, "retries_denied", row->budget_denied);
  json_builder_end_object (builder);
}

static void
write_bytes (JsonBuilder *builder,
             const RequestAccount *account,
             guint hall,
             const char *name)
{
  g_autoptr (GHashTable) sum = sum_bytes (account, hall);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  json_builder_set_member_name (builder, name);
  json_builder_begin_object (builder);
  g_hash_table_iter_init (&iter, sum);
  while (g_hash_table_iter_next (&iter, &key, &value))
    json_write_int (builder, key, (gint64) * (guint64 *)value);
  json_builder_end_object (builder);
}

JsonNode *
request_account_json (RequestAccount *account)
{
  g_autoptr (GList) keys = tabulate (account);
  g_autoptr (JsonBuilder) builder = json_builder_new ();

  json_builder_begin_object (builder);
  json_write_int (builder, "requests", request_account_requests (account));
  json_write_int (builder, "bad_lines", account->bad);
  json_write_int (builder, "omitted_lines", (gint64)account->omitted);
  json_builder_set_member_name (builder, "classes");
  json_builder_begin_array (builder);
  for (GList *key = keys; key; key = key->next)
    write_row (builder, g_hash_table_lookup (account->rows, key->data));
  json_builder_end_array (builder);
  write_bytes (builder, account, 0, "bytes_own_hall");
  write_bytes (builder, account, 1, "bytes_other_halls");
  json_builder_end_object (builder);
  return json_builder_get_root (builder);
}
