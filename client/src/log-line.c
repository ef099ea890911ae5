#include "log-line.h"

#include <string.h>

#include <core/json-text.h>

LogLine
log_line_parse (const char *line, gssize len, JsonNode **node)
{
  g_autofree char *text = g_strndup (line, len < 0 ? strlen (line) : (gsize)len);
  const char *brace = strchr (text, '{');
  JsonNode *parsed;

  if (!brace)
    return LOG_LINE_OTHER;
  parsed = json_text_parse_parts (brace, -1, NULL, NULL);
  if (!parsed)
    return LOG_LINE_BAD;
  if (!JSON_NODE_HOLDS_OBJECT (parsed))
    {
      json_node_unref (parsed);
      return LOG_LINE_BAD;
    }
  *node = parsed;
  return LOG_LINE_GOOD;
}

const char *
log_line_member (const JsonNode *node, const char *name)
{
  JsonObject *object = json_node_get_object ((JsonNode *)node);
  JsonNode *member = json_object_get_member (object, name);

  if (!member || !JSON_NODE_HOLDS_VALUE (member) ||
      json_node_get_value_type (member) != G_TYPE_STRING)
    return "";
  return json_node_get_string (member);
}
