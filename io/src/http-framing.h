/*
 * Checks that the headers of a request or an answer say unambiguously where its body
 * ends, as a defence against smuggling and against bodies that are cut or not decoded.
 */
#ifndef IO_HTTP_FRAMING_H
#define IO_HTTP_FRAMING_H

#include <glib.h>

/* Returns why the headers are malformed or ambiguous, or NULL if they are not (RFC 9112,
   sections 5.1 and 6.3). `headers` holds elements of type HttpHeader. */
const char *http_framing_fault (const GArray *headers);

/* Does the same for the fields of an answer to a request of HTTP/1.1, whose names are
   known to be tokens; `minor` is the minor version of its status line. A transfer coding
   that is not decoded here must not be passed on, because its field is not. */
const char *http_framing_answer_fault (guint minor, guint status, const GArray *headers);

#endif
