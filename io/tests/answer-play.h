/*
 * Plays the answers of scripts to each reader of answers.
 */
#ifndef IO_TESTS_ANSWER_PLAY_H
#define IO_TESTS_ANSWER_PLAY_H

#include <io/http-client.h>

#include "answer-server.h"

/* The longest request, in bytes; more than the sockets' buffers take, so that the client
   still has bytes to write when an early answer comes. */
#define ANSWER_UPLOAD_LEN (8u * 1024 * 1024)

typedef enum
{
  ANSWER_BY_LINK,
  ANSWER_BY_STALLED_LINK, /* the server has ended the connection before the link looks */
  ANSWER_BY_CLIENT,
  ANSWER_BY_COUNT
} AnswerBy;

/* One exchange, and what became of it. */
typedef struct
{
  Loop *loop;
  const char *address;
  const char *method;
  gsize body_len; /* of the request */
  HttpCallOutcome outcome;
  guint status;
  char *detail;
  GString *body;
  GArray *headers;
} AnswerPlay;

/* Plays an exchange with a request of `body_len` bytes. Fails the test if the answer is
   waited on for long. The caller clears the result. */
AnswerPlay answer_play (AnswerBy reader,
                        const AnswerScript *script,
                        const char *method,
                        gsize body_len);
void answer_play_clear (AnswerPlay *exchange);

/* Plays an exchange, and fails the test unless the answer is broken. */
void answer_expect_broken (AnswerBy reader,
                           const AnswerScript *script,
                           const char *method,
                           gsize body_len);
void answer_expect_broken_by_all (const AnswerScript *script,
                                  const char *method,
                                  gsize body_len);
/* Plays an exchange, and fails the test unless the answer is whole and has this body. */
void answer_expect_whole (AnswerBy reader,
                          const AnswerScript *script,
                          const char *method,
                          gsize body_len,
                          const char *body);
void answer_expect_whole_by_all (const AnswerScript *script,
                                 const char *method,
                                 gsize body_len,
                                 const char *body);

/* Plays answers to a GET, each followed by a close, by a link and by the client. */
void answer_expect_all_broken (const char *const *answers, gsize count);
void answer_expect_all_whole (const char *const *answers, gsize count, const char *body);

#endif
