/*
 * Parses lines of nodes' log files: one JSON object each, possibly after a prefix of the
 * log collector.
 */
#ifndef CLIENT_LOG_LINE_H
#define CLIENT_LOG_LINE_H

#include <json-glib/json-glib.h>

typedef enum
{
  LOG_LINE_GOOD,
  LOG_LINE_OTHER, /* no object: a line of another program */
  LOG_LINE_BAD    /* a brace without a complete object */
} LogLine;

/* Parses a line; `len` is -1 for a string that ends with a zero byte. Sets `node` for
   LOG_LINE_GOOD only; the caller unrefs it. */
LogLine log_line_parse (const char *line, gssize len, JsonNode **node);

/* Returns a string member of a line, or "". */
const char *log_line_member (const JsonNode *node, const char *name);

#endif
