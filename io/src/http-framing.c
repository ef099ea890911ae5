#include "http-framing.h"

#include <string.h>

#include <core/http-status.h>
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

/* Returns why the fields that frame a body are ambiguous or not understood, or NULL. */
static const char *
body_fault (const GArray *headers)
{
  guint lengths = count_headers (headers, "Content-Length");
  guint encodings = count_headers (headers, "Transfer-Encoding");

  if (lengths > 1 || encodings > 1)
    return "more than one Content-Length or Transfer-Encoding";
  if (lengths && encodings)
    return "both Content-Length and Transfer-Encoding";
  if (encodings &&
      g_ascii_strcasecmp (http_headers_get (headers, "Transfer-Encoding"), "chunked"))
    return "a transfer coding other than chunked";
  return NULL;
}

const char *
http_framing_fault (const GArray *headers)
{
  const char *fault = header_fault (headers);

  return fault ? fault : body_fault (headers);
}

const char *
http_framing_answer_fault (guint minor, guint status, const GArray *headers)
{
  const char *fault = body_fault (headers);
  const char *length = http_headers_get (headers, "Content-Length");
  gboolean encoded = http_headers_get (headers, "Transfer-Encoding") != NULL;
  guint64 bytes = 0;

  if (fault)
    return fault;
  if (length && !g_ascii_string_to_unsigned (length, 10, 0, G_MAXINT64, &bytes, NULL))
    return "Content-Length is no number of bytes";
  if (encoded && minor == 0)
    return "a transfer coding in HTTP/1.0";
  if ((status < HTTP_OK || status == HTTP_NO_CONTENT) && (encoded || bytes > 0))
    return "a body is announced for a status that has none";
  return NULL;
}
