#include "model.h"

#include <string.h>
#include <core/json-write.h>

/* An operator whose confirmation got no answer repeats it within minutes, and it is then
   recognised by the plan's id. 150 plans cover 15 minutes at ten plans a minute. */
#define PLAN_IDS_MAX 150u
#define PLAN_ID_MAX 64
#define DIGEST_MAX 64

ConfigHead *
config_head_create (guint64 generation)
{
  ConfigHead *head = g_new0 (ConfigHead, 1);

  head->generation = generation;
  head->plans = g_ptr_array_new_with_free_func (g_free);
  head->parts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return head;
}

void
config_head_destroy (ConfigHead *head)
{
  if (!head)
    return;
  g_ptr_array_unref (head->plans);
  g_hash_table_unref (head->parts);
  g_free (head);
}

static void
read_parts (ConfigHead *head, JsonView *view)
{
  guint count = json_view_array_length (view, "parts");

  for (guint i = 0; i < count; i++)
    {
      JsonView *item = json_view_array_object (view, "parts", i);
      const char *key;
      const char *digest;

      if (!item)
        continue;
      key = json_view_required (item, "key", PLAN_ID_MAX + DIGEST_MAX);
      digest = json_view_required (item, "digest", DIGEST_MAX);
      if (!g_hash_table_insert (head->parts, g_strdup (key), g_strdup (digest)))
        json_faults_add (json_view_faults (view), json_view_path (item),
                         "part %s is listed more than once", key);
      json_view_close (item);
    }
}

ConfigHead *
config_head_parse (const char *text, gssize len, JsonFaults *faults)
{
  guint before = json_faults_count (faults);
  JsonView *view = json_view_parse (text, len, faults);
  ConfigHead *head;
  guint plans;

  if (!view)
    return NULL;
  head =
      config_head_create ((guint64)json_view_int (view, "generation", 1, G_MAXINT64, 0));
  plans = json_view_array_length (view, "plans");
  for (guint i = 0; i < plans; i++)
    g_ptr_array_add (head->plans,
                     g_strdup (json_view_array_string (view, "plans", i, PLAN_ID_MAX)));
  read_parts (head, view);
  json_view_close (view);
  if (head->generation == 0)
    json_faults_add (faults, "$.generation", "is missing");
  if (json_faults_count (faults) == before)
    return head;
  config_head_destroy (head);
  return NULL;
}

char *
config_head_text (const ConfigHead *head)
{
  JsonBuilder *builder = json_builder_new ();
  GList *keys = g_list_sort (g_hash_table_get_keys (head->parts), (GCompareFunc)strcmp);

  json_builder_begin_object (builder);
  json_write_int (builder, "generation", (gint64)head->generation);
  json_builder_set_member_name (builder, "plans");
  json_builder_begin_array (builder);
  for (guint i = 0; i < head->plans->len; i++)
    json_builder_add_string_value (builder, g_ptr_array_index (head->plans, i));
  json_builder_end_array (builder);
  json_builder_set_member_name (builder, "parts");
  json_builder_begin_array (builder);
  for (GList *l = keys; l; l = l->next)
    {
      json_builder_begin_object (builder);
      json_write_string (builder, "key", l->data);
      json_write_string (builder, "digest", g_hash_table_lookup (head->parts, l->data));
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  g_list_free (keys);
  return json_text (builder);
}

void
config_head_add_plan (ConfigHead *head, const char *id)
{
  g_ptr_array_add (head->plans, g_strdup (id));
  if (head->plans->len > PLAN_IDS_MAX)
    g_ptr_array_remove_index (head->plans, 0);
}

gboolean
config_head_has_plan (const ConfigHead *head, const char *id)
{
  for (guint i = 0; i < head->plans->len; i++)
    if (g_strcmp0 (g_ptr_array_index (head->plans, i), id) == 0)
      return TRUE;
  return FALSE;
}
