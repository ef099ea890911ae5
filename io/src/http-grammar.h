/*
 * Characters of HTTP's grammar (RFC 9110, section 5).
 */
#ifndef IO_HTTP_GRAMMAR_H
#define IO_HTTP_GRAMMAR_H

#include <glib.h>

/* Returns whether a text is a token (RFC 9110, section 5.6.2). */
gboolean http_is_token (const char *text, gsize len);
/* Returns whether a text holds a control character other than a tab (RFC 9110, section
   5.5). A carriage return within a line is one. */
gboolean http_has_control (const char *text, gsize len);

#endif
