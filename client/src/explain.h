/*
 * `switchmill explain ID FILE...`: the path of one request, from the logs of many nodes.
 */
#ifndef CLIENT_EXPLAIN_H
#define CLIENT_EXPLAIN_H

#include <stdio.h>
#include <glib.h>

typedef struct Explanation Explanation;

/* `id` is the id of a request or of an attempt, or a quarantine fingerprint. */
Explanation *explanation_create (const char *id);
void explanation_destroy (Explanation *explanation);

/* Adds a log line. Text before the first brace is skipped. `len` is -1 for a string that
   ends with a zero byte. */
void explanation_add (Explanation *explanation, const char *line, gssize len);

/*
 * Returns the lines about the request and its attempts in order of time, as an array of
 * strings that the caller unrefs. Called after all lines have been added, because a line
 * that names an attempt may come before the line that names the attempt's request.
 */
GPtrArray *explanation_lines (Explanation *explanation);

/* Returns the number of lines with a brace that are not a JSON object. */
guint explanation_bad_lines (const Explanation *explanation);

#endif
