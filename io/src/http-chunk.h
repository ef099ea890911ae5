/*
 * The line before each chunk of a body (RFC 9112, section 7.1).
 */
#ifndef IO_HTTP_CHUNK_H
#define IO_HTTP_CHUNK_H

#include <glib.h>

/* Returns why a line with a chunk's size and its extensions, taken with its terminator,
   is malformed, or NULL. Only CR LF ends it: whoever skips extensions up to another end
   would take other bytes for the chunk. */
const char *http_chunk_line_fault (const char *line, gsize len);

#endif
