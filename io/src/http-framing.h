/*
 * Checks that the headers of a request say unambiguously where its body ends, as a
 * defence against request smuggling.
 */
#ifndef IO_HTTP_FRAMING_H
#define IO_HTTP_FRAMING_H

#include <glib.h>

/* Returns why the headers are malformed or ambiguous, or NULL if they are not (RFC 9112,
   sections 5.1 and 6.3). `headers` holds elements of type HttpHeader. */
const char *http_framing_fault (const GArray *headers);

#endif
