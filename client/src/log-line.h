/*
 * Lines of nodes' logs, as they stand in files: one JSON object each, perhaps behind
 * words of whoever collected them.
 */
#ifndef CLIENT_LOG_LINE_H
#define CLIENT_LOG_LINE_H

#include <json-glib/json-glib.h>

typedef enum
{
  LOG_LINE_GOOD,
  LOG_LINE_OTHER, /* no object in it: somebody else's line */
  LOG_LINE_BAD    /* a brace, and no whole object behind it */
} LogLine;

/* `node` is set for a good line; the caller unrefs it. */
LogLine log_line_parse (const char *line, gssize len, JsonNode **node);

/* A text member of a line, or "". */
const char *log_line_member (const JsonNode *node, const char *name);

#endif
