/* The HTTP client against a server that writes its answer as the test says. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <fcntl.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <io/http-client.h>
#include <io/socket.h>

#define ANSWER_MAX 10000
#define TIMEOUT_US (5 * SECOND_US)
/* Long before the time-out. */
#define ENDED_WITHIN_US (2 * SECOND_US)

typedef struct
{
  Loop *loop;
  int listener;
  const char *answer;
  HttpCallOutcome outcome;
  guint status;
} Fixture;

/* Answers one request, and waits until the caller closes. */
static gpointer
serve (gpointer data)
{
  const Fixture *fixture = data;
  int fd = accept (fixture->listener, NULL, NULL);
  char request[4096];

  assert_true (recv (fd, request, sizeof request, 0) > 0);
  send (fd, fixture->answer, strlen (fixture->answer), MSG_NOSIGNAL);
  while (recv (fd, request, sizeof request, 0) > 0)
    continue;
  close (fd);
  return NULL;
}

static void
on_done (const HttpResult *result, gpointer data)
{
  Fixture *fixture = data;

  fixture->outcome = result->outcome;
  fixture->status = result->status;
  loop_quit (fixture->loop);
}

/* Makes one call, and returns its result. */
static Fixture
call (const char *answer)
{
  Clock *clock = clock_create_boottime ();
  Fixture fixture = { .loop = loop_create (clock), .answer = answer };
  HttpClient *client = http_client_create (fixture.loop);
  struct sockaddr_in address = { 0 };
  socklen_t len = sizeof address;
  gint64 began_us = clock_now (clock);
  g_autofree char *url = NULL;
  HttpCallParams order = { .method = "GET",
                           .timeout_us = TIMEOUT_US,
                           .answer_max = ANSWER_MAX };
  GThread *server;

  fixture.listener = socket_listen ("127.0.0.1:0", NULL);
  assert_true (fixture.listener >= 0);
  fcntl (fixture.listener, F_SETFL, 0);
  getsockname (fixture.listener, (struct sockaddr *)&address, &len);
  url = g_strdup_printf ("http://127.0.0.1:%u/", ntohs (address.sin_port));
  order.url = url;
  server = g_thread_new ("server", serve, &fixture);
  http_client_send (client, &order, on_done, &fixture);
  loop_run (fixture.loop);
  assert_in_range (clock_now (clock) - began_us, 0, ENDED_WITHIN_US);
  http_client_destroy (client);
  g_thread_join (server);
  close (fixture.listener);
  loop_destroy (fixture.loop);
  clock_destroy (clock);
  return fixture;
}

/* An invalid status was waited on as an interim answer, or reached the caller. */
static void
test_an_invalid_status_is_taken_for_an_answer (void **state)
{
  static const char *const invalid[] = { "000", "0",   "20",  "099",
                                         "101", "600", "999", "0200" };

  for (gsize i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      g_autofree char *answer = g_strdup_printf (
          "HTTP/1.1 %s Odd\r\nContent-Length: 5\r\n\r\nhello", invalid[i]);
      Fixture fixture = call (answer);

      if (fixture.outcome != HTTP_CALL_BROKEN)
        fail_msg ("%s: outcome %d, status %u", invalid[i], fixture.outcome,
                  fixture.status);
    }
}

static void
test_a_valid_status_is_an_answer (void **state)
{
  static const char *const before[] = { "", "HTTP/1.1 103 Early Hints\r\n\r\n" };
  static const char *const reasons[] = { " Odd", " ", "" };

  for (gsize i = 0; i < G_N_ELEMENTS (before); i++)
    for (gsize j = 0; j < G_N_ELEMENTS (reasons); j++)
      {
        g_autofree char *answer = g_strdup_printf (
            "%sHTTP/1.1 599%s\r\nContent-Length: 5\r\n\r\nhello", before[i], reasons[j]);
        Fixture fixture = call (answer);

        assert_int_equal (fixture.outcome, HTTP_CALL_OK);
        assert_int_equal (fixture.status, 599);
      }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_an_invalid_status_is_taken_for_an_answer),
    cmocka_unit_test (test_a_valid_status_is_an_answer),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
