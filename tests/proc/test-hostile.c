/*
 * Callers that send malformed or partial requests. Each gets an error, nothing of its
 * request runs, and other callers are not delayed.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <io/socket.h>

#include "fleet.h"
#include "requests-fleet.h"

#define READ_MAX 4096

/* Sends the bytes unchanged, half-closes the connection if asked, and returns all that is
   read until its end. */
static char *
send_raw (const char *bytes, gboolean half_close)
{
  g_autofree char *address = fleet_address ("callers", 0);
  struct sockaddr_in to;
  char buffer[READ_MAX];
  GString *text = g_string_new (NULL);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  gssize n;

  assert_true (socket_address_parse (address, &to));
  assert_int_equal (connect (fd, (struct sockaddr *)&to, sizeof to), 0);
  assert_int_equal (send (fd, bytes, strlen (bytes), MSG_NOSIGNAL), strlen (bytes));
  if (half_close)
    shutdown (fd, SHUT_WR);
  while ((n = recv (fd, buffer, sizeof buffer, 0)) > 0)
    g_string_append_len (text, buffer, n);
  close (fd);
  return g_string_free (text, FALSE);
}

static void
expect_raw (const char *bytes, gboolean half_close, const char *status)
{
  g_autofree char *text = send_raw (bytes, half_close);

  if (!strstr (text, status))
    fail_msg ("%.60s...: %s", bytes, text);
}

static void
test_hostile_callers_get_errors_and_delay_nobody (void **state)
{
  Fleet *fleet = requests_start (1, 2);
  g_autofree char *junk = g_strnfill (60000, 'x');
  g_autofree char *large =
      g_strdup_printf ("GET /read HTTP/1.1\r\nHost: a\r\nX-Junk: %s\r\n\r\n", junk);

  expect_raw (
      "POST /pay HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n"
      "Connection: close\r\n\r\nabc",
      FALSE, " 400 ");
  expect_raw ("POST /pay HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
              "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n0\r\n\r\n",
              FALSE, " 400 ");
  expect_raw ("POST /pay HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n"
              "Connection: close\r\n\r\n",
              FALSE, " 413 ");
  expect_raw (large, FALSE, " 431 ");
  expect_raw ("GET /read/../pay HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", FALSE,
              " 400 ");
  expect_raw ("GET /elsewhere HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", FALSE,
              " 404 ");
  /* A request that is half-closed in its middle gets no answer, and nothing runs. */
  g_free (send_raw ("POST /pay HTTP/1.1\r\nHost: a\r\nX-Request-Id: id-half\r\n"
                    "Content-Length: 10\r\n\r\nabc",
                    TRUE));
  assert_int_equal (fleet_runs (fleet, 0, "id-half"), 0);
  /* A caller that never ends its header gets an answer and is disconnected. */
  expect_raw ("GET /read HTTP/1.1\r\nHost: a\r\nX-Slow: ", FALSE, " 408 ");
  requests_expect (fleet, "POST", "/pay", "id-after", "done", "id-after");
  fleet_destroy (fleet);
}

/* Expects one answer, a refusal, and then the end of the connection, because the bytes
   after the header must not be taken for the next request. */
static void
expect_refusal (const char *bytes)
{
  g_autofree char *text = send_raw (bytes, FALSE);

  if (!strstr (text, " 400 ") || strstr (text + 1, "HTTP/1.1 "))
    fail_msg ("%.60s...: %s", bytes, text);
}

static void
test_ambiguous_header_lines_are_refused (void **state)
{
  Fleet *fleet = requests_start (1, 2);

  expect_refusal ("POST /pay HTTP/1.1\r\nHost: a\r\nX-Request-Id: id-blank\r\n"
                  "Content-Length : 5\r\n\r\nhello");
  expect_refusal ("POST /pay HTTP/1.1\r\nHost: a\r\nX-Request-Id: id-tab\r\n"
                  "Content-Length\t: 5\r\n\r\nhello");
  /* libmicrohttpd refuses this by itself, and sends the header of its answer twice. */
  expect_raw ("POST /pay HTTP/1.1\r\nHost: a\r\nX-Request-Id: id-sign\r\n"
              "Content-Length: +5\r\n\r\nhello",
              FALSE, " 400 ");
  expect_refusal ("GET /read HTTP/1.1\r\nHost: a\r\nX-Odd: a\001b\r\n\r\n");
  expect_refusal ("GET /read HTTP/1.1\r\nHost: a\r\nX(Odd): a\r\n\r\n");
  assert_int_equal (fleet_runs (fleet, 0, "id-blank"), 0);
  assert_int_equal (fleet_runs (fleet, 0, "id-tab"), 0);
  assert_int_equal (fleet_runs (fleet, 0, "id-sign"), 0);
  /* Chunked bodies and pipelining stay accepted. */
  expect_raw ("POST /pay HTTP/1.1\r\nHost: a\r\nX-Request-Id: id-chunks\r\n"
              "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
              "5\r\nhello\r\n0\r\n\r\n",
              FALSE, " 200 ");
  expect_raw ("GET /read HTTP/1.1\r\nHost: a\r\n\r\n"
              "GET /read HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
              FALSE, " 200 ");
  assert_int_equal (fleet_runs (fleet, 0, "id-chunks"), 1);
  /* A chunk without a size and a body that ends one byte short run nothing. */
  g_free (send_raw ("POST /pay HTTP/1.1\r\nHost: a\r\nX-Request-Id: id-chunk\r\n"
                    "Transfer-Encoding: chunked\r\n\r\nxyz\r\nhello\r\n0\r\n\r\n",
                    TRUE));
  g_free (send_raw ("POST /pay HTTP/1.1\r\nHost: a\r\nX-Request-Id: id-short\r\n"
                    "Content-Length: 5\r\n\r\nhell",
                    TRUE));
  assert_int_equal (fleet_runs (fleet, 0, "id-chunk"), 0);
  assert_int_equal (fleet_runs (fleet, 0, "id-short"), 0);
  fleet_destroy (fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_teardown (test_hostile_callers_get_errors_and_delay_nobody,
                               fleet_teardown),
    cmocka_unit_test_teardown (test_ambiguous_header_lines_are_refused, fleet_teardown),
  };

  signal (SIGPIPE, SIG_IGN);
  cmocka_set_test_filter (g_getenv ("CMOCKA_TEST_FILTER"));
  return cmocka_run_group_tests (tests, NULL, NULL);
}
