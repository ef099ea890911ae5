/* One connection to an HTTP server for several exchanges: what each answer allows,
 * against a server that writes its bytes as the test says. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <io/http-link.h>
#include <io/socket.h>

#define ANSWER_MAX 10000
#define TIMEOUT_US (5 * SECOND_US)
#define WHOLE(id) "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nId: " id "\r\n\r\nhello"

typedef struct
{
  Clock *clock;
  Loop *loop;
  int listener;
  char *address;
  int server; /* the accepted connection; -1 for none */
  HttpLink *link;
  HttpCallOutcome outcome;
  guint status;
  GString *body;
  GString *id;
  gboolean ended;
  HttpLinkState lost;
} Fixture;

static Fixture *
setup (void)
{
  Fixture *fixture = g_new0 (Fixture, 1);
  struct sockaddr_in address = { 0 };
  socklen_t len = sizeof address;

  fixture->clock = clock_create_boottime ();
  fixture->loop = loop_create (fixture->clock);
  fixture->listener = socket_listen ("127.0.0.1:0", NULL);
  assert_true (fixture->listener >= 0);
  getsockname (fixture->listener, (struct sockaddr *)&address, &len);
  fixture->address = g_strdup_printf ("127.0.0.1:%u", ntohs (address.sin_port));
  fixture->server = -1;
  fixture->body = g_string_new (NULL);
  fixture->id = g_string_new (NULL);
  fixture->link = http_link_create (fixture->loop, fixture->address);
  return fixture;
}

static void
teardown (Fixture *fixture)
{
  http_link_destroy (fixture->link);
  if (fixture->server >= 0)
    close (fixture->server);
  close (fixture->listener);
  g_free (fixture->address);
  loop_destroy (fixture->loop);
  clock_destroy (fixture->clock);
  g_string_free (fixture->body, TRUE);
  g_string_free (fixture->id, TRUE);
  g_free (fixture);
}

static void
on_done (const HttpResult *result, gpointer data)
{
  Fixture *fixture = data;
  const char *id = http_headers_get (result->headers, "Id");

  fixture->outcome = result->outcome;
  fixture->status = result->status;
  g_string_assign (fixture->id, id ? id : "");
  g_string_truncate (fixture->body, 0);
  g_string_append_len (fixture->body, (const char *)result->body->data,
                       result->body->len);
  fixture->ended = TRUE;
  loop_quit (fixture->loop);
}

static gboolean
is_foreign (guint status, const GArray *headers, gpointer data)
{
  return g_strcmp0 (http_headers_get (headers, "Id"), "own") != 0;
}

/* What the server does once the request has arrived. */
typedef struct
{
  Fixture *fixture;
  const char *const *parts; /* written one after the other; NULL-terminated */
  guint next;
  gboolean closes;
  gboolean resets;
  gboolean forgets; /* resets the connection as any byte comes, and plays nothing */
  GString *heard;
  LoopTimer *timer;
} Script;

static void
set_reset (int fd)
{
  struct linger at_once = { .l_onoff = 1 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

static void
play (gpointer data)
{
  Script *script = data;
  Fixture *fixture = script->fixture;
  const char *part = script->parts[script->next];

  if (part)
    {
      assert_int_equal (send (fixture->server, part, strlen (part), MSG_NOSIGNAL),
                        strlen (part));
      script->next++;
      loop_timer_start (script->timer, 2 * MS_US);
      return;
    }
  if (script->resets)
    set_reset (fixture->server);
  if (script->closes || script->resets)
    {
      close (fixture->server);
      fixture->server = -1;
    }
}

static void
on_request (int fd, LoopEvents ready, gpointer data)
{
  Script *script = data;
  char buffer[65536];
  gssize n;

  if (script->forgets)
    {
      set_reset (fd);
      close (fd);
      script->fixture->server = -1;
      return;
    }
  n = recv (fd, buffer, sizeof buffer, 0);
  if (n <= 0)
    return;
  g_string_append_len (script->heard, buffer, n);
  if (script->next == 0 && strstr (script->heard->str, " HTTP/1.1"))
    play (script);
}

/* Sends a request and plays the script. */
static void
exchange_request (Fixture *fixture, Script *script, const HttpLinkRequest *request)
{
  LoopFd *watch;

  script->fixture = fixture;
  script->heard = g_string_new (NULL);
  script->timer = loop_timer_create (fixture->loop, play, script);
  while (fixture->server < 0)
    fixture->server = socket_accept (fixture->listener);
  watch = loop_fd_create (fixture->loop, fixture->server, LOOP_READ, on_request, script);
  fixture->ended = FALSE;
  http_link_send (fixture->link, request, on_done, fixture);
  loop_run (fixture->loop);
  assert_true (fixture->ended);
  loop_fd_destroy (watch);
  loop_timer_destroy (script->timer);
  g_string_free (script->heard, TRUE);
}

static void
exchange_script (Fixture *fixture, Script *script)
{
  HttpLinkRequest request = { .method = "GET",
                              .path = "/",
                              .timeout_us = TIMEOUT_US,
                              .answer_max = ANSWER_MAX,
                              .is_foreign = is_foreign };

  exchange_request (fixture, script, &request);
}

/* Plays one answer of several parts, and returns whether the link may be used again. */
static gboolean
exchange (Fixture *fixture, const char *const *parts)
{
  Script script = { .parts = parts };

  exchange_script (fixture, &script);
  return http_link_is_reusable (fixture->link);
}

static gboolean
exchange_one (Fixture *fixture, const char *answer)
{
  const char *const parts[] = { answer, NULL };

  return exchange (fixture, parts);
}

static void
expect_whole (const Fixture *fixture, const char *body)
{
  assert_int_equal (fixture->outcome, HTTP_CALL_OK);
  assert_int_equal (fixture->status, 200);
  assert_string_equal (fixture->body->str, body);
}

static void
test_a_link_carries_several_exchanges (void **state)
{
  Fixture *fixture = setup ();
  const char *const chunks[] = { "HTTP/1.1 200 OK\r\nTransfer-Enc",
                                 "oding: chunked\r\nId: own\r\n\r\n5\r\nhe",
                                 "llo\r\n6\r\n world\r\n0\r\n\r\n", NULL };
  const char *const interim[] = { "HTTP/1.1 103 Early Hints\r\nId: x\r\n\r\n",
                                  WHOLE ("own"), NULL };

  assert_true (exchange_one (fixture, WHOLE ("own")));
  expect_whole (fixture, "hello");
  assert_true (exchange (fixture, chunks));
  expect_whole (fixture, "hello world");
  assert_true (exchange (fixture, interim));
  expect_whole (fixture, "hello");
  assert_string_equal (fixture->id->str, "own");
  assert_true (exchange_one (fixture, "HTTP/1.1 204 No Content\r\nId: own\r\n\r\n"));
  assert_int_equal (http_link_wake (fixture->link), HTTP_LINK_QUIET);
  teardown (fixture);
}

/* Plays one answer on a new link, which must not be used again. */
static void
expect_last (const char *answer, gboolean closes, HttpCallOutcome outcome)
{
  Fixture *fixture = setup ();
  const char *const parts[] = { answer, NULL };
  Script script = { .parts = parts, .closes = closes };

  exchange_script (fixture, &script);
  if (fixture->outcome != outcome || http_link_is_reusable (fixture->link))
    fail_msg ("%s: outcome %d", answer, fixture->outcome);
  teardown (fixture);
}

static void
test_answers_after_which_a_link_is_not_used_again (void **state)
{
  expect_last (WHOLE ("own") "junk", FALSE, HTTP_CALL_OK);
  expect_last (WHOLE ("own") WHOLE ("own"), FALSE, HTTP_CALL_OK);
  expect_last ("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", FALSE,
               HTTP_CALL_OK);
  expect_last ("HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", FALSE, HTTP_CALL_OK);
  expect_last ("HTTP/1.1 200 OK\r\n\r\nno length", TRUE, HTTP_CALL_OK);
  expect_last ("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", TRUE,
               HTTP_CALL_BROKEN);
  expect_last ("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
               FALSE, HTTP_CALL_BROKEN);
  expect_last ("HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\n", TRUE,
               HTTP_CALL_BROKEN);
  expect_last ("no answer at all\r\n\r\n", FALSE, HTTP_CALL_BROKEN);
  expect_last ("", TRUE, HTTP_CALL_BROKEN);
}

/* An invalid status was waited on as an interim answer, or reached the caller. */
static void
test_an_invalid_status_is_taken_for_an_answer (void **state)
{
  static const char *const invalid[] = { "000", "0",   "20",  "099",
                                         "101", "600", "999", "0200" };

  for (gsize i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      g_autofree char *bare = g_strdup_printf (
          "HTTP/1.1 %s Odd\r\nContent-Length: 5\r\nId: own\r\n\r\nhello", invalid[i]);
      g_autofree char *before_answer = g_strconcat (bare, WHOLE ("own"), NULL);

      expect_last (bare, FALSE, HTTP_CALL_BROKEN);
      expect_last (before_answer, FALSE, HTTP_CALL_BROKEN);
    }
  expect_last ("HTTP/1.1 599 Odd\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
               FALSE, HTTP_CALL_OK);
}

static void
test_an_answer_that_is_reset_in_transit_is_not_whole (void **state)
{
  Fixture *fixture = setup ();
  const char *const parts[] = { "HTTP/1.1 200 OK\r\n\r\nno length", NULL };
  Script script = { .parts = parts, .resets = TRUE };

  exchange_script (fixture, &script);
  assert_int_equal (fixture->outcome, HTTP_CALL_BROKEN);
  assert_false (http_link_is_reusable (fixture->link));
  teardown (fixture);
}

static void
test_an_answer_to_an_earlier_request_is_skipped (void **state)
{
  Fixture *fixture = setup ();
  const char *const late[] = { WHOLE ("other"), WHOLE ("own"), NULL };

  /* On a new link there is no earlier request: the answer is returned as it is. */
  exchange_one (fixture, WHOLE ("other"));
  assert_string_equal (fixture->id->str, "other");
  exchange (fixture, late);
  assert_int_equal (fixture->outcome, HTTP_CALL_OK);
  assert_string_equal (fixture->id->str, "own");
  assert_string_equal (fixture->body->str, "hello");
  assert_true (http_link_had_surplus (fixture->link));
  assert_false (http_link_is_reusable (fixture->link));
  teardown (fixture);
}

/* The answer that is skipped and the one that is due come in one read. */
static void
test_an_answer_behind_a_skipped_one_is_read (void **state)
{
  static const char *const pairs[] = {
    WHOLE ("other") WHOLE ("own"),
    WHOLE ("other") "HTTP/1.1 103 Early Hints\r\n\r\n" WHOLE ("own"),
    WHOLE ("other") WHOLE ("another") WHOLE ("own"),
    "HTTP/1.1 204 No Content\r\nId: other\r\n\r\n" WHOLE ("own"),
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: other\r\n\r\n"
    "2\r\nno\r\n0\r\n\r\n" WHOLE ("own"),
  };

  for (gsize i = 0; i < G_N_ELEMENTS (pairs); i++)
    {
      Fixture *fixture = setup ();

      exchange_one (fixture, WHOLE ("own"));
      exchange_one (fixture, pairs[i]);
      if (fixture->outcome != HTTP_CALL_OK || strcmp (fixture->id->str, "own") != 0 ||
          strcmp (fixture->body->str, "hello") != 0)
        fail_msg ("%s: outcome %d, id %s", pairs[i], fixture->outcome, fixture->id->str);
      assert_true (http_link_had_surplus (fixture->link));
      assert_false (http_link_is_reusable (fixture->link));
      teardown (fixture);
    }
}

static void
test_a_malformed_answer_behind_a_skipped_one_is_broken (void **state)
{
  Fixture *fixture = setup ();

  exchange_one (fixture, WHOLE ("own"));
  exchange_one (fixture, WHOLE ("other") "HTTP/1.1 200 OK\r\nId: own\r\nX Y: z\r\n"
                                         "Content-Length: 5\r\n\r\nhello");
  assert_int_equal (fixture->outcome, HTTP_CALL_BROKEN);
  teardown (fixture);
}

static void
test_an_answer_before_a_long_request_was_read_ends_the_link (void **state)
{
  static char body[8 * 1024 * 1024];
  HttpLinkRequest request = { .method = "POST",
                              .path = "/",
                              .body = body,
                              .has_body = TRUE,
                              .timeout_us = TIMEOUT_US,
                              .answer_max = ANSWER_MAX };
  const char *const parts[] = { "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n",
                                NULL };

  for (request.body_len = 20000; request.body_len <= sizeof body; request.body_len *= 20)
    {
      Fixture *fixture = setup ();
      Script script = { .parts = parts };

      exchange_request (fixture, &script, &request);
      assert_int_equal (fixture->outcome, HTTP_CALL_OK);
      assert_int_equal (fixture->status, 413);
      assert_false (http_link_is_reusable (fixture->link));
      teardown (fixture);
    }
}

static void
test_a_silent_server_ends_in_a_timeout (void **state)
{
  Fixture *fixture = setup ();
  const char *const nothing[] = { NULL };
  Script script = { .parts = nothing };
  HttpLinkRequest request = {
    .method = "GET", .path = "/", .timeout_us = 50 * MS_US, .answer_max = ANSWER_MAX
  };

  exchange_request (fixture, &script, &request);
  assert_int_equal (fixture->outcome, HTTP_CALL_TIMEOUT);
  assert_false (http_link_is_reusable (fixture->link));
  assert_false (http_link_has_heard (fixture->link));
  teardown (fixture);
}

static void
test_a_too_large_answer_is_not_held (void **state)
{
  Fixture *fixture = setup ();
  g_autofree char *junk = g_strnfill (ANSWER_MAX + 1, 'x');
  const char *const parts[] = { "HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\n", junk,
                                NULL };

  exchange (fixture, parts);
  assert_int_equal (fixture->outcome, HTTP_CALL_TOO_LARGE);
  assert_false (http_link_is_reusable (fixture->link));
  teardown (fixture);
}

static void
test_a_refused_connection_sends_nothing (void **state)
{
  Fixture *fixture = setup ();
  HttpLinkRequest request = {
    .method = "GET", .path = "/", .timeout_us = TIMEOUT_US, .answer_max = ANSWER_MAX
  };

  http_link_destroy (fixture->link);
  fixture->link = http_link_create (fixture->loop, "127.0.0.1:1");
  http_link_send (fixture->link, &request, on_done, fixture);
  loop_run (fixture->loop);
  assert_int_equal (fixture->outcome, HTTP_CALL_UNSENT);
  teardown (fixture);
}

/* Plays a script after a first exchange; the request waits for a probe. */
static void
exchange_probed (Fixture *fixture, Script *script)
{
  HttpLinkRequest request = { .method = "POST",
                              .path = "/",
                              .timeout_us = TIMEOUT_US,
                              .probe_us = 5 * MS_US,
                              .answer_max = ANSWER_MAX };

  assert_true (exchange_one (fixture, WHOLE ("own")));
  exchange_request (fixture, script, &request);
}

static void
test_a_probe_finds_a_forgotten_connection_before_the_request (void **state)
{
  Fixture *fixture = setup ();
  const char *const whole[] = { WHOLE ("own"), NULL };
  Script forgets = { .forgets = TRUE };
  Script script = { .parts = whole };

  exchange_probed (fixture, &forgets);
  assert_int_equal (fixture->outcome, HTTP_CALL_UNSENT);
  assert_false (http_link_is_reusable (fixture->link));
  teardown (fixture);
  fixture = setup ();
  exchange_probed (fixture, &script);
  expect_whole (fixture, "hello");
  assert_true (http_link_is_reusable (fixture->link));
  teardown (fixture);
}

static void
on_lost (HttpLink *link, HttpLinkState now, gpointer data)
{
  Fixture *fixture = data;

  fixture->lost = now;
  loop_quit (fixture->loop);
}

static void
test_a_link_at_rest_tells_its_end (void **state)
{
  Fixture *fixture = setup ();

  assert_true (exchange_one (fixture, WHOLE ("own")));
  http_link_rest (fixture->link, on_lost, fixture);
  assert_int_equal (send (fixture->server, "x", 1, MSG_NOSIGNAL), 1);
  loop_run (fixture->loop);
  assert_int_equal (fixture->lost, HTTP_LINK_SURPLUS);
  teardown (fixture);
  fixture = setup ();
  assert_true (exchange_one (fixture, WHOLE ("own")));
  http_link_rest (fixture->link, on_lost, fixture);
  shutdown (fixture->server, SHUT_WR);
  loop_run (fixture->loop);
  assert_int_equal (fixture->lost, HTTP_LINK_CLOSED);
  assert_int_equal (http_link_wake (fixture->link), HTTP_LINK_CLOSED);
  teardown (fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_a_link_carries_several_exchanges),
    cmocka_unit_test (test_answers_after_which_a_link_is_not_used_again),
    cmocka_unit_test (test_an_invalid_status_is_taken_for_an_answer),
    cmocka_unit_test (test_an_answer_that_is_reset_in_transit_is_not_whole),
    cmocka_unit_test (test_an_answer_to_an_earlier_request_is_skipped),
    cmocka_unit_test (test_an_answer_behind_a_skipped_one_is_read),
    cmocka_unit_test (test_a_malformed_answer_behind_a_skipped_one_is_broken),
    cmocka_unit_test (test_an_answer_before_a_long_request_was_read_ends_the_link),
    cmocka_unit_test (test_a_silent_server_ends_in_a_timeout),
    cmocka_unit_test (test_a_too_large_answer_is_not_held),
    cmocka_unit_test (test_a_refused_connection_sends_nothing),
    cmocka_unit_test (test_a_probe_finds_a_forgotten_connection_before_the_request),
    cmocka_unit_test (test_a_link_at_rest_tells_its_end),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
