/* Calls of a target, on the clock that tests pause. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "metrics.h"
#include "target-calls.h"

/* No connection can be started to a broadcast address. */
#define UNREACHABLE "255.255.255.255:1"

typedef struct
{
  Loop *loop;
  HttpCallOutcome outcome;
  guint ended;
} Fixture;

static void
on_done (const HttpResult *result, gpointer data)
{
  Fixture *fixture = data;

  fixture->outcome = result->outcome;
  fixture->ended++;
  assert_int_equal (result->status, 0);
  assert_int_equal (result->headers->len, 0);
  assert_int_equal (result->body->len, 0);
  loop_quit (fixture->loop);
}

static TargetCalls *
unreachable_target (Node *node)
{
  TargetCalls *calls;

  node->clock = clock_create_manual (0);
  node->loop = loop_create (node->clock);
  node->metrics = metrics_create ();
  calls = target_calls_create (node, "pay-0");
  target_calls_update (calls, UNREACHABLE, TRUE, 10);
  return calls;
}

static void
destroy (Node *node, TargetCalls *calls)
{
  target_calls_destroy (calls);
  metrics_destroy (node->metrics);
  loop_destroy (node->loop);
  clock_destroy (node->clock);
}

static TargetCall *
send_request (TargetCalls *calls, Fixture *fixture)
{
  g_autoptr (GArray) headers = http_headers_new ();
  const HttpLinkRequest request = { .method = "GET",
                                    .path = "/",
                                    .headers = headers,
                                    .timeout_us = SECOND_US,
                                    .answer_max = 1000 };

  return target_calls_send (calls, &request, CONNECTION_USE_REPEATABLE, on_done, fixture);
}

static void
test_a_call_without_a_connection_is_unsent (void **state)
{
  Node node = { 0 };
  TargetCalls *calls = unreachable_target (&node);
  Fixture fixture = { .loop = node.loop };

  send_request (calls, &fixture);
  assert_int_equal (fixture.ended, 0);
  loop_run (node.loop);
  assert_int_equal (fixture.ended, 1);
  assert_int_equal (fixture.outcome, HTTP_CALL_UNSENT);
  destroy (&node, calls);
}

static void
test_a_call_without_a_connection_may_be_cancelled (void **state)
{
  Node node = { 0 };
  TargetCalls *calls = unreachable_target (&node);
  Fixture fixture = { .loop = node.loop };

  target_call_cancel (send_request (calls, &fixture));
  send_request (calls, &fixture);
  destroy (&node, calls);
  assert_int_equal (fixture.ended, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_a_call_without_a_connection_is_unsent),
    cmocka_unit_test (test_a_call_without_a_connection_may_be_cancelled),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
