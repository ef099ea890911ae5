/* Outcomes of requests, from logs of many nodes with gaps and bad lines. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include <json-glib/json-glib.h>

#include "../src/outcomes.h"

#define AT(second) "{\"time\":\"2026-01-01T00:00:" second ".500000Z\",\"node\":\"a\","

static const char *const log_lines[] = {
  /* One request served in its own hall, and one served late by another hall. */
  AT ("01") "\"event\":\"attempt\",\"id\":\"x\",\"attempt\":\"a-1-1\",\"own_hall\":"
            "\"yes\"}",
  AT ("01") "\"event\":\"request\",\"id\":\"x\",\"class\":\"pay\",\"outcome\":\"done\","
            "\"status\":\"200\",\"arrivals\":\"1\",\"took_us\":\"1000\",\"late\":\"no\"}",
  "  1.2 vm-a " AT ("02") "\"event\":\"attempt\",\"id\":\"y\",\"own_hall\":\"no\"}",
  AT ("02") "\"event\":\"hedge\",\"id\":\"y\",\"target\":\"i-2\"}",
  AT ("12") "\"event\":\"request\",\"id\":\"y\",\"class\":\"pay\",\"outcome\":\"done\","
            "\"status\":\"200\",\"arrivals\":\"2\",\"took_us\":\"9000000\",\"late\":"
            "\"yes\"}",
  /* One that failed because a call of its target hung; the call's line comes later. */
  AT ("03") "\"event\":\"request-failed\",\"id\":\"z\",\"class\":\"pay\",\"outcome\":"
            "\"done\","
            "\"status\":\"500\",\"arrivals\":\"1\",\"took_us\":\"2000000\"}",
  AT ("02") "\"event\":\"request-failed\",\"id\":\"z.1\",\"class\":\"read\","
            "\"outcome\":\"unknown\",\"reason\":\"timeout\",\"arrivals\":\"1\","
            "\"took_us\":\"1500000\"}",
  AT ("02") "\"event\":\"attempt-end\",\"id\":\"z.1\",\"result\":\"refused\","
            "\"reason\":\"budget\"}",
  /* One that was refused, and one whose final line is missing. */
  AT ("04") "\"event\":\"request-failed\",\"id\":\"w\",\"class\":\"pay\","
            "\"outcome\":\"not-run\",\"reason\":\"overload\",\"took_us\":\"4000\"}",
  AT ("04") "\"event\":\"attempt\",\"id\":\"v\",\"own_hall\":\"yes\"}",
  /* A node that sent bytes, restarted, and sent more. */
  AT ("05") "\"event\":\"bytes-sent\",\"own_hall\":\"probes=10 answers=5\","
            "\"other_halls\":\"probes=7 answers=100\"}",
  AT ("06") "\"event\":\"bytes-sent\",\"own_hall\":\"probes=12 answers=6\","
            "\"other_halls\":\"probes=9 answers=150\"}",
  AT ("09") "\"event\":\"bytes-sent\",\"own_hall\":\"probes=1 answers=0\","
            "\"other_halls\":\"probes=2 answers=40\"}",
  AT ("09") "\"event\":\"log-omitted\",\"subject\":\"attempt\",\"count\":\"17\"}",
  AT ("09") "\"event\":",
  "no brace at all",
};

static RequestOutcomes *
filled (guint span_s)
{
  RequestOutcomes *outcomes = request_outcomes_create (span_s);

  for (gsize i = 0; i < G_N_ELEMENTS (log_lines); i++)
    request_outcomes_add (outcomes, log_lines[i], -1);
  return outcomes;
}

static JsonObject *
row_of (JsonObject *root, const char *class, gint64 from_s)
{
  JsonArray *rows = json_object_get_array_member (root, "classes");

  for (guint i = 0; i < json_array_get_length (rows); i++)
    {
      JsonObject *row = json_array_get_object_element (rows, i);

      if (strcmp (json_object_get_string_member (row, "class"), class) == 0 &&
          (from_s < 0 || json_object_get_int_member (row, "from_s") == from_s))
        return row;
    }
  fail_msg ("no row for %s", class);
  return NULL;
}

static gint64
cause (JsonObject *row, const char *table, const char *name)
{
  JsonObject *causes = json_object_get_object_member (row, table);

  return json_object_get_int_member_with_default (causes, name, 0);
}

static void
test_outcomes_and_causes_are_reported (void **state)
{
  RequestOutcomes *outcomes = filled (0);
  g_autoptr (JsonNode) node = request_outcomes_json (outcomes);
  JsonObject *root = json_node_get_object (node);
  JsonObject *pay = row_of (root, "pay", -1);
  JsonObject *call = row_of (root, "call read", -1);

  assert_int_equal (json_object_get_int_member (root, "requests"), 5);
  assert_int_equal (json_object_get_int_member (pay, "served"), 1);
  assert_int_equal (json_object_get_int_member (pay, "late"), 1);
  assert_int_equal (json_object_get_int_member (pay, "refused"), 1);
  assert_int_equal (json_object_get_int_member (pay, "failed"), 1);
  assert_int_equal (cause (pay, "causes", "no-slot"), 1);
  assert_int_equal (cause (pay, "causes", "target-failed"), 0);
  assert_int_equal (cause (pay, "call_causes", "hung"), 1);
  assert_int_equal (json_object_get_int_member (pay, "unserved_held_ms"), 1002);
  assert_int_equal (json_object_get_int_member (pay, "attempts_own_hall"), 1);
  assert_int_equal (json_object_get_int_member (pay, "attempts_other_halls"), 1);
  assert_int_equal (json_object_get_int_member (pay, "retries"), 1);
  assert_int_equal (json_object_get_int_member (pay, "hedges"), 1);
  assert_int_equal (cause (call, "causes", "hung"), 1);
  assert_int_equal (json_object_get_int_member (call, "retries_denied"), 1);
  request_outcomes_destroy (outcomes);
}

static void
test_refusals_for_a_named_rate_have_a_cause (void **state)
{
  RequestOutcomes *outcomes = request_outcomes_create (0);
  g_autoptr (JsonNode) node = NULL;

  request_outcomes_add (
      outcomes,
      AT ("01") "\"event\":\"request-failed\",\"id\":\"r\",\"class\":\"pay\","
                "\"outcome\":\"not-run\",\"reason\":\"rate-limited\",\"took_us\":"
                "\"4000\"}",
      -1);
  node = request_outcomes_json (outcomes);
  assert_int_equal (
      cause (row_of (json_node_get_object (node), "pay", -1), "causes", "rate-limited"),
      1);
  request_outcomes_destroy (outcomes);
}

static void
test_gaps_and_bad_lines_are_counted (void **state)
{
  RequestOutcomes *outcomes = filled (0);

  assert_int_equal (request_outcomes_requests (outcomes), 5);
  assert_int_equal (request_outcomes_bad_lines (outcomes), 1);
  assert_int_equal (request_outcomes_omitted_lines (outcomes), 17);
  request_outcomes_destroy (outcomes);
}

static void
test_bytes_are_summed_over_node_restarts (void **state)
{
  RequestOutcomes *outcomes = filled (0);
  g_autofree char *text = request_outcomes_text (outcomes);

  assert_non_null (strstr (text, "bytes sent to the own hall: answers=6 probes=13\n"));
  assert_non_null (strstr (text, "bytes sent to other halls: answers=190 probes=11\n"));
  request_outcomes_destroy (outcomes);
}

static void
test_requests_are_counted_in_the_span_of_their_start (void **state)
{
  RequestOutcomes *outcomes = filled (2);
  g_autoptr (JsonNode) node = request_outcomes_json (outcomes);
  JsonObject *root = json_node_get_object (node);
  gint64 zero = 1767225600; /* second 0 of the lines, as Unix time */

  assert_int_equal (json_object_get_int_member (row_of (root, "pay", zero), "served"), 1);
  assert_int_equal (json_object_get_int_member (row_of (root, "pay", zero + 2), "late"),
                    1);
  assert_int_equal (
      json_object_get_int_member (row_of (root, "pay", zero + 4), "refused"), 1);
  request_outcomes_destroy (outcomes);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_outcomes_and_causes_are_reported),
    cmocka_unit_test (test_refusals_for_a_named_rate_have_a_cause),
    cmocka_unit_test (test_gaps_and_bad_lines_are_counted),
    cmocka_unit_test (test_bytes_are_summed_over_node_restarts),
    cmocka_unit_test (test_requests_are_counted_in_the_span_of_their_start),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
