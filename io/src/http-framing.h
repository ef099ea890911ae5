/*
 * Whether a request's header lines can be trusted to say where it ends.
 */
#ifndef IO_HTTP_FRAMING_H
#define IO_HTTP_FRAMING_H

#include <glib.h>

/* Why they cannot, or NULL (RFC 9112, sections 5.1 and 6.3). `headers` is of HttpHeader.
 */
const char *http_framing_fault (const GArray *headers);

#endif
