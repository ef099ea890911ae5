/* One request's path, from logs of many nodes with gaps and bad lines. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#include "../src/explain.h"

static const char *const log_lines[] = {
  /* The sidecar's line comes before the line that names the attempt's request. */
  "{\"time\":\"T3\",\"node\":\"b\",\"event\":\"target-failed\",\"attempt\":\"a-1-2\","
  "\"reason\":\"broken\"}",
  "   1.25 vm-a {\"time\":\"T1\",\"node\":\"a\",\"event\":\"attempt\",\"id\":\"x\","
  "\"attempt\":\"a-1-2\",\"target\":\"i-1\"}",
  "{\"time\":\"T2\",\"node\":\"a\",\"event\":\"attempt\",\"id\":\"xy\","
  "\"attempt\":\"a-1-9\"}",
  "{\"time\":\"T5\",\"node\":\"a\",\"event\":\"request-failed\",\"id\":\"x\","
  "\"outcome\":\"unknown\"}",
  "{\"time\":\"T4\",\"node\":\"c\",\"event\":\"request\",\"id\":\"x.inner\"}",
  "{\"time\":\"T0\",\"node\":\"a\",\"event\":\"started\"}",
  "{\"time\":\"T6\",\"node\":",
  "no brace at all",
};

static Explanation *
explain (const char *id)
{
  Explanation *explanation = explanation_create (id);

  for (gsize i = 0; i < G_N_ELEMENTS (log_lines); i++)
    explanation_add (explanation, log_lines[i], -1);
  return explanation;
}

static void
test_lines_of_all_nodes_come_in_order (void **state)
{
  Explanation *explanation = explain ("x");
  g_autoptr (GPtrArray) lines = explanation_lines (explanation);

  assert_int_equal (lines->len, 4);
  assert_string_equal (g_ptr_array_index (lines, 0),
                       "T1 a attempt id=x attempt=a-1-2 target=i-1");
  assert_true (g_str_has_prefix (g_ptr_array_index (lines, 1), "T3 b target-failed"));
  assert_true (g_str_has_prefix (g_ptr_array_index (lines, 2), "T4 c request"));
  assert_true (g_str_has_prefix (g_ptr_array_index (lines, 3), "T5 a request-failed"));
  assert_int_equal (explanation_bad_lines (explanation), 1);
  explanation_destroy (explanation);
}

static void
test_an_attempt_id_is_accepted (void **state)
{
  Explanation *explanation = explain ("a-1-9");
  g_autoptr (GPtrArray) lines = explanation_lines (explanation);

  assert_int_equal (lines->len, 1);
  explanation_destroy (explanation);
}

static void
test_an_unknown_id_has_no_lines (void **state)
{
  Explanation *explanation = explain ("nobody");
  g_autoptr (GPtrArray) lines = explanation_lines (explanation);

  assert_int_equal (lines->len, 0);
  explanation_destroy (explanation);
}

/* For a request that was refused because of its fingerprint, the crashes that led to the
   quarantine are shown too, although they happened under other requests. */
static void
test_the_cause_of_a_quarantine_is_shown (void **state)
{
  static const char *const lines[] = {
    "{\"time\":\"T1\",\"node\":\"a\",\"event\":\"ended-under\",\"attempt\":\"b-1-1\","
    "\"request\":\"00000001\",\"path_alone\":\"abcd0123\"}",
    "{\"time\":\"T2\",\"node\":\"a\",\"event\":\"ended-under\",\"attempt\":\"b-1-2\","
    "\"request\":\"00000002\"}",
    "{\"time\":\"T3\",\"node\":\"c\",\"event\":\"quarantined\",\"request\":\"abcd0123\"}",
    "{\"time\":\"T4\",\"node\":\"c\",\"event\":\"held-back\",\"id\":\"x\","
    "\"request\":\"abcd0123\"}",
    "{\"time\":\"T5\",\"node\":\"c\",\"event\":\"held-back\",\"id\":\"y\","
    "\"request\":\"abcd0123\"}",
  };
  static const char *const wanted[] = { "x", "abcd0123" };

  for (gsize i = 0; i < G_N_ELEMENTS (wanted); i++)
    {
      Explanation *explanation = explanation_create (wanted[i]);
      g_autoptr (GPtrArray) found = NULL;

      for (gsize j = 0; j < G_N_ELEMENTS (lines); j++)
        explanation_add (explanation, lines[j], -1);
      found = explanation_lines (explanation);
      /* The fingerprint alone gives the crash and the quarantine, but no refusal. */
      assert_int_equal (found->len, i == 0 ? 3 : 2);
      assert_true (g_str_has_prefix (g_ptr_array_index (found, 0), "T1 a ended-under"));
      assert_true (g_str_has_prefix (g_ptr_array_index (found, 1), "T3 c quarantined"));
      explanation_destroy (explanation);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_lines_of_all_nodes_come_in_order),
    cmocka_unit_test (test_an_attempt_id_is_accepted),
    cmocka_unit_test (test_an_unknown_id_has_no_lines),
    cmocka_unit_test (test_the_cause_of_a_quarantine_is_shown),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
