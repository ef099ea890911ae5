#include "explain.h"

#include <string.h>

#include "log-line.h"

typedef struct
{
  JsonNode *node;
  char *time;
  guint order; /* number of the line, for equal times */
} Entry;

struct Explanation
{
  char *id;
  GPtrArray *entries;   /* of Entry: lines that may be about the request */
  GHashTable *attempts; /* ids of the request's attempts */
  GHashTable *prints;   /* the request's quarantine fingerprints, in hex */
  guint bad;
};

static void
entry_free (gpointer data)
{
  Entry *entry = data;

  json_node_unref (entry->node);
  g_free (entry->time);
  g_free (entry);
}

Explanation *
explanation_create (const char *id)
{
  Explanation *explanation = g_new0 (Explanation, 1);

  explanation->id = g_strdup (id);
  explanation->entries = g_ptr_array_new_with_free_func (entry_free);
  explanation->attempts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  explanation->prints = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return explanation;
}

void
explanation_destroy (Explanation *explanation)
{
  if (!explanation)
    return;
  g_hash_table_unref (explanation->attempts);
  g_hash_table_unref (explanation->prints);
  g_ptr_array_unref (explanation->entries);
  g_free (explanation->id);
  g_free (explanation);
}

/* Returns whether `id` is the wanted id, or the id of a call that the request's target
   made: "ID.REST". */
static gboolean
id_matches (const char *id, const char *wanted)
{
  gsize len = strlen (wanted);

  return g_str_has_prefix (id, wanted) && (id[len] == '\0' || id[len] == '.');
}

static void
keep (Explanation *explanation, JsonNode *node)
{
  Entry *entry = g_new0 (Entry, 1);

  entry->node = node;
  entry->time = g_strdup (log_line_member (node, "time"));
  entry->order = explanation->entries->len;
  g_ptr_array_add (explanation->entries, entry);
}

/* Returns whether a line seems truncated, because it does not end with a brace. Only
   lines that may be about the request are parsed as JSON. */
static gboolean
looks_truncated (const char *text)
{
  gsize len = strlen (text);

  while (len > 0 && g_ascii_isspace (text[len - 1]))
    len--;
  return strchr (text, '{') && (len == 0 || text[len - 1] != '}');
}

/* Returns whether a line may be about the request: it contains the wanted id, or it has
   no request id but an attempt, as in the sidecars' lines, or a fingerprint, as in those
   of the quarantine. */
static gboolean
may_be_about (const Explanation *explanation, const char *text)
{
  if (strstr (text, explanation->id))
    return TRUE;
  return !strstr (text, "\"id\":\"") &&
         (strstr (text, "\"attempt\":\"") || strstr (text, "\"request\":\""));
}

void
explanation_add (Explanation *explanation, const char *line, gssize len)
{
  g_autofree char *text = g_strndup (line, len < 0 ? strlen (line) : (gsize)len);
  JsonNode *node = NULL;

  if (looks_truncated (text))
    {
      explanation->bad++;
      return;
    }
  if (!may_be_about (explanation, text))
    return;
  switch (log_line_parse (text, -1, &node))
    {
    case LOG_LINE_OTHER:
      return;
    case LOG_LINE_BAD:
      explanation->bad++;
      return;
    default:
      break;
    }
  if (id_matches (log_line_member (node, "id"), explanation->id) &&
      *log_line_member (node, "attempt"))
    g_hash_table_add (explanation->attempts,
                      g_strdup (log_line_member (node, "attempt")));
  keep (explanation, node);
}

static gint
compare_entries (gconstpointer a, gconstpointer b)
{
  const Entry *x = *(Entry *const *)a;
  const Entry *y = *(Entry *const *)b;
  int order = strcmp (x->time, y->time);

  return order ? order : (x->order > y->order) - (x->order < y->order);
}

/* The members of a line that hold a fingerprint. */
static const char *const fingerprint_members[] = { "request", "path_alone" };

/* Returns whether a line has the wanted fingerprint or one of the request's. */
static gboolean
has_matching_fingerprint (const Explanation *explanation, const Entry *entry)
{
  for (gsize i = 0; i < G_N_ELEMENTS (fingerprint_members); i++)
    {
      const char *print = log_line_member (entry->node, fingerprint_members[i]);

      if (strcmp (print, explanation->id) == 0 ||
          g_hash_table_contains (explanation->prints, print))
        return TRUE;
    }
  return FALSE;
}

static gboolean
is_own (const Explanation *explanation, const Entry *entry)
{
  const char *attempt = log_line_member (entry->node, "attempt");

  return id_matches (log_line_member (entry->node, "id"), explanation->id) ||
         strcmp (attempt, explanation->id) == 0 ||
         g_hash_table_contains (explanation->attempts, attempt);
}

/* Quarantine lines with the same fingerprint say why the request was refused: crashes
   under other requests. Lines that name another request's id are left out. */
static gboolean
is_relevant (const Explanation *explanation, const Entry *entry)
{
  return is_own (explanation, entry) || (!*log_line_member (entry->node, "id") &&
                                         has_matching_fingerprint (explanation, entry));
}

static void
collect_fingerprints (Explanation *explanation)
{
  for (guint i = 0; i < explanation->entries->len; i++)
    {
      const Entry *entry = g_ptr_array_index (explanation->entries, i);

      for (gsize j = 0;
           is_own (explanation, entry) && j < G_N_ELEMENTS (fingerprint_members); j++)
        {
          const char *print = log_line_member (entry->node, fingerprint_members[j]);

          if (*print)
            g_hash_table_add (explanation->prints, g_strdup (print));
        }
    }
}

/* Returns a line as "TIME NODE event name=value ...". */
static char *
entry_text (const Entry *entry)
{
  GString *text = g_string_new (NULL);
  JsonObjectIter iter;
  const char *name;
  JsonNode *value;

  g_string_append_printf (text, "%s %s %s", entry->time,
                          log_line_member (entry->node, "node"),
                          log_line_member (entry->node, "event"));
  json_object_iter_init_ordered (&iter, json_node_get_object (entry->node));
  while (json_object_iter_next_ordered (&iter, &name, &value))
    {
      if (g_strv_contains (
              (const char *const[]){ "time", "level", "node", "event", NULL }, name) ||
          !JSON_NODE_HOLDS_VALUE (value) ||
          json_node_get_value_type (value) != G_TYPE_STRING)
        continue;
      g_string_append_printf (text, " %s=%s", name, json_node_get_string (value));
    }
  return g_string_free (text, FALSE);
}

GPtrArray *
explanation_lines (Explanation *explanation)
{
  GPtrArray *lines = g_ptr_array_new_with_free_func (g_free);

  g_ptr_array_sort (explanation->entries, compare_entries);
  collect_fingerprints (explanation);
  for (guint i = 0; i < explanation->entries->len; i++)
    {
      const Entry *entry = g_ptr_array_index (explanation->entries, i);

      if (is_relevant (explanation, entry))
        g_ptr_array_add (lines, entry_text (entry));
    }
  return lines;
}

guint
explanation_bad_lines (const Explanation *explanation)
{
  return explanation->bad;
}
