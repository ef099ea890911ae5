#include "answer-play.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <string.h>
#include <sys/socket.h>

#include <io/http-link.h>
#include <io/socket.h>

#define ANSWER_MAX (1024u * 1024)
#define TIMEOUT_US (5 * SECOND_US)
/* Long before the time-out. */
#define ENDED_WITHIN_US (2 * SECOND_US)
/* Time in which a server's thread answers and ends the connection. */
#define STALL_US (100 * MS_US)
typedef void (*Reader) (AnswerPlay *exchange);

static char upload[ANSWER_UPLOAD_LEN];

static void
on_done (const HttpResult *result, gpointer data)
{
  AnswerPlay *exchange = data;

  exchange->outcome = result->outcome;
  exchange->status = result->status;
  exchange->detail = g_strdup (result->detail);
  g_string_append_len (exchange->body, (const char *)result->body->data,
                       result->body->len);
  exchange->headers = g_array_ref (result->headers);
  loop_quit (exchange->loop);
}

static void
run_link (AnswerPlay *exchange, HttpLink *link, gint64 stall_us)
{
  HttpLinkRequest request = { .method = exchange->method,
                              .path = "/",
                              .body = upload,
                              .body_len = exchange->body_len,
                              .has_body = exchange->body_len > 0,
                              .timeout_us = TIMEOUT_US,
                              .answer_max = ANSWER_MAX };

  http_link_send (link, &request, on_done, exchange);
  g_usleep ((gulong)stall_us);
  loop_run (exchange->loop);
  http_link_destroy (link);
}

static void
read_by_link (AnswerPlay *exchange)
{
  run_link (exchange, http_link_create (exchange->loop, exchange->address), 0);
}

/* The server has answered and ended the connection before the link looks. */
static void
read_by_stalled_link (AnswerPlay *exchange)
{
  int fd = socket_connect (exchange->address);
  HttpLink *link;

  while (socket_error (fd) == 0 && send (fd, "", 0, MSG_NOSIGNAL) < 0)
    continue;
  link = http_link_adopt (exchange->loop, exchange->address, fd);
  run_link (exchange, link, STALL_US);
}

static void
read_by_client (AnswerPlay *exchange)
{
  g_autofree char *url = g_strdup_printf ("http://%s/", exchange->address);
  HttpCallParams order = { .method = exchange->method,
                           .url = url,
                           .body = upload,
                           .body_len = exchange->body_len,
                           .has_body = exchange->body_len > 0,
                           .timeout_us = TIMEOUT_US,
                           .answer_max = ANSWER_MAX };
  HttpClient *client = http_client_create (exchange->loop);

  http_client_send (client, &order, on_done, exchange);
  loop_run (exchange->loop);
  http_client_destroy (client);
}

static const struct
{
  const char *name;
  Reader read;
} readers[ANSWER_BY_COUNT] = {
  [ANSWER_BY_LINK] = { "link", read_by_link },
  [ANSWER_BY_STALLED_LINK] = { "stalled link", read_by_stalled_link },
  [ANSWER_BY_CLIENT] = { "client", read_by_client },
};

AnswerPlay
answer_play (AnswerBy reader,
             const AnswerScript *script,
             const char *method,
             gsize body_len)
{
  AnswerServer *server = answer_server_create ("127.0.0.1:0", script);
  Clock *clock = clock_create_boottime ();
  gint64 began_us = clock_now (clock);
  AnswerPlay exchange = { .loop = loop_create (clock),
                          .address = answer_server_address (server),
                          .method = method,
                          .body_len = body_len,
                          .body = g_string_new (NULL) };

  readers[reader].read (&exchange);
  assert_in_range (clock_now (clock) - began_us, 0, ENDED_WITHIN_US);
  answer_server_destroy (server);
  loop_destroy (exchange.loop);
  clock_destroy (clock);
  return exchange;
}

void
answer_play_clear (AnswerPlay *exchange)
{
  g_free (exchange->detail);
  g_string_free (exchange->body, TRUE);
  g_array_unref (exchange->headers);
}

/* Returns what messages call an answer; the caller frees it. */
static char *
describe (const AnswerScript *script, const char *reader)
{
  g_autofree char *start = g_strescape (script->answer, NULL);

  return g_strdup_printf ("%.100s (end %d, pause %d ms, %s)", start, script->end,
                          (int)(script->pause_us / 1000), reader);
}

void
answer_expect_broken (AnswerBy reader,
                      const AnswerScript *script,
                      const char *method,
                      gsize body_len)
{
  AnswerPlay exchange = answer_play (reader, script, method, body_len);
  g_autofree char *name = describe (script, readers[reader].name);

  if (exchange.outcome != HTTP_CALL_BROKEN)
    fail_msg ("%s: outcome %d, status %u, %zu bytes", name, exchange.outcome,
              exchange.status, exchange.body->len);
  answer_play_clear (&exchange);
}

void
answer_expect_broken_by_all (const AnswerScript *script,
                             const char *method,
                             gsize body_len)
{
  for (AnswerBy i = 0; i < ANSWER_BY_COUNT; i++)
    answer_expect_broken (i, script, method, body_len);
}

void
answer_expect_whole (AnswerBy reader,
                     const AnswerScript *script,
                     const char *method,
                     gsize body_len,
                     const char *body)
{
  AnswerPlay exchange = answer_play (reader, script, method, body_len);
  g_autofree char *name = describe (script, readers[reader].name);

  if (exchange.outcome != HTTP_CALL_OK || strcmp (exchange.body->str, body) != 0)
    fail_msg ("%s: outcome %d (%s), status %u, %zu bytes", name, exchange.outcome,
              exchange.detail, exchange.status, exchange.body->len);
  answer_play_clear (&exchange);
}

void
answer_expect_whole_by_all (const AnswerScript *script,
                            const char *method,
                            gsize body_len,
                            const char *body)
{
  for (AnswerBy i = 0; i < ANSWER_BY_COUNT; i++)
    answer_expect_whole (i, script, method, body_len, body);
}

void
answer_expect_all_broken (const char *const *answers, gsize count)
{
  for (gsize i = 0; i < count; i++)
    {
      AnswerScript script = { .answer = answers[i], .end = ANSWER_CLOSES };

      answer_expect_broken (ANSWER_BY_LINK, &script, "GET", 0);
      answer_expect_broken (ANSWER_BY_CLIENT, &script, "GET", 0);
    }
}

void
answer_expect_all_whole (const char *const *answers, gsize count, const char *body)
{
  for (gsize i = 0; i < count; i++)
    {
      AnswerScript script = { .answer = answers[i], .end = ANSWER_CLOSES };

      answer_expect_whole (ANSWER_BY_LINK, &script, "GET", 0, body);
      answer_expect_whole (ANSWER_BY_CLIENT, &script, "GET", 0, body);
    }
}
