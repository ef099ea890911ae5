/*
 * The head of an answer, taken line by line. Checks its grammar (RFC 9112, sections 4 and
 * 5), which http_parser, built without its strict checks, and libcurl do in part.
 */
#ifndef IO_ANSWER_HEAD_H
#define IO_ANSWER_HEAD_H

#include <glib.h>

typedef struct AnswerHead AnswerHead;

AnswerHead *answer_head_create (void);
void answer_head_destroy (AnswerHead *head);
/* Forgets all lines; a status line is expected next. */
void answer_head_clear (AnswerHead *head);

/* Takes the next line with its terminator. Returns why the line or the head is malformed,
   or NULL. The head of an interim answer is followed by another head. Once the head of a
   final answer is complete, lines are those of its trailer, which are checked but not
   kept. */
const char *answer_head_take (AnswerHead *head, const char *line, gsize len);

/* Whether the head of a final answer, with the empty line after it, has been taken. */
gboolean answer_head_is_complete (const AnswerHead *head);
/* Returns the status of the last status line, 0 before there is one. */
guint answer_head_status (const AnswerHead *head);
/* Returns the fields after the last status line: elements of type HttpHeader, borrowed.
 */
GArray *answer_head_fields (const AnswerHead *head);

#endif
