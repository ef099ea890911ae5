#include "outcomes-private.h"

#include <core/json-write.h>
#include <string.h>

/* Bound of the number of rows, one for each class and span; further rows are left out. */
#define CLASSES_MAX 10000u

static const char *const cause_names[CAUSE_COUNT] = {
  "none",    "target-failed", "hung",         "broken", "node-lost",
  "no-slot", "queue",         "budget",       "sick",   "nobody-left",
  "leaving", "caller-left",   "rate-limited", "other"
};

static const char *const result_names[RESULT_COUNT] = { "served", "late", "refused",
                                                        "failed" };

/* The counts of one class in one span. */
typedef struct
{
  char *class;
  gint64 span;
  guint result_counts[RESULT_COUNT];
  guint causes[CAUSE_COUNT];
  guint call_causes[CAUSE_COUNT]; /* of requests that failed because a call of their
                                     target failed */
  gint64 unserved_us;             /* total time taken by requests that were not served */
  guint own_hall;
  guint other_halls;
  guint retries;
  guint hedges;
  guint budget_denied;
} Row;

static void
row_free (gpointer data)
{
  Row *row = data;

  g_free (row->class);
  g_free (row);
}

/* Returns the id of the request for which a call is made, or NULL if `id` is not a
   call's. The id of a call is "ID.REST". */
static char *
parent_id (const char *id)
{
  const char *stop = strrchr (id, '.');

  return stop ? g_strndup (id, (gsize)(stop - id)) : NULL;
}

/* Returns the causes of failed calls, by the id of the request that made them. */
static GHashTable *
collect_call_causes (const RequestOutcomes *outcomes)
{
  GHashTable *causes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTableIter iter;
  gpointer id;
  gpointer value;

  g_hash_table_iter_init (&iter, outcomes->requests);
  while (g_hash_table_iter_next (&iter, &id, &value))
    {
      const Request *request = value;
      char *parent = request->over && request->final_result >= RESULT_REFUSED
                         ? parent_id (id)
                         : NULL;

      if (parent)
        g_hash_table_replace (causes, parent, GUINT_TO_POINTER (request->cause));
    }
  return causes;
}

static Row *
row_of (const RequestOutcomes *outcomes,
        GHashTable *rows,
        const char *id,
        const Request *request)
{
  const char *class = *request->class ? request->class : "unknown";
  g_autofree char *name = g_strconcat (strchr (id, '.') ? "call " : "", class, NULL);
  gint64 span = outcomes->span_s ? request->began_s / outcomes->span_s : 0;
  g_autofree char *key = g_strdup_printf ("%020" G_GINT64_FORMAT " %s", span, name);
  Row *row = g_hash_table_lookup (rows, key);

  if (row || g_hash_table_size (rows) >= CLASSES_MAX)
    return row;
  row = g_new0 (Row, 1);
  row->class = g_steal_pointer (&name);
  row->span = span * outcomes->span_s;
  g_hash_table_insert (rows, g_steal_pointer (&key), row);
  return row;
}

static void
count (Row *row, const char *id, const Request *request, GHashTable *calls)
{
  gpointer cause;

  row->result_counts[request->final_result]++;
  row->own_hall += request->own_hall;
  row->other_halls += request->other_halls;
  row->retries += request->retries;
  row->hedges += request->hedges;
  row->budget_denied += request->budget_denied;
  if (request->final_result < RESULT_REFUSED)
    return;
  row->unserved_us += request->took_us;
  if (request->by_target && g_hash_table_lookup_extended (calls, id, NULL, &cause))
    row->call_causes[GPOINTER_TO_UINT (cause)]++;
  else
    row->causes[request->cause]++;
}

/* Returns the rows of all requests, by "span class". */
static GHashTable *
tabulate (const RequestOutcomes *outcomes)
{
  GHashTable *rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, row_free);
  g_autoptr (GHashTable) calls = collect_call_causes (outcomes);
  GHashTableIter iter;
  gpointer id;
  gpointer value;

  g_hash_table_iter_init (&iter, outcomes->requests);
  while (g_hash_table_iter_next (&iter, &id, &value))
    {
      const Request *request = value;
      Row *row = request->over ? row_of (outcomes, rows, id, request) : NULL;

      if (row)
        count (row, id, request, calls);
    }
  return rows;
}

static GList *
sorted_keys (GHashTable *table)
{
  return g_list_sort (g_hash_table_get_keys (table), (GCompareFunc)strcmp);
}

static guint
asked (const Row *row)
{
  guint sum = 0;

  for (guint i = 0; i < RESULT_COUNT; i++)
    sum += row->result_counts[i];
  return sum;
}

static guint
unserved (const Row *row)
{
  return row->result_counts[RESULT_REFUSED] + row->result_counts[RESULT_FAILED];
}

/* Returns the mean time that a request took which was not served, in milliseconds. */
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

/* Returns the bytes of each kind: the sums before restarts and the last counts. */
static GHashTable *
sum_bytes (const RequestOutcomes *outcomes, guint hall)
{
  GHashTable *sum = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, outcomes->bytes[hall]);
  while (g_hash_table_iter_next (&iter, &key, &value))
    request_outcomes_add_bytes (sum, key, *(guint64 *)value);
  g_hash_table_iter_init (&iter, outcomes->last[hall]);
  while (g_hash_table_iter_next (&iter, &key, &value))
    request_outcomes_add_bytes (sum, strrchr (key, ' ') + 1, *(guint64 *)value);
  return sum;
}

static void
append_bytes (GString *text,
              const RequestOutcomes *outcomes,
              guint hall,
              const char *name)
{
  g_autoptr (GHashTable) sum = sum_bytes (outcomes, hall);
  g_autoptr (GList) kinds = sorted_keys (sum);

  g_string_append_printf (text, "bytes sent to %s:", name);
  for (GList *kind = kinds; kind; kind = kind->next)
    g_string_append_printf (text, " %s=%" G_GUINT64_FORMAT, (char *)kind->data,
                            *(guint64 *)g_hash_table_lookup (sum, kind->data));
  g_string_append_c (text, '\n');
}

char *
request_outcomes_text (RequestOutcomes *outcomes)
{
  g_autoptr (GHashTable) rows = tabulate (outcomes);
  g_autoptr (GList) keys = sorted_keys (rows);
  GString *text = g_string_new (NULL);

  g_string_append_printf (
      text, "%-12s %-22s %6s %6s %6s %7s %6s %7s %6s %6s %6s %6s %6s  %s\n", "from",
      "class", "asked", "served", "late", "refused", "failed", "held-ms", "own", "other",
      "again", "hedged", "denied", "causes");
  for (GList *key = keys; key; key = key->next)
    {
      const Row *row = g_hash_table_lookup (rows, key->data);

      g_string_append_printf (
          text,
          "%-12" G_GINT64_FORMAT " %-22s %6u %6u %6u %7u %6u %7" G_GINT64_FORMAT
          " %6u %6u %6u %6u %6u ",
          row->span, row->class, asked (row), row->result_counts[RESULT_SERVED],
          row->result_counts[RESULT_LATE], row->result_counts[RESULT_REFUSED],
          row->result_counts[RESULT_FAILED], held_ms (row), row->own_hall,
          row->other_halls, row->retries, row->hedges, row->budget_denied);
      append_causes (text, "", row->causes);
      append_causes (text, "call:", row->call_causes);
      g_string_append_c (text, '\n');
    }
  append_bytes (text, outcomes, 0, "the own hall");
  append_bytes (text, outcomes, 1, "other halls");
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
  for (guint i = 0; i < RESULT_COUNT; i++)
    json_write_int (builder, result_names[i], row->result_counts[i]);
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
             const RequestOutcomes *outcomes,
             guint hall,
             const char *name)
{
  g_autoptr (GHashTable) sum = sum_bytes (outcomes, hall);
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
request_outcomes_json (RequestOutcomes *outcomes)
{
  g_autoptr (GHashTable) rows = tabulate (outcomes);
  g_autoptr (GList) keys = sorted_keys (rows);
  g_autoptr (JsonBuilder) builder = json_builder_new ();

  json_builder_begin_object (builder);
  json_write_int (builder, "requests", request_outcomes_requests (outcomes));
  json_write_int (builder, "bad_lines", outcomes->bad);
  json_write_int (builder, "omitted_lines", (gint64)outcomes->omitted);
  json_builder_set_member_name (builder, "classes");
  json_builder_begin_array (builder);
  for (GList *key = keys; key; key = key->next)
    write_row (builder, g_hash_table_lookup (rows, key->data));
  json_builder_end_array (builder);
  write_bytes (builder, outcomes, 0, "bytes_own_hall");
  write_bytes (builder, outcomes, 1, "bytes_other_halls");
  json_builder_end_object (builder);
  return json_builder_get_root (builder);
}
