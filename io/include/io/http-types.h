/*
 * Header lists, for the HTTP client and the HTTP server.
 */
#ifndef IO_HTTP_TYPES_H
#define IO_HTTP_TYPES_H

#include <glib.h>

typedef struct
{
  char *name;
  char *value;
} HttpHeader;

/* Returns an empty GArray of HttpHeader that frees its strings. The caller owns it. */
GArray *http_headers_new (void);
/* Appends a copy of a header; a NULL value is stored as "". */
void http_headers_add (GArray *headers, const char *name, const char *value);

/* Returns the first value of the header `name`, ignoring case, or NULL. */
const char *http_headers_get (const GArray *headers, const char *name);

/* Returns whether a header applies to one connection only and is never forwarded (RFC
   9110, section 7.6.1). Expect and Content-Length are included: the libraries handle them
   for each connection. */
gboolean http_header_is_hop (const char *name);

/* Returns whether an answer may have this status: one of three digits in a class that
   exists (RFC 9110, section 15), and not the one that switches protocols, which no
   request asks for. */
gboolean http_status_is_valid (guint status);

#endif
