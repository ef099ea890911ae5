/* Calls to the operator API against a server that answers as the test says. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <string.h>

#include "answer-server.h"
#include "api.h"

#define BODY "{\"generation\":7}"
#define HEAD "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 16\r\n"
#define WHOLE HEAD "\r\n" BODY

static ApiResult *
confirm_at (const char *answer, AnswerEnd end)
{
  AnswerScript script = { .answer = answer, .end = end };
  AnswerServer *server = answer_server_create ("127.0.0.1:0", &script);
  Api api = { g_strdup (answer_server_address (server)), (char *)"token" };
  ApiResult *result = api_call (&api, "POST", "/v1/confirm", "{}");

  answer_server_destroy (server);
  g_free (api.address);
  return result;
}

static void
expect_unknown (const char *answer, AnswerEnd end)
{
  ApiResult *result = confirm_at (answer, end);

  if (result->status != 0 || !result->error || result->root)
    fail_msg ("%s: status %ld, error %s", answer, result->status, result->error);
  api_result_free (result);
}

static void
test_a_broken_answer_does_not_confirm (void **state)
{
  static const AnswerEnd ends[] = { ANSWER_CLOSES, ANSWER_SHUTS, ANSWER_RESETS };

  for (gsize i = 0; i < G_N_ELEMENTS (ends); i++)
    for (gsize len = 1; len < strlen (WHOLE); len++)
      {
        g_autofree char *part = g_strndup (WHOLE, len);

        expect_unknown (part, ends[i]);
      }
}

static void
test_a_malformed_answer_does_not_confirm (void **state)
{
  expect_unknown (HEAD "X Y: z\r\n\r\n" BODY, ANSWER_CLOSES);
  expect_unknown ("HTTP/1.1 000 Odd\r\nContent-Length: 16\r\n\r\n" BODY, ANSWER_CLOSES);
  expect_unknown ("HTTP/1.1 200 OK\r\nContent-Length: 16x\r\n\r\n" BODY, ANSWER_CLOSES);
  expect_unknown ("HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\n" BODY,
                  ANSWER_CLOSES);
  expect_unknown ("HTTP/1.1 200 OK\r\n\r\n" BODY, ANSWER_RESETS);
}

static void
expect_confirmed (const char *answer)
{
  ApiResult *result = confirm_at (answer, ANSWER_CLOSES);

  assert_null (result->error);
  assert_int_equal (result->status, 200);
  assert_string_equal (result->text, BODY);
  assert_non_null (result->root);
  api_result_free (result);
}

static void
test_a_whole_answer_confirms (void **state)
{
  expect_confirmed (WHOLE);
  expect_confirmed ("HTTP/1.1 200 OK\r\n\r\n" BODY);
  expect_confirmed ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "10;a=b\r\n" BODY "\r\n0\r\n\r\n");
}

static void
test_an_answer_may_have_no_body (void **state)
{
  ApiResult *result =
      confirm_at ("HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n", ANSWER_CLOSES);

  assert_null (result->error);
  assert_int_equal (result->status, 503);
  assert_string_equal (result->text, "");
  assert_null (result->root);
  api_result_free (result);
}

static void
test_without_a_server_there_is_no_answer (void **state)
{
  Api api = { (char *)"127.0.0.1:1", (char *)"token" };
  ApiResult *result = api_call (&api, "GET", "/v1/status", NULL);

  assert_int_equal (result->status, 0);
  assert_non_null (strstr (result->error, "127.0.0.1:1"));
  assert_string_equal (result->text, "");
  api_result_free (result);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_a_broken_answer_does_not_confirm),
    cmocka_unit_test (test_a_malformed_answer_does_not_confirm),
    cmocka_unit_test (test_a_whole_answer_confirms),
    cmocka_unit_test (test_an_answer_may_have_no_body),
    cmocka_unit_test (test_without_a_server_there_is_no_answer),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
