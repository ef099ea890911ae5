/*
 * `switchmill outcomes LOG...`: the results of the requests in the logs of many nodes and
 * the causes of failures, by class and by span of time.
 */
#ifndef CLIENT_OUTCOMES_H
#define CLIENT_OUTCOMES_H

#include <json-glib/json-glib.h>

typedef struct RequestOutcomes RequestOutcomes;

/* Counts requests by the span of `span_s` seconds in which they began; 0 for a single
   span. */
RequestOutcomes *request_outcomes_create (guint span_s);
void request_outcomes_destroy (RequestOutcomes *outcomes);

/* Adds a log line; `len` is -1 for a string that ends with a zero byte. Lines may come in
   any order, and some may be missing; only the bytes-sent lines of a node must be in
   order of time. */
void request_outcomes_add (RequestOutcomes *outcomes, const char *line, gssize len);

/* Returns the number of requests whose final log line was found. */
guint request_outcomes_requests (const RequestOutcomes *outcomes);
/* Returns the number of lines that are truncated or not JSON. */
guint request_outcomes_bad_lines (const RequestOutcomes *outcomes);
/* Returns the number of lines that nodes have omitted because of their log limit, by
   their own count. */
guint64 request_outcomes_omitted_lines (const RequestOutcomes *outcomes);

/* Returns a table for people. The caller frees it. */
char *request_outcomes_text (RequestOutcomes *outcomes);
/* Returns a JSON object for programs. The caller unrefs it. */
JsonNode *request_outcomes_json (RequestOutcomes *outcomes);

#endif
