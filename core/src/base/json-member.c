#include <core/json-member.h>

static JsonNode *
find (JsonObject *object, const char *name)
{
  return object ? json_object_get_member (object, name) : NULL;
}

static gboolean
holds (JsonNode *node, GType type)
{
  return node && JSON_NODE_HOLDS_VALUE (node) && json_node_get_value_type (node) == type;
}

const char *
json_member_text (JsonObject *object, const char *name, const char *fallback)
{
  JsonNode *node = find (object, name);

  return holds (node, G_TYPE_STRING) ? json_node_get_string (node) : fallback;
}

gint64
json_member_int (JsonObject *object, const char *name, gint64 fallback)
{
  JsonNode *node = find (object, name);

  return holds (node, G_TYPE_INT64) ? json_node_get_int (node) : fallback;
}

double
json_member_double (JsonObject *object, const char *name, double fallback)
{
  JsonNode *node = find (object, name);

  return holds (node, G_TYPE_DOUBLE) || holds (node, G_TYPE_INT64)
             ? json_node_get_double (node)
             : fallback;
}

gboolean
json_member_bool (JsonObject *object, const char *name, gboolean fallback)
{
  JsonNode *node = find (object, name);

  return holds (node, G_TYPE_BOOLEAN) ? json_node_get_boolean (node) : fallback;
}

JsonObject *
json_member_object (JsonObject *object, const char *name)
{
  JsonNode *node = find (object, name);

  return node && JSON_NODE_HOLDS_OBJECT (node) ? json_node_get_object (node) : NULL;
}

JsonArray *
json_member_array (JsonObject *object, const char *name)
{
  JsonNode *node = find (object, name);

  return node && JSON_NODE_HOLDS_ARRAY (node) ? json_node_get_array (node) : NULL;
}

JsonObject *
json_element_object (JsonArray *array, guint index)
{
  JsonNode *node = json_array_get_element (array, index);

  return JSON_NODE_HOLDS_OBJECT (node) ? json_node_get_object (node) : NULL;
}

const char *
json_element_text (JsonArray *array, guint index)
{
  JsonNode *node = json_array_get_element (array, index);

  return holds (node, G_TYPE_STRING) ? json_node_get_string (node) : NULL;
}
