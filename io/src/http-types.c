#include <io/http-types.h>

#define STATUS_MIN 100u
#define STATUS_SWITCHING 101u
#define STATUS_MAX 599u

static void
clear_header (gpointer data)
{
  HttpHeader *header = data;

  g_free (header->name);
  g_free (header->value);
}

GArray *
http_headers_new (void)
{
  GArray *headers = g_array_new (FALSE, FALSE, sizeof (HttpHeader));

  g_array_set_clear_func (headers, clear_header);
  return headers;
}

void
http_headers_add (GArray *headers, const char *name, const char *value)
{
  HttpHeader header = { g_strdup (name), g_strdup (value ? value : "") };

  g_array_append_val (headers, header);
}

const char *
http_headers_get (const GArray *headers, const char *name)
{
  for (guint i = 0; i < headers->len; i++)
    {
      const HttpHeader *header = &g_array_index (headers, HttpHeader, i);

      if (g_ascii_strcasecmp (header->name, name) == 0)
        return header->value;
    }
  return NULL;
}

gboolean
http_header_is_hop (const char *name)
{
  static const char *const hop[] = {
    "Connection", "Keep-Alive",       "Proxy-Authenticate", "Proxy-Authorization",
    "TE",         "Trailer",          "Transfer-Encoding",  "Upgrade",
    "Expect",     "Proxy-Connection", "Content-Length"
  };

  for (gsize i = 0; i < G_N_ELEMENTS (hop); i++)
    if (g_ascii_strcasecmp (name, hop[i]) == 0)
      return TRUE;
  return FALSE;
}

gboolean
http_status_is_valid (guint status)
{
  return status >= STATUS_MIN && status <= STATUS_MAX && status != STATUS_SWITCHING;
}
