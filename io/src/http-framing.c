#include "http-framing.h"

#include <string.h>

#include <io/http-types.h>

#include "http-grammar.h"

static guint
count_headers (const GArray *headers, const char *name)
{
  guint count = 0;

  for (guint i = 0; i < headers->len; i++)
    if (g_ascii_strcasecmp (g_array_index (headers, HttpHeader, i).name, name) == 0)
      count++;
  return count;
}

/* Returns why a name or a value is malformed, or NULL. With a blank before its colon,
   Content-Length would be read as another header's name, and the body as the next request
   (RFC 9112, section 5.1). */
static const char *
header_fault (const GArray *headers)
{
  for (guint i = 0; i < headers->len; i++)
    {
      const HttpHeader *header = &g_array_index (headers, HttpHeader, i);

      if (!http_is_token (header->name, strlen (header->name)))
        return "a header's name is no token";
      if (http_has_control (header->value, strlen (header->value)))
        return "a header's value holds a control character";
    }
  return NULL;
}

const char *
http_framing_fault (const GArray *headers)
{
  guint lengths = count_headers (headers, "Content-Length");
  guint encodings = count_headers (headers, "Transfer-Encoding");
  const char *fault = header_fault (headers);

  if (fault)
    return fault;
  if (lengths > 1 || encodings > 1)
    return "more than one Content-Length or Transfer-Encoding";
  if (lengths && encodings)
    return "both Content-Length and Transfer-Encoding";
  if (encodings &&
      g_ascii_strcasecmp (http_headers_get (headers, "Transfer-Encoding"), "chunked"))
    return "a transfer coding other than chunked";
  return NULL;
}
