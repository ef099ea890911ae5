#include <core/json-text.h>

#include <string.h>

/* Length of an escape of one UTF-16 code unit, as in "\u00e9". */
#define UNIT_ESCAPE_LEN 6
#define REPLACEMENT_ESCAPE "\\ufffd"
#define TOO_DEEP_VALUE "null"

/* A pass over a text that copies it to `out`, with replacements for what json-glib cannot
   take. `out` is NULL for a pass that only looks for such parts. */
typedef struct
{
  const char *at;
  const char *end;
  GString *out;
  guint depth; /* of the arrays and objects that are open */
  gboolean odd;
  gboolean malformed;
} Scan;

static JsonNode *
fail (GError **error, const char *what)
{
  g_set_error_literal (error, JSON_PARSER_ERROR, JSON_PARSER_ERROR_PARSE, what);
  return NULL;
}

/* Appends bytes unless they are part of a value that is nested too deeply. */
static void
emit (Scan *scan, const char *bytes, gsize len)
{
  if (scan->out && scan->depth <= JSON_TEXT_DEPTH_MAX)
    g_string_append_len (scan->out, bytes, (gssize)len);
}

static void
replace (Scan *scan, const char *text)
{
  scan->odd = TRUE;
  emit (scan, text, strlen (text));
}

/* Returns the code unit of an escape at `at`; 0 if there is none. */
static guint
escaped_unit (const char *at, const char *end)
{
  guint unit = 0;

  if (end - at < UNIT_ESCAPE_LEN || at[0] != '\\' || at[1] != 'u')
    return 0;
  for (guint i = 2; i < UNIT_ESCAPE_LEN; i++)
    {
      if (!g_ascii_isxdigit (at[i]))
        return 0;
      unit = unit * 16 + (guint)g_ascii_xdigit_value (at[i]);
    }
  return unit;
}

static gboolean
is_high_surrogate (guint unit)
{
  return unit >= 0xd800 && unit <= 0xdbff;
}

static gboolean
is_low_surrogate (guint unit)
{
  return unit >= 0xdc00 && unit <= 0xdfff;
}

static void
scan_escape (Scan *scan)
{
  guint unit = escaped_unit (scan->at, scan->end);
  gsize len = unit ? UNIT_ESCAPE_LEN : MIN (2, (gsize)(scan->end - scan->at));
  gboolean paired = is_high_surrogate (unit) &&
                    is_low_surrogate (escaped_unit (scan->at + len, scan->end));

  if (paired)
    len += UNIT_ESCAPE_LEN;
  if (!paired && (is_high_surrogate (unit) || is_low_surrogate (unit)))
    replace (scan, REPLACEMENT_ESCAPE);
  else
    emit (scan, scan->at, len);
  scan->at += len;
}

static void
scan_string (Scan *scan)
{
  emit (scan, scan->at++, 1);
  while (scan->at < scan->end && *scan->at != '"')
    {
      gsize plain = 0;

      while (scan->at + plain < scan->end && scan->at[plain] != '"' &&
             scan->at[plain] != '\\')
        plain++;
      emit (scan, scan->at, plain);
      scan->at += plain;
      if (scan->at < scan->end && *scan->at == '\\')
        scan_escape (scan);
    }
  if (scan->at < scan->end)
    emit (scan, scan->at++, 1);
}

static void
scan_opening (Scan *scan)
{
  if (scan->depth == JSON_TEXT_DEPTH_MAX)
    replace (scan, TOO_DEEP_VALUE);
  scan->depth++;
  emit (scan, scan->at++, 1);
}

static void
scan_closing (Scan *scan)
{
  emit (scan, scan->at++, 1);
  if (scan->depth > 0)
    scan->depth--;
  else
    scan->malformed = TRUE;
}

/* Whether json-glib takes a character outside of strings for the start of a comment or of
   a string of its own kind, in which brackets do not nest. */
static gboolean
is_foreign_mark (char character)
{
  return character == '/' || character == '#' || character == '\'' || character == '\\' ||
         character == '\0';
}

static void
scan_text (Scan *scan)
{
  while (scan->at < scan->end && !scan->malformed)
    switch (*scan->at)
      {
      case '"':
        scan_string (scan);
        break;
      case '[':
      case '{':
        scan_opening (scan);
        break;
      case ']':
      case '}':
        scan_closing (scan);
        break;
      default:
        scan->malformed = is_foreign_mark (*scan->at);
        emit (scan, scan->at++, 1);
      }
}

static JsonNode *
load (const char *text, gssize len, GError **error)
{
  g_autoptr (JsonParser) parser = json_parser_new_immutable ();
  JsonNode *root;

  if (!json_parser_load_from_data (parser, text, len, error))
    return NULL;
  root = json_parser_steal_root (parser);
  return root ? root : fail (error, "the text is empty");
}

/* Looks through a text. Returns FALSE with `error` set if it cannot be JSON. */
static gboolean
examine (const char *text, gsize len, gboolean *odd, GError **error)
{
  Scan scan = { .at = text, .end = text + len };

  if (!text || len == 0)
    return fail (error, "the text is empty") != NULL;
  if (memchr (text, '\0', len))
    return fail (error, "the text contains a NUL") != NULL;
  scan_text (&scan);
  *odd = scan.odd;
  return !scan.malformed || fail (error, "the text is not JSON") != NULL;
}

static gsize
length_of (const char *text, gssize len)
{
  return text && len < 0 ? strlen (text) : (gsize)MAX (len, 0);
}

JsonNode *
json_text_parse (const char *text, gssize len, GError **error)
{
  gsize bytes = length_of (text, len);
  gboolean odd;

  if (!examine (text, bytes, &odd, error))
    return NULL;
  if (odd)
    return fail (error, "nested too deeply, or an escape of half a character");
  return load (text, (gssize)bytes, error);
}

static JsonNode *
load_repaired (const char *text, gsize len, GError **error)
{
  g_autofree char *valid = g_utf8_make_valid (text, (gssize)len);
  g_autoptr (GString) out = g_string_new (NULL);
  Scan scan = { .at = valid, .end = valid + strlen (valid), .out = out };

  scan_text (&scan);
  return load (out->str, (gssize)out->len, error);
}

JsonNode *
json_text_parse_parts (const char *text, gssize len, gboolean *repaired, GError **error)
{
  gsize bytes = length_of (text, len);
  gboolean odd;

  if (!examine (text, bytes, &odd, error))
    return NULL;
  odd |= !g_utf8_validate_len (text, bytes, NULL);
  if (repaired)
    *repaired = odd;
  return odd ? load_repaired (text, bytes, error) : load (text, (gssize)bytes, error);
}
