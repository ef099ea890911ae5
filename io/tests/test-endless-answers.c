/* Servers that send one part of an answer without end, as fast as it is read. Trailer
   fields took 497 MB of a node; chunk extensions were read until the time-out. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <io/http-client.h>
#include <io/http-link.h>
#include <io/socket.h>

#define ANSWER_MAX (1024u * 1024)
#define TIMEOUT_US (10 * SECOND_US)
/* An endless answer ends its exchange long before the time-out. */
#define ENDED_WITHIN_US (2 * SECOND_US)
/* What a server gets rid of: the bounds, and what the sockets buffer. */
#define SENT_MAX (24u * 1024 * 1024)
#define RESIDENT_MAX_KB (8 * 1024)
#define REPEATS 64u
#define HEAD "HTTP/1.1 200 OK\r\n"
#define CHUNKED HEAD "Transfer-Encoding: chunked\r\n\r\n"
/* A body lets the framing be as much longer. */
#define X16 "xxxxxxxxxxxxxxxx"
#define X256 X16 X16 X16 X16 X16 X16 X16 X16 X16 X16 X16 X16 X16 X16 X16 X16
#define X4096                                                                            \
  X256 X256 X256 X256 X256 X256 X256 X256 X256 X256 X256 X256 X256 X256 X256 X256
#define X65536                                                                           \
  X4096 X4096 X4096 X4096 X4096 X4096 X4096 X4096 X4096 X4096 X4096 X4096 X4096 X4096    \
      X4096 X4096
#define BODY_CHUNK                                                                       \
  "80000\r\n" X65536 X65536 X65536 X65536 X65536 X65536 X65536 X65536 "\r\n"

/* The address sanitizer reads its options here. It would keep memory that the code has
   freed, and the resident memory would not be the code's. */
const char *__asan_default_options (void); /* NOLINT */

const char *
__asan_default_options (void) /* NOLINT */
{
  return "quarantine_size_mb=0:thread_local_quarantine_size_kb=0";
}

typedef struct
{
  const char *name;
  const char *first;
  const char *rest; /* repeated without end */
  HttpCallOutcome outcome;
} Part;

static const Part parts[] = {
  { "junk", "", "no answer ", HTTP_CALL_BROKEN },
  { "empty lines", "", "\r\n", HTTP_CALL_BROKEN },
  { "reason phrase", "HTTP/1.1 200 ", "OK", HTTP_CALL_BROKEN },
  { "field name", HEAD, "X", HTTP_CALL_BROKEN },
  { "field value", HEAD "X: ", "x", HTTP_CALL_BROKEN },
  { "fields", HEAD, "X: y\r\n", HTTP_CALL_BROKEN },
  { "folded lines", HEAD "X: y\r\n", " z\r\n", HTTP_CALL_BROKEN },
  { "interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n", HTTP_CALL_BROKEN },
  { "chunk size", CHUNKED, "0", HTTP_CALL_BROKEN },
  { "chunk extension", CHUNKED "5;", "x", HTTP_CALL_BROKEN },
  { "chunk extensions", CHUNKED, "1;a=b;c=d;e=f\r\nx\r\n", HTTP_CALL_BROKEN },
  { "chunks", CHUNKED, "1\r\nx\r\n", HTTP_CALL_TOO_LARGE },
  { "trailer value", CHUNKED "0\r\nX: ", "x", HTTP_CALL_BROKEN },
  { "trailer value behind a body", CHUNKED BODY_CHUNK "0\r\nX: ", "x", HTTP_CALL_BROKEN },
  { "trailer fields", CHUNKED "0\r\n", "X: y\r\n", HTTP_CALL_BROKEN },
  { "body to the close", HEAD "\r\n", "xxxxxxxx", HTTP_CALL_TOO_LARGE },
};

typedef struct
{
  Loop *loop;
  Clock *clock;
  int listener;
  char *address;
  const Part *part;
  gsize sent; /* by the server; read after its thread has ended */
  HttpCallOutcome outcome;
  guint headers;
} Fixture;

/* Answers one request, and sends until the connection ends. */
static gpointer
serve (gpointer data)
{
  Fixture *fixture = data;
  g_autoptr (GString) rest = g_string_new (NULL);
  const char *first = fixture->part->first;
  int fd = accept (fixture->listener, NULL, NULL);
  char request[4096];
  gssize n;

  for (guint i = 0; i < REPEATS; i++)
    g_string_append (rest, fixture->part->rest);
  assert_true (recv (fd, request, sizeof request, 0) > 0);
  if (*first)
    send (fd, first, strlen (first), MSG_NOSIGNAL);
  while (fixture->sent < 2 * SENT_MAX &&
         (n = send (fd, rest->str, rest->len, MSG_NOSIGNAL)) > 0)
    fixture->sent += (gsize)n;
  close (fd);
  return NULL;
}

static void
on_done (const HttpResult *result, gpointer data)
{
  Fixture *fixture = data;

  fixture->outcome = result->outcome;
  fixture->headers = result->headers->len;
  loop_quit (fixture->loop);
}

static void
call_by_link (Fixture *fixture)
{
  HttpLinkRequest request = {
    .method = "GET", .path = "/", .timeout_us = TIMEOUT_US, .answer_max = ANSWER_MAX
  };
  HttpLink *link = http_link_create (fixture->loop, fixture->address);

  http_link_send (link, &request, on_done, fixture);
  loop_run (fixture->loop);
  http_link_destroy (link);
}

static void
call_by_client (Fixture *fixture)
{
  g_autofree char *url = g_strdup_printf ("http://%s/", fixture->address);
  HttpCallParams order = {
    .method = "GET", .url = url, .timeout_us = TIMEOUT_US, .answer_max = ANSWER_MAX
  };
  HttpClient *client = http_client_create (fixture->loop);

  http_client_send (client, &order, on_done, fixture);
  loop_run (fixture->loop);
  http_client_destroy (client);
}

static long
resident_max_kb (void)
{
  struct rusage usage;

  getrusage (RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

/* Plays an answer, and checks what it cost. */
static void
expect_bounded (const Part *part, void (*call) (Fixture *fixture))
{
  Fixture fixture = { .part = part, .clock = clock_create_boottime () };
  struct sockaddr_in address = { 0 };
  socklen_t len = sizeof address;
  long resident_kb = resident_max_kb ();
  gint64 began_us = clock_now (fixture.clock);
  gint64 took_us;
  GThread *thread;

  fixture.loop = loop_create (fixture.clock);
  fixture.listener = socket (AF_INET, SOCK_STREAM, 0);
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  assert_int_equal (bind (fixture.listener, (struct sockaddr *)&address, len), 0);
  assert_int_equal (listen (fixture.listener, 1), 0);
  getsockname (fixture.listener, (struct sockaddr *)&address, &len);
  fixture.address = g_strdup_printf ("127.0.0.1:%u", ntohs (address.sin_port));
  thread = g_thread_new ("server", serve, &fixture);
  call (&fixture);
  g_thread_join (thread);
  took_us = clock_now (fixture.clock) - began_us;
  print_message ("%s: outcome %d, %zu bytes sent, %.2f s, %ld kB more\n", part->name,
                 fixture.outcome, fixture.sent, (double)took_us / SECOND_US,
                 resident_max_kb () - resident_kb);
  assert_int_equal (fixture.outcome, part->outcome);
  assert_in_range (fixture.sent, 0, SENT_MAX);
  assert_in_range (took_us, 0, ENDED_WITHIN_US);
  assert_in_range (resident_max_kb () - resident_kb, 0, RESIDENT_MAX_KB);
  close (fixture.listener);
  g_free (fixture.address);
  loop_destroy (fixture.loop);
  clock_destroy (fixture.clock);
}

static void
test_an_endless_answer_of_a_target_is_read_on (void **state)
{
  for (gsize i = 0; i < G_N_ELEMENTS (parts); i++)
    expect_bounded (&parts[i], call_by_link);
}

/* Chunk extensions pass through libcurl unseen. */
static void
test_endless_fields_of_a_server_are_kept (void **state)
{
  for (gsize i = 0; i < G_N_ELEMENTS (parts); i++)
    if (!g_str_has_prefix (parts[i].name, "chunk extension"))
      expect_bounded (&parts[i], call_by_client);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_an_endless_answer_of_a_target_is_read_on),
    cmocka_unit_test (test_endless_fields_of_a_server_are_kept),
  };

  cmocka_set_test_filter (g_getenv ("CMOCKA_TEST_FILTER"));
  return cmocka_run_group_tests (tests, NULL, NULL);
}
