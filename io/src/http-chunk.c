#include "http-chunk.h"

#include <string.h>

#include "http-grammar.h"

static const char *
skip_blanks (const char *at, const char *end)
{
  while (at < end && (*at == ' ' || *at == '\t'))
    at++;
  return at;
}

/* Returns the end of a token, `at` if there is none. */
static const char *
skip_token (const char *at, const char *end)
{
  while (at < end && http_is_token (at, 1))
    at++;
  return at;
}

/* Returns the end of a quoted string that begins at `at` (RFC 9110, section 5.6.4), or
   `at` if it has none. */
static const char *
skip_quoted (const char *at, const char *end)
{
  for (const char *next = at + 1; next < end; next++)
    {
      if (*next == '"')
        return next + 1;
      if (*next == '\\')
        next++;
    }
  return at;
}

/* Returns the end of a chunk extension's value and of the blanks before it, `at` if there
   is none. */
static const char *
skip_extension_value (const char *at, const char *end)
{
  const char *value = skip_blanks (at, end);
  const char *after;

  if (value == end)
    return at;
  after = *value == '"' ? skip_quoted (value, end) : skip_token (value, end);
  return after > value ? after : at;
}

/* Returns the end of a chunk extension that begins at `at`, `at` if it is malformed. */
static const char *
skip_extension (const char *at, const char *end)
{
  const char *name = skip_blanks (at, end);
  const char *after;
  const char *equals;
  const char *value_end;

  if (name == end || *name != ';')
    return at;
  name = skip_blanks (name + 1, end);
  after = skip_token (name, end);
  if (after == name)
    return at;
  equals = skip_blanks (after, end);
  if (equals == end || *equals != '=')
    return after;
  value_end = skip_extension_value (equals + 1, end);
  return value_end > equals + 1 ? value_end : at;
}

const char *
http_chunk_line_fault (const char *line, gsize len)
{
  const char *end = line + len - 2;
  const char *at = line;

  if (len < 2 || memcmp (end, "\r\n", 2) != 0)
    return "the line of a chunk's size does not end with CR LF";
  if (http_has_control (line, len - 2))
    return "the line of a chunk's size holds a control character";
  while (at < end && g_ascii_isxdigit (*at))
    at++;
  if (at == line)
    return "a chunk has no size";
  while (at < end)
    {
      const char *after = skip_extension (at, end);

      if (after == at)
        return "a chunk extension is malformed";
      at = after;
    }
  return NULL;
}
