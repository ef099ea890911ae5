/*
 * What HTTP in and out have in common: header lists.
 */
#ifndef IO_HTTP_TYPES_H
#define IO_HTTP_TYPES_H

#include <glib.h>

typedef struct
{
  char *name;
  char *value;
} HttpHeader;

/* An owned list of headers; a GArray of HttpHeader that frees its texts. */
GArray *http_headers_new (void);
void http_headers_add (GArray *headers, const char *name, const char *value);

/* The first value under `name` (case folded), or NULL. */
const char *http_headers_get (const GArray *headers, const char *name);

/* Whether a header belongs to one hop only and is never forwarded (RFC 9110, 7.6.1). */
gboolean http_header_is_hop (const char *name);

#endif
