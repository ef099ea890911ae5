/*
 * Reads answers from the bytes of a connection. http_parser decodes them; lines are
 * checked before it gets them, because it is built without its strict checks.
 */
#ifndef IO_ANSWER_READER_H
#define IO_ANSWER_READER_H

#include <glib.h>

typedef struct AnswerReader AnswerReader;

typedef enum
{
  ANSWER_READING,
  ANSWER_COMPLETE,
  ANSWER_BROKEN,
  ANSWER_TOO_LARGE
} AnswerState;

/* What is known of the answer beforehand. */
typedef struct
{
  gboolean no_body; /* answers to the request's method have none */
  gsize body_max;   /* bytes */
  /* Whether an answer with this status and these fields belongs to another request. Such
     answers are skipped. NULL for none. */
  gboolean (*is_foreign) (guint status, const GArray *fields, gpointer data);
  gpointer data; /* of `is_foreign` */
} AnswerExpected;

AnswerReader *answer_reader_create (void);
void answer_reader_destroy (AnswerReader *reader);

/* Starts to read the answer to the next request. The last answer must have been cleared.
 */
void answer_reader_begin (AnswerReader *reader, const AnswerExpected *expected);
/* Takes the next bytes of the connection. Once the state is not ANSWER_READING, nothing
   more may be given before the next answer_reader_begin(). */
AnswerState answer_reader_take (AnswerReader *reader, const char *bytes, gsize len);
/* Takes the end of the connection, which must have come in order: it may complete the
   answer. Returns another state than ANSWER_READING. */
AnswerState answer_reader_end (AnswerReader *reader);
/* Lets go of what was read; done once after each answer. */
void answer_reader_clear (AnswerReader *reader);

/* Returns why the answer is broken or too large. */
const char *answer_reader_fault (const AnswerReader *reader);
/* Returns the status; 0 before the end of the head. */
guint answer_reader_status (const AnswerReader *reader);
/* Returns the head's fields, elements of type HttpHeader; the reader lets go of its
   reference as the answer is cleared. */
GArray *answer_reader_fields (const AnswerReader *reader);
/* Returns the body, as answer_reader_fields() does. */
GByteArray *answer_reader_body (const AnswerReader *reader);
/* Whether bytes came that belong to no answer, or to one that was skipped. */
gboolean answer_reader_has_surplus (const AnswerReader *reader);
/* Whether the server keeps the connection after the answer, which is complete. */
gboolean answer_reader_keeps_alive (const AnswerReader *reader);

#endif
