/*
 * `switchmill outcomes LOG...`: what became of the requests in the logs of many nodes,
 * and why, by class and by spans of time.
 */
#ifndef CLIENT_OUTCOMES_H
#define CLIENT_OUTCOMES_H

#include <json-glib/json-glib.h>

typedef struct RequestOutcomes RequestOutcomes;

/* Requests are counted in spans of so many seconds by when they began; 0 for one span. */
RequestOutcomes *request_outcomes_create (guint span_s);
void request_outcomes_destroy (RequestOutcomes *outcomes);

/* Takes a line of a log in; lines may come in any order, and some may be missing. */
void request_outcomes_add (RequestOutcomes *outcomes, const char *line, gssize len);

/* Requests whose last line was found. */
guint request_outcomes_requests (const RequestOutcomes *outcomes);
/* Lines that were cut or are no JSON. */
guint request_outcomes_bad_lines (const RequestOutcomes *outcomes);
/* Lines that nodes left out because there were too many, by their own count. */
guint64 request_outcomes_omitted_lines (const RequestOutcomes *outcomes);

/* As tables for people; the caller frees it. */
char *request_outcomes_text (RequestOutcomes *outcomes);
/* As one object for programs; the caller unrefs it. */
JsonNode *request_outcomes_json (RequestOutcomes *outcomes);

#endif
