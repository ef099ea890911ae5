/*
 * A server that writes the bytes of a script as its answer to each request, and ends the
 * connection as the script says. A thread serves each connection.
 */
#ifndef IO_TESTS_ANSWER_SERVER_H
#define IO_TESTS_ANSWER_SERVER_H

#include <glib.h>

/* Stands in an answer for the value of the request's header that the script names. */
#define ANSWER_ATTEMPT "%ATTEMPT%"

/* When the answer is written. */
typedef enum
{
  ANSWER_AFTER_REQUEST, /* the whole request has been read */
  ANSWER_EARLY          /* the head has been read; the body stays unread */
} AnswerMoment;

/* What follows the answer. */
typedef enum
{
  ANSWER_STAYS,        /* nothing; the client ends the connection */
  ANSWER_CLOSES,       /* a close; the kernel resets the connection if bytes are unread */
  ANSWER_SHUTS,        /* the sending side is closed; what comes is read and dropped */
  ANSWER_SHUTS_RESETS, /* the sending side is closed, and the connection reset later */
  ANSWER_RESETS
} AnswerEnd;

typedef struct
{
  const char *answer;
  gsize answer_len;         /* 0 for a text */
  const char *attempt_name; /* a header of the request; NULL if no answer echoes one */
  AnswerMoment moment;
  AnswerEnd end;
  gint64 pause_us; /* between the answer and its end */
} AnswerScript;

typedef struct AnswerServer AnswerServer;

/* Starts a server; `address` is "127.0.0.1:0" for a free port. The script is borrowed.
   Returns NULL if it cannot listen. */
AnswerServer *answer_server_create (const char *address, const AnswerScript *script);
/* Ends all connections, and the threads. */
void answer_server_destroy (AnswerServer *server);

/* Returns the address that the server listens at. */
const char *answer_server_address (const AnswerServer *server);
/* Returns the number of requests that were answered by the script. */
guint answer_server_answered (const AnswerServer *server);

#endif
