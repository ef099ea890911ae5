#include <core/json-view.h>

#include <stdarg.h>
#include <string.h>

#include <core/json-text.h>

/* Bounds the memory for faults of a malicious text. */
#define FAULTS_MAX 100u

struct JsonFaults
{
  GPtrArray *lines;
};

struct JsonView
{
  JsonNode *root; /* a reference if the view was parsed from a text, else NULL */
  JsonObject *object;
  char *path;
  GHashTable *read_keys; /* a set */
  JsonFaults *faults;
};

JsonFaults *
json_faults_create (void)
{
  JsonFaults *faults = g_new0 (JsonFaults, 1);

  faults->lines = g_ptr_array_new_with_free_func (g_free);
  return faults;
}

void
json_faults_destroy (JsonFaults *faults)
{
  if (!faults)
    return;
  g_ptr_array_unref (faults->lines);
  g_free (faults);
}

void
json_faults_add (JsonFaults *faults, const char *path, const char *format, ...)
{
  g_autofree char *what = NULL;
  va_list args;

  if (faults->lines->len >= FAULTS_MAX)
    return;
  va_start (args, format);
  what = g_strdup_vprintf (format, args);
  va_end (args);
  g_ptr_array_add (faults->lines, g_strdup_printf ("%s: %s", path, what));
}

guint
json_faults_count (const JsonFaults *faults)
{
  return faults->lines->len;
}

const char *
json_faults_get (const JsonFaults *faults, guint index)
{
  return g_ptr_array_index (faults->lines, index);
}

char *
json_faults_text (const JsonFaults *faults)
{
  GString *text = g_string_new (NULL);

  for (guint i = 0; i < faults->lines->len; i++)
    g_string_append_printf (text, "%s\n", json_faults_get (faults, i));
  return g_string_free (text, FALSE);
}

JsonView *
json_view_create (JsonNode *node, const char *path, JsonFaults *faults)
{
  JsonView *view;

  if (!node || !JSON_NODE_HOLDS_OBJECT (node))
    {
      json_faults_add (faults, path, "must be an object");
      return NULL;
    }
  view = g_new0 (JsonView, 1);
  view->object = json_object_ref (json_node_get_object (node));
  view->path = g_strdup (path);
  view->read_keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  view->faults = faults;
  return view;
}

JsonView *
json_view_parse (const char *text, gssize len, JsonFaults *faults)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (JsonNode) root = json_text_parse (text, len, &error);
  JsonView *view;

  if (!root)
    {
      json_faults_add (faults, "$", "not JSON: %s", error->message);
      return NULL;
    }
  view = json_view_create (root, "$", faults);
  if (view)
    view->root = g_steal_pointer (&root);
  return view;
}

void
json_view_close (JsonView *view)
{
  JsonObjectIter iter;
  const char *key;

  if (!view)
    return;
  json_object_iter_init (&iter, view->object);
  while (json_object_iter_next (&iter, &key, NULL))
    if (!g_hash_table_contains (view->read_keys, key))
      json_faults_add (view->faults, view->path, "unknown key \"%s\"", key);
  json_view_release (view);
}

void
json_view_release (JsonView *view)
{
  if (!view)
    return;
  json_object_unref (view->object);
  if (view->root)
    json_node_unref (view->root);
  g_hash_table_unref (view->read_keys);
  g_free (view->path);
  g_free (view);
}

const char *
json_view_path (const JsonView *view)
{
  return view->path;
}

JsonFaults *
json_view_faults (const JsonView *view)
{
  return view->faults;
}

/* Returns a member and marks its key as read. A member that is null counts as missing. */
static JsonNode *
read_member (JsonView *view, const char *key)
{
  JsonNode *node;

  g_hash_table_add (view->read_keys, g_strdup (key));
  node = json_object_get_member (view->object, key);
  return node && JSON_NODE_HOLDS_NULL (node) ? NULL : node;
}

gboolean
json_view_has (JsonView *view, const char *key)
{
  return read_member (view, key) != NULL;
}

static void
fault_at (JsonView *view, const char *key, const char *what)
{
  g_autofree char *path = g_strdup_printf ("%s.%s", view->path, key);

  json_faults_add (view->faults, path, "%s", what);
}

static gboolean
text_is_plain (const char *text)
{
  for (const char *p = text; *p; p++)
    if (g_ascii_iscntrl (*p))
      return FALSE;
  return g_utf8_validate (text, -1, NULL);
}

static const char *
string_of (JsonView *view, const char *key, JsonNode *node, gsize max)
{
  const char *text;

  if (!JSON_NODE_HOLDS_VALUE (node) || json_node_get_value_type (node) != G_TYPE_STRING)
    {
      fault_at (view, key, "must be a string");
      return NULL;
    }
  text = json_node_get_string (node);
  if (strlen (text) <= max && text_is_plain (text))
    return text;
  if (strlen (text) > max)
    {
      g_autofree char *what = g_strdup_printf ("must be at most %zu bytes long", max);

      fault_at (view, key, what);
    }
  else
    fault_at (view, key, "must be UTF-8 text without control characters");
  return NULL;
}

const char *
json_view_string (JsonView *view, const char *key, gsize max, const char *fallback)
{
  JsonNode *node = read_member (view, key);
  const char *text = node ? string_of (view, key, node, max) : NULL;

  return text ? text : fallback;
}

const char *
json_view_required (JsonView *view, const char *key, gsize max)
{
  JsonNode *node = read_member (view, key);
  const char *text;

  if (!node)
    {
      fault_at (view, key, "is missing");
      return "";
    }
  text = string_of (view, key, node, max);
  if (text && !*text)
    fault_at (view, key, "must not be empty");
  return text ? text : "";
}

const char *
json_view_text (JsonView *view, const char *key)
{
  JsonNode *node = read_member (view, key);

  if (node && JSON_NODE_HOLDS_VALUE (node) &&
      json_node_get_value_type (node) == G_TYPE_STRING)
    return json_node_get_string (node);
  fault_at (view, key, "must be a string");
  return "";
}

gint64
json_view_int (JsonView *view, const char *key, gint64 min, gint64 max, gint64 fallback)
{
  JsonNode *node = read_member (view, key);
  gint64 value;

  if (!node)
    return fallback;
  if (!JSON_NODE_HOLDS_VALUE (node) || json_node_get_value_type (node) != G_TYPE_INT64)
    {
      fault_at (view, key, "must be a whole number");
      return fallback;
    }
  value = json_node_get_int (node);
  if (value < min || value > max)
    {
      g_autofree char *what =
          g_strdup_printf ("must be from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT
                           ", not %" G_GINT64_FORMAT,
                           min, max, value);

      fault_at (view, key, what);
      return fallback;
    }
  return value;
}

gint64
json_view_required_int (JsonView *view, const char *key, gint64 min, gint64 max)
{
  if (!json_view_has (view, key))
    fault_at (view, key, "is missing");
  return json_view_int (view, key, min, max, min);
}

static gboolean
holds_number (JsonNode *node)
{
  return JSON_NODE_HOLDS_VALUE (node) &&
         (json_node_get_value_type (node) == G_TYPE_INT64 ||
          json_node_get_value_type (node) == G_TYPE_DOUBLE);
}

/* Returns a member that is a number; NULL when it is missing, and with a fault when it is
   of another type. */
static JsonNode *
read_number (JsonView *view, const char *key)
{
  JsonNode *node = read_member (view, key);

  if (!node || holds_number (node))
    return node;
  fault_at (view, key, "must be a number");
  return NULL;
}

gint64
json_view_clamped_int (
    JsonView *view, const char *key, gint64 min, gint64 max, gint64 fallback)
{
  JsonNode *node = read_number (view, key);
  double value;

  if (!node)
    return fallback;
  if (json_node_get_value_type (node) == G_TYPE_INT64)
    return CLAMP (json_node_get_int (node), min, max);
  value = json_node_get_double (node);
  if (value >= (double)max)
    return max;
  /* NaN compares as false and gives `min`. */
  return value > (double)min ? (gint64)value : min;
}

double
json_view_double (
    JsonView *view, const char *key, double min, double max, double fallback)
{
  JsonNode *node = read_number (view, key);
  g_autofree char *what = NULL;
  double value;

  if (!node)
    return fallback;
  value = json_node_get_double (node);
  if (value >= min && value <= max)
    return value;
  what = g_strdup_printf ("must be from %g to %g, not %g", min, max, value);
  fault_at (view, key, what);
  return fallback;
}

gboolean
json_view_bool (JsonView *view, const char *key, gboolean fallback)
{
  JsonNode *node = read_member (view, key);

  if (!node)
    return fallback;
  if (!JSON_NODE_HOLDS_VALUE (node) || json_node_get_value_type (node) != G_TYPE_BOOLEAN)
    {
      fault_at (view, key, "must be true or false");
      return fallback;
    }
  return json_node_get_boolean (node);
}

guint
json_view_choice (JsonView *view,
                  const char *key,
                  const char *const *names,
                  guint fallback)
{
  JsonNode *node = read_member (view, key);
  g_autofree char *all = NULL;
  g_autofree char *what = NULL;
  const char *text;

  if (!node)
    return fallback;
  text = string_of (view, key, node, G_MAXINT);
  if (!text)
    return fallback;
  for (guint i = 0; names[i]; i++)
    if (strcmp (names[i], text) == 0)
      return i;
  all = g_strjoinv (", ", (char **)names);
  what = g_strdup_printf ("must be one of: %s", all);
  fault_at (view, key, what);
  return fallback;
}

JsonView *
json_view_object (JsonView *view, const char *key)
{
  JsonNode *node = read_member (view, key);
  g_autofree char *path = g_strdup_printf ("%s.%s", view->path, key);

  return node ? json_view_create (node, path, view->faults) : NULL;
}

static JsonArray *
array_of (JsonView *view, const char *key)
{
  JsonNode *node = read_member (view, key);

  if (!node)
    return NULL;
  if (JSON_NODE_HOLDS_ARRAY (node))
    return json_node_get_array (node);
  fault_at (view, key, "must be an array");
  return NULL;
}

guint
json_view_array_length (JsonView *view, const char *key)
{
  JsonArray *array = array_of (view, key);

  return array ? json_array_get_length (array) : 0;
}

JsonView *
json_view_array_object (JsonView *view, const char *key, guint index)
{
  JsonArray *array = array_of (view, key);
  g_autofree char *path = g_strdup_printf ("%s.%s[%u]", view->path, key, index);

  return json_view_create (json_array_get_element (array, index), path, view->faults);
}

const char *
json_view_array_string (JsonView *view, const char *key, guint index, gsize max)
{
  JsonArray *array = array_of (view, key);
  g_autofree char *where = g_strdup_printf ("%s[%u]", key, index);

  return string_of (view, where, json_array_get_element (array, index), max);
}
