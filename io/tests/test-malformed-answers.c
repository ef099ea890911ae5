/* Answers whose grammar or framing is wrong, and answers that are whole although they
   look unusual. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <string.h>

#include "answer-play.h"

#define HELLO "Content-Length: 5\r\n\r\nhello"

static void
test_a_malformed_status_line_begins_no_answer (void **state)
{
  static const char *const answers[] = {
    "HTTP/1.1 0200 OK\r\n" HELLO,      "HTTP/1.1 2000 OK\r\n" HELLO,
    "HTTP/1.1 000 OK\r\n" HELLO,       "HTTP/1.1 099 OK\r\n" HELLO,
    "HTTP/1.1 101 OK\r\n" HELLO,       "HTTP/1.1 600 OK\r\n" HELLO,
    "HTTP/1.1 20 OK\r\n" HELLO,        "HTTP/1.1 -200 OK\r\n" HELLO,
    "HTTP/1.1 2x0 OK\r\n" HELLO,       "HTTP/1.1 200OK\r\n" HELLO,
    "HTTP/1.1  200 OK\r\n" HELLO,      "HTTP/1.1\t200 OK\r\n" HELLO,
    "HTTP/1.1 200\tOK\r\n" HELLO,      "HTTP/1.1 200 O\001K\r\n" HELLO,
    "HTTP/1.1 200 OK\rX: y\r\n" HELLO, "HTTP/1.1 200 OK\177\r\n" HELLO,
    "HXXX/1.1 200 OK\r\n" HELLO,       "http/1.1 200 OK\r\n" HELLO,
    "HTTP/2.0 200 OK\r\n" HELLO,       "HTTP/0.9 200 OK\r\n" HELLO,
    "HTTP/1.10 200 OK\r\n" HELLO,      "HTTP/1 200 OK\r\n" HELLO,
    " HTTP/1.1 200 OK\r\n" HELLO,      "200 OK\r\n" HELLO,
    "HTTP/1.1 OK\r\n" HELLO,           "HTTP/1.1\r\n" HELLO,
  };

  answer_expect_all_broken (answers, G_N_ELEMENTS (answers));
}

static void
test_an_unusual_status_line_begins_an_answer (void **state)
{
  static const char *const answers[] = {
    "HTTP/1.1 200 OK\r\n" HELLO,
    "HTTP/1.1 200 \r\n" HELLO,
    "HTTP/1.1 200\r\n" HELLO,
    "HTTP/1.0 200 OK\r\n" HELLO,
    "HTTP/1.1 200 O\tK\r\n" HELLO,
    "HTTP/1.1 200 d\303\251j\303\240 \377\r\n" HELLO,
    "HTTP/1.1 200 HTTP/1.1 404 Not Found\r\n" HELLO,
    "HTTP/1.1 599 Odd\r\n" HELLO,
    "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" HELLO,
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
    "HTTP/1.1 200 OK\r\n" HELLO,
    "HTTP/1.1 200 OK\nContent-Length: 5\n\nhello",
  };

  answer_expect_all_whole (answers, G_N_ELEMENTS (answers), "hello");
}

#define OK "HTTP/1.1 200 OK\r\n"

static void
test_a_malformed_field_makes_an_answer_malformed (void **state)
{
  static const char *const answers[] = {
    OK "Con tent: x\r\n" HELLO,
    OK "Trailing : x\r\n" HELLO,
    OK "Tab\t: x\r\n" HELLO,
    OK " Leading: x\r\n" HELLO,
    OK "X: y\r\n folded\r\n" HELLO,
    OK "X: y\r\n\tfolded: z\r\n" HELLO,
    OK " \r\n" HELLO,
    OK "Content-Length : 5\r\n\r\nhello",
    OK "Content Length: 5\r\n\r\nhello",
    OK "Transfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    OK "Content-Length: 5\r\n  0\r\n\r\nhello",
    OK "X\001Y: z\r\n" HELLO,
    OK "X\aY: z\r\n" HELLO,
    OK "X\rY: z\r\n" HELLO,
    OK "X\033Y: z\r\n" HELLO,
    OK "X\177Y: z\r\n" HELLO,
    OK "X\303\251: z\r\n" HELLO,
    OK "X(Y): z\r\n" HELLO,
    OK "X\"Y: z\r\n" HELLO,
    OK ": z\r\n" HELLO,
    OK "no colon\r\n" HELLO,
    OK "nocolon\r\n" HELLO,
    OK "X: y\001z\r\n" HELLO,
    OK "X: y\rz\r\n" HELLO,
    OK "X: y\177z\r\n" HELLO,
    "HTTP/1.1 103 Early Hints\r\nLi nk: x\r\n\r\n" OK HELLO,
  };

  answer_expect_all_broken (answers, G_N_ELEMENTS (answers));
}

static void
test_a_null_byte_makes_an_answer_malformed (void **state)
{
#define WITH_LEN(bytes)                                                                  \
  {                                                                                      \
    bytes, sizeof bytes - 1                                                              \
  }
  static const struct
  {
    const char *bytes;
    gsize len;
  } answers[] = { WITH_LEN (OK "X\0Y: z\r\n" HELLO), WITH_LEN (OK "X: y\0z\r\n" HELLO),
                  WITH_LEN ("HTTP/1.1 200 O\0K\r\n" HELLO),
                  WITH_LEN ("HTTP/1.1 200\0OK\r\n" HELLO) };

  for (gsize i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      AnswerScript script = { .answer = answers[i].bytes,
                              .answer_len = answers[i].len,
                              .end = ANSWER_CLOSES };

      answer_expect_broken_by_all (&script, "GET", 0);
    }
}

/* Plays an answer with a field, which must arrive with the value. */
static void
expect_field (const char *line, const char *name, const char *value)
{
  g_autofree char *answer = g_strconcat (OK, line, "\r\n" HELLO, NULL);
  AnswerScript script = { .answer = answer, .end = ANSWER_CLOSES };

  for (AnswerBy i = 0; i < ANSWER_BY_COUNT; i++)
    {
      AnswerPlay exchange = answer_play (i, &script, "GET", 0);
      const char *found = http_headers_get (exchange.headers, name);

      assert_int_equal (exchange.outcome, HTTP_CALL_OK);
      assert_string_equal (exchange.body->str, "hello");
      assert_string_equal (found ? found : "none", value);
      answer_play_clear (&exchange);
    }
}

static void
test_an_unusual_field_arrives_as_it_was_sent (void **state)
{
  expect_field ("!#$%&'*+-.^_`|~09azAZ: x", "!#$%&'*+-.^_`|~09azAZ", "x");
  expect_field ("X:y", "X", "y");
  expect_field ("X:  \t y \t ", "X", "y");
  expect_field ("X:", "X", "");
  expect_field ("X: y\tz", "X", "y\tz");
  expect_field ("X: \303\251\377\200", "X", "\303\251\377\200");
  expect_field ("X: a: b: c", "X", "a: b: c");
}

#define CHUNKS "\r\n5\r\nhello\r\n0\r\n\r\n"

static void
test_ambiguous_framing_makes_an_answer_malformed (void **state)
{
  static const char *const answers[] = {
    OK "Content-Length: +5\r\n\r\nhello",
    OK "Content-Length: -5\r\n\r\nhello",
    OK "Content-Length: 5x\r\n\r\nhello",
    OK "Content-Length: 0x5\r\n\r\nhello",
    OK "Content-Length: 5 5\r\n\r\nhello",
    OK "Content-Length: 5, 5\r\n\r\nhello",
    OK "Content-Length: 5,\r\n\r\nhello",
    OK "Content-Length:\r\n\r\nhello",
    OK "Content-Length: five\r\n\r\nhello",
    OK "Content-Length: 99999999999999999999\r\n\r\nhello",
    OK "Content-Length: 18446744073709551621\r\n\r\nhello",
    OK "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
    OK "Content-Length: 5\r\nContent-Length: 4\r\n\r\nhello",
    OK "Content-Length:\r\nContent-Length: 5\r\n\r\nhello",
    OK "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n" CHUNKS,
    OK "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n" CHUNKS,
    OK "Transfer-Encoding: gzip\r\n\r\nhello",
    OK "Transfer-Encoding: identity\r\n\r\nhello",
    OK "Transfer-Encoding: unknown\r\n\r\nhello",
    OK "Transfer-Encoding:\r\n\r\nhello",
    OK "Transfer-Encoding: gzip, chunked\r\n" CHUNKS,
    OK "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n" CHUNKS,
    OK "Transfer-Encoding: identity, chunked\r\n" CHUNKS,
    OK "Transfer-Encoding: chunked, gzip\r\n" CHUNKS,
    OK "Transfer-Encoding: chunked, chunked\r\n" CHUNKS,
    OK "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" CHUNKS,
    OK "Transfer-Encoding: chunked;q=1\r\n" CHUNKS,
    OK "Transfer-Encoding: chunkedx\r\n" CHUNKS,
    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" CHUNKS,
    "HTTP/1.1 204 No Content\r\n" HELLO,
    "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n" CHUNKS,
    "HTTP/1.1 103 Early Hints\r\n" HELLO OK HELLO,
    "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n" CHUNKS OK HELLO,
  };

  answer_expect_all_broken (answers, G_N_ELEMENTS (answers));
}

static void
test_unambiguous_framing_is_understood (void **state)
{
  static const char *const answers[] = {
    OK "Content-Length: 5\r\n\r\nhello",
    OK "content-length:5  \r\n\r\nhello",
    OK "Content-Length: 005\r\n\r\nhello",
    OK "Transfer-Encoding: chunked\r\n" CHUNKS,
    OK "transfer-encoding: Chunked \r\n" CHUNKS,
    OK "Transfer-Encoding:\tchunked\t\r\n" CHUNKS,
    OK "Transfer-Encoding: chunked \t \r\n" CHUNKS,
    OK "Content-Length:\t5\t\r\n\r\nhello",
    OK "Connection: Upgrade\r\nUpgrade: h2c\r\n" HELLO,
    "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n" OK HELLO,
    "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    OK "\r\nhello",
    "HTTP/1.0 200 OK\r\n\r\nhello",
  };
  static const char *const empty[] = {
    "HTTP/1.1 204 No Content\r\n\r\n",
    "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 304 Not Modified\r\nETag: x\r\n\r\n",
  };

  answer_expect_all_whole (answers, G_N_ELEMENTS (answers), "hello");
  answer_expect_all_whole (empty, G_N_ELEMENTS (empty), "");
}

#define CHUNKED OK "Transfer-Encoding: chunked\r\n\r\n"
#define END "0\r\n\r\n"

/* libcurl skips what follows a chunk's size up to the end of the line; the HTTP client
   does not see it. */
static void
test_malformed_chunks_make_an_answer_malformed (void **state)
{
  static const char *const answers[] = {
    CHUNKED "5\r\nhelloXY" END,
    CHUNKED "4\r\nhelloX" END,
    CHUNKED "5\r\nhello\n" END,
    CHUNKED "5\r\nhello\rX" END,
    CHUNKED "5\r\nhello" END,
    CHUNKED "4\r\nhello\r\n" END,
    CHUNKED "6\r\nhello\r\n" END,
    CHUNKED "5\nhello\r\n" END,
    CHUNKED "5\rXhello\r\n" END,
    CHUNKED "5;ext\nhello\r\n" END,
    CHUNKED "5;ext\rXhello\r\n" END,
    CHUNKED "5 \r\nhello\r\n" END,
    CHUNKED " 5\r\nhello\r\n" END,
    CHUNKED "5 junk\r\nhello\r\n" END,
    CHUNKED "5;\r\nhello\r\n" END,
    CHUNKED "5;a=\r\nhello\r\n" END,
    CHUNKED "5;a b\r\nhello\r\n" END,
    CHUNKED "5;a=\"b\r\nhello\r\n" END,
    CHUNKED "5;a=\"b\\\"\r\nhello\r\n" END,
    CHUNKED "5;a=\001\r\nhello\r\n" END,
    CHUNKED "5x\r\nhello\r\n" END,
    CHUNKED "0x5\r\nhello\r\n" END,
    CHUNKED "-5\r\nhello\r\n" END,
    CHUNKED ";a\r\nhello\r\n" END,
    CHUNKED "\r\nhello\r\n" END,
    CHUNKED "10000000000000005\r\nhello\r\n" END,
    CHUNKED "5\r\nhello\r\n0\r\nTrai ler: x\r\n\r\n",
    CHUNKED "5\r\nhello\r\n0\r\nTrailer : x\r\n\r\n",
    CHUNKED "5\r\nhello\r\n0\r\nX: y\r\n folded\r\n\r\n",
    CHUNKED "5\r\nhello\r\n0\r\n folded\r\n\r\n",
    CHUNKED "5\r\nhello\r\n0\r\nX: y\001\r\n\r\n",
    CHUNKED "5\r\nhello\r\n0\r\nno colon\r\n\r\n",
  };

  for (gsize i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      AnswerScript script = { .answer = answers[i], .end = ANSWER_CLOSES };

      answer_expect_broken (ANSWER_BY_LINK, &script, "GET", 0);
    }
}

static void
test_unusual_chunks_are_understood (void **state)
{
  static const char *const answers[] = {
    CHUNKED "5\r\nhello\r\n" END,
    CHUNKED "1\r\nh\r\n4\r\nello\r\n" END,
    CHUNKED "005\r\nhello\r\n000\r\n\r\n",
    CHUNKED "5;ext\r\nhello\r\n0;ext\r\n\r\n",
    CHUNKED "5;a=b;c=d;e\r\nhello\r\n" END,
    CHUNKED "5 ; a = b\t;c\r\nhello\r\n" END,
    CHUNKED "5;a=\"b;c \\\" d\"\r\nhello\r\n" END,
    CHUNKED "5\r\nhello\r\n0\r\nX: y\r\nZ:\r\n\r\n",
    CHUNKED "3\r\nhel\r\n2\r\nlo\r\n0\r\nDigest: x\n\r\n",
  };
  static const char *const hex[] = {
    CHUNKED "A\r\n0123456789\r\n" END,
    CHUNKED "a\r\n0123456789\r\n" END,
    CHUNKED "00000000000a\r\n0123456789\r\n" END,
  };

  answer_expect_all_whole (answers, G_N_ELEMENTS (answers), "hello");
  answer_expect_all_whole (hex, G_N_ELEMENTS (hex), "0123456789");
}

/* The lengths are those of the bodies that GET would have got. */
static void
test_an_answer_without_a_body_ends_with_its_head (void **state)
{
  static const struct
  {
    const char *method;
    const char *answer;
  } cases[] = {
    { "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 600\r\nETag: x\r\n\r\n" },
    { "GET", "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n" },
    { "GET", "HTTP/1.1 204 No Content\r\n\r\n" },
    { "HEAD", OK "Content-Length: 600\r\n\r\n" },
    { "HEAD", OK "Transfer-Encoding: chunked\r\n\r\n" },
    { "HEAD", OK "\r\n" },
  };
  static const AnswerEnd ends[] = { ANSWER_STAYS, ANSWER_CLOSES };

  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    for (gsize k = 0; k < G_N_ELEMENTS (ends); k++)
      {
        AnswerScript script = { .answer = cases[i].answer, .end = ends[k] };

        answer_expect_whole (ANSWER_BY_LINK, &script, cases[i].method, 0, "");
        answer_expect_whole (ANSWER_BY_CLIENT, &script, cases[i].method, 0, "");
      }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_a_malformed_status_line_begins_no_answer),
    cmocka_unit_test (test_an_unusual_status_line_begins_an_answer),
    cmocka_unit_test (test_a_malformed_field_makes_an_answer_malformed),
    cmocka_unit_test (test_a_null_byte_makes_an_answer_malformed),
    cmocka_unit_test (test_an_unusual_field_arrives_as_it_was_sent),
    cmocka_unit_test (test_ambiguous_framing_makes_an_answer_malformed),
    cmocka_unit_test (test_unambiguous_framing_is_understood),
    cmocka_unit_test (test_malformed_chunks_make_an_answer_malformed),
    cmocka_unit_test (test_unusual_chunks_are_understood),
    cmocka_unit_test (test_an_answer_without_a_body_ends_with_its_head),
  };

  cmocka_set_test_filter (g_getenv ("CMOCKA_TEST_FILTER"));
  return cmocka_run_group_tests (tests, NULL, NULL);
}
