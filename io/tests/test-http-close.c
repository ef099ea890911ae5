/* Tests of connections that the server closes while bytes of the caller lie unread. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <io/http-server.h>
#include <io/socket.h>

#define ADDRESS "127.0.0.1:7991"
#define BODY_MAX 100000u
#define LARGE_BODY (4u * 1024 * 1024)
/* More than fits in the receive buffer of a caller. */
#define ANSWER_BYTES (1024u * 1024)
#define RECEIVE_BUFFER 16384
#define READ_US (300 * MS_US)
#define IDLE_US (300 * MS_US)
/* A sweep of the server comes after at most this time. */
#define SWEPT_US (600 * MS_US)
#define WORK_US (150 * MS_US)
#define PAUSE_US (10 * MS_US)
#define REQUEST "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
#define SLOW_HEAD "GET / HTTP/1.1\r\nHost: a\r\nX-Part: "

typedef struct
{
  Loop *loop;
  HttpServer *server;
  LoopTimer *work;
  HttpRequest *request; /* that is being worked on */
  char *body;
  guint handled;
  gboolean closing;  /* the server closes its connections after the next answer */
  gint thread_ended; /* accessed atomically */
} Fixture;

/* What a caller has received. */
typedef struct
{
  gsize bytes;
  gboolean sent; /* all that the caller had to send */
  gboolean reset;
  char head[32];
} Received;

static void
on_worked (gpointer data)
{
  Fixture *fixture = data;

  http_request_answer (fixture->request, 200, NULL, fixture->body, ANSWER_BYTES);
  http_request_unref (fixture->request);
}

static void
on_request (HttpRequest *request, gpointer data)
{
  Fixture *fixture = data;

  fixture->handled++;
  if (!fixture->closing)
    {
      http_request_answer_json (request, 200, "{}");
      return;
    }
  http_server_set_closing (fixture->server);
  fixture->request = http_request_ref (request);
  loop_timer_start (fixture->work, WORK_US);
}

static int
caller_connect (void)
{
  struct sockaddr_in to;
  int small = RECEIVE_BUFFER;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  socket_address_parse (ADDRESS, &to);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  assert_int_equal (connect (fd, (struct sockaddr *)&to, sizeof to), 0);
  return fd;
}

static gboolean
caller_send (int fd, const char *bytes, gsize len)
{
  while (len > 0)
    {
      gssize n = send (fd, bytes, len, MSG_NOSIGNAL);

      if (n <= 0)
        return FALSE;
      bytes += n;
      len -= (gsize)n;
    }
  return TRUE;
}

static gboolean
caller_send_text (int fd, const char *text)
{
  return caller_send (fd, text, strlen (text));
}

/* Reads slowly until the connection ends. */
static Received
caller_read (int fd, gboolean sent)
{
  Received received = { .sent = sent };
  char buffer[RECEIVE_BUFFER];
  gssize n;

  while ((n = recv (fd, buffer, sizeof buffer, 0)) > 0)
    {
      if (received.bytes == 0)
        memcpy (received.head, buffer, MIN ((gsize)n, sizeof received.head - 1));
      received.bytes += (gsize)n;
      g_usleep (MS_US);
    }
  received.reset = n < 0;
  close (fd);
  return received;
}

static gint64
quit_if_ended (gpointer data)
{
  Fixture *fixture = data;

  if (g_atomic_int_get (&fixture->thread_ended))
    loop_quit (fixture->loop);
  return PAUSE_US;
}

static int
setup (void **state)
{
  static const HttpLimits limits = {
    .connections_max = 100,
    .header_max = 32768,
    .body_max = BODY_MAX,
    .read_us = READ_US,
    .idle_us = IDLE_US,
  };
  Fixture *fixture = g_new0 (Fixture, 1);

  fixture->body = g_strnfill (ANSWER_BYTES, 'x');
  fixture->loop = loop_create (clock_create_boottime ());
  fixture->work = loop_timer_create (fixture->loop, on_worked, fixture);
  fixture->server =
      http_server_create (fixture->loop, ADDRESS, &limits, on_request, fixture, NULL);
  assert_non_null (fixture->server);
  loop_add_prepare (fixture->loop, quit_if_ended, fixture);
  *state = fixture;
  return 0;
}

static int
teardown (void **state)
{
  Fixture *fixture = *state;
  Clock *clock = loop_clock (fixture->loop);

  http_server_destroy (fixture->server);
  loop_timer_destroy (fixture->work);
  loop_destroy (fixture->loop);
  clock_destroy (clock);
  g_free (fixture->body);
  g_free (fixture);
  return 0;
}

typedef struct
{
  Fixture *fixture;
  void (*play) (Received *received);
  Received received;
} Caller;

static gpointer
run_caller (gpointer data)
{
  Caller *caller = data;

  caller->play (&caller->received);
  g_atomic_int_set (&caller->fixture->thread_ended, TRUE);
  return NULL;
}

/* Runs the server until the caller has ended. */
static Received
serve (Fixture *fixture, void (*play) (Received *received))
{
  Caller caller = { fixture, play, { 0 } };
  GThread *thread;

  g_atomic_int_set (&fixture->thread_ended, FALSE);
  thread = g_thread_new ("caller", run_caller, &caller);
  loop_run (fixture->loop);
  g_thread_join (thread);
  return caller.received;
}

/* Expects that the caller receives the whole answer to its first request, after which the
   server closes the connection. */
static void
expect_whole_answer (Fixture *fixture, void (*play) (Received *received))
{
  Received received;

  fixture->closing = TRUE;
  received = serve (fixture, play);
  assert_true (received.bytes > ANSWER_BYTES);
  assert_true (received.sent && !received.reset);
  assert_int_equal (fixture->handled, 1);
}

/* Sends a request, and another one while the server works on the first. */
static void
send_behind (const char *first, Received *received)
{
  int fd = caller_connect ();

  caller_send_text (fd, first);
  g_usleep (WORK_US / 3);
  *received = caller_read (fd, caller_send_text (fd, REQUEST));
}

static void
send_second_request (Received *received)
{
  send_behind (REQUEST, received);
}

/* libmicrohttpd closed the socket once the kernel had the answer. */
static void
test_a_close_cuts_an_answer_with_a_request_behind_it (void **state)
{
  expect_whole_answer (*state, send_second_request);
}

static void
send_on_after_last_request (Received *received)
{
  send_behind ("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", received);
}

/* The caller announces its last request, and sends another behind it. */
static void
test_a_caller_that_sends_on_after_its_last_request_loses_the_answer (void **state)
{
  expect_whole_answer (*state, send_on_after_last_request);
}

static void
send_large_body (Received *received)
{
  g_autofree char *body = g_strnfill (LARGE_BODY, 'b');
  int fd = caller_connect ();

  caller_send_text (fd, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4194304\r\n\r\n");
  *received = caller_read (fd, caller_send (fd, body, LARGE_BODY));
}

/* The refused body lies unread behind the request, all of it. */
static void
test_a_refused_body_resets_its_answer (void **state)
{
  Received received = serve (*state, send_large_body);

  assert_true (g_str_has_prefix (received.head, "HTTP/1.1 413"));
  assert_true (received.sent && !received.reset);
}

static void
send_large_chunk (Received *received)
{
  g_autofree char *body = g_strnfill (LARGE_BODY, 'b');
  int fd = caller_connect ();

  caller_send_text (
      fd, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n400000\r\n");
  *received = caller_read (fd, caller_send (fd, body, LARGE_BODY));
}

static void
test_a_body_in_chunks_that_is_too_large_gets_no_answer (void **state)
{
  Received received = serve (*state, send_large_chunk);

  assert_true (g_str_has_prefix (received.head, "HTTP/1.1 413"));
  assert_true (received.sent && !received.reset);
}

static void
send_bad_request (Received *received)
{
  g_autofree char *body = g_strnfill (LARGE_BODY, 'b');
  int fd = caller_connect ();

  caller_send_text (fd, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n");
  *received = caller_read (fd, caller_send (fd, body, LARGE_BODY));
}

static void
test_a_bad_request_with_bytes_behind_it_is_reset (void **state)
{
  Received received = serve (*state, send_bad_request);

  assert_true (g_str_has_prefix (received.head, "HTTP/1.1 400"));
  assert_true (received.sent && !received.reset);
}

static void
send_slowly (Received *received)
{
  int fd = caller_connect ();
  gboolean sent;

  caller_send_text (fd, SLOW_HEAD);
  g_usleep (READ_US + SWEPT_US);
  sent = caller_send_text (fd, "late");
  g_usleep (PAUSE_US);
  sent &= caller_send_text (fd, "\r\n\r\n");
  *received = caller_read (fd, sent);
}

/* The rest of the request arrives after the time for it is over. */
static void
test_a_request_that_is_refused_as_too_slow_is_reset (void **state)
{
  Fixture *fixture = *state;
  Received received = serve (fixture, send_slowly);

  assert_true (g_str_has_prefix (received.head, "HTTP/1.1 408"));
  assert_true (received.sent && !received.reset);
  assert_int_equal (fixture->handled, 0);
}

static int resting_fd;

static void
rest (Received *received)
{
  char last = 0;

  resting_fd = caller_connect ();
  caller_send_text (resting_fd, REQUEST);
  while (last != '}' && recv (resting_fd, &last, 1, 0) == 1)
    received->bytes++;
}

static void
read_on (Received *received)
{
  *received = caller_read (resting_fd, TRUE);
}

/* The server wakes up late, with a request on a connection that has rested too long. */
static void
test_a_request_on_a_connection_that_is_closed_at_rest_runs_unanswered (void **state)
{
  Fixture *fixture = *state;
  Received received = serve (fixture, rest);

  assert_true (received.bytes > 0);
  g_usleep (IDLE_US + SWEPT_US);
  assert_true (caller_send_text (resting_fd, REQUEST));
  received = serve (fixture, read_on);
  assert_int_equal (fixture->handled, received.bytes > 0 ? 2 : 1);
  assert_true (received.sent && !received.reset);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_a_close_cuts_an_answer_with_a_request_behind_it,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (
        test_a_caller_that_sends_on_after_its_last_request_loses_the_answer, setup,
        teardown),
    cmocka_unit_test_setup_teardown (test_a_refused_body_resets_its_answer, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (
        test_a_body_in_chunks_that_is_too_large_gets_no_answer, setup, teardown),
    cmocka_unit_test_setup_teardown (test_a_bad_request_with_bytes_behind_it_is_reset,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (test_a_request_that_is_refused_as_too_slow_is_reset,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (
        test_a_request_on_a_connection_that_is_closed_at_rest_runs_unanswered, setup,
        teardown),
  };

  cmocka_set_test_filter (g_getenv ("CMOCKA_TEST_FILTER"));
  return cmocka_run_group_tests (tests, NULL, NULL);
}
