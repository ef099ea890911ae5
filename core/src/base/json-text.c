#include <core/json-text.h>

#include <string.h>

static JsonNode *
fail (GError **error, const char *what)
{
  g_set_error_literal (error, JSON_PARSER_ERROR, JSON_PARSER_ERROR_PARSE, what);
  return NULL;
}

JsonNode *
json_text_parse (const char *text, gssize len, GError **error)
{
  g_autoptr (JsonParser) parser = NULL;
  JsonNode *root;

  if (text && len < 0)
    len = (gssize)strlen (text);
  if (!text || len == 0)
    return fail (error, "the text is empty");
  parser = json_parser_new_immutable ();
  if (!json_parser_load_from_data (parser, text, len, error))
    return NULL;
  root = json_parser_steal_root (parser);
  return root ? root : fail (error, "the text is empty");
}
