/*
 * `switchmill explain ID FILE...`: one request's way out of the logs of many nodes.
 */
#ifndef CLIENT_EXPLAIN_H
#define CLIENT_EXPLAIN_H

#include <stdio.h>
#include <glib.h>

typedef struct Explanation Explanation;

/* `id` is the caller's own name of the request, or the name of one attempt. */
Explanation *explanation_create (const char *id);
void explanation_destroy (Explanation *explanation);

/* Takes a line of a log in; what stands before the first brace is passed over. */
void explanation_add (Explanation *explanation, const char *line, gssize len);

/*
 * Lines that name the request or one of its attempts, by time, each as text that the
 * caller frees. A line that names an attempt may come before the one that tells whose
 * it is, so this is for the end.
 */
GPtrArray *explanation_lines (Explanation *explanation);

/* Lines that were no JSON object, though they had a brace. */
guint explanation_bad_lines (const Explanation *explanation);

#endif
