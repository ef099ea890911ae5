/* Tests that no JSON text from outside ends the process or hides what is beside it. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <core/json-text.h>
#include <core/json-view.h>

/* An empty body ended the process: its data is NULL. */
static void
test_a_missing_text_ends_the_process (void **state)
{
  static const char *const empty[] = { "", " ", "\n" };
  JsonFaults *faults = json_faults_create ();

  assert_null (json_view_parse (NULL, 0, faults));
  assert_null (json_view_parse (NULL, -1, faults));
  for (gsize i = 0; i < G_N_ELEMENTS (empty); i++)
    assert_null (json_view_parse (empty[i], -1, faults));
  assert_int_equal (json_faults_count (faults), 2 + G_N_ELEMENTS (empty));
  json_faults_destroy (faults);
}

/* Returns a text of `depth` opening brackets, a number, and as many closing ones. */
static char *
nested_text (guint depth)
{
  g_autofree char *opening = g_strnfill (depth, '[');
  g_autofree char *closing = g_strnfill (depth, ']');

  return g_strconcat (opening, "1", closing, NULL);
}

/* The parser's recursion used up the stack. */
static void
test_a_deeply_nested_text_ends_the_process (void **state)
{
  g_autofree char *deepest = nested_text (JSON_TEXT_DEPTH_MAX);
  g_autofree char *deeper = nested_text (JSON_TEXT_DEPTH_MAX + 1);
  g_autofree char *deep = nested_text (200000);
  g_autofree char *hidden = g_strconcat ("/*\"*/", deep, NULL);
  g_autofree char *quoted = g_strconcat ("['\"',", deep, "]", NULL);
  const char *const refused[] = { deeper, deep,   hidden,         quoted,
                                  "]",    "[1]]", "[\"\\ud800\"]" };
  g_autoptr (JsonNode) root = json_text_parse (deepest, -1, NULL);

  assert_non_null (root);
  for (gsize i = 0; i < G_N_ELEMENTS (refused); i++)
    {
      g_autoptr (GError) error = NULL;

      assert_null (json_text_parse (refused[i], -1, &error));
      assert_non_null (error);
    }
  assert_null (json_text_parse_parts (hidden, -1, NULL, NULL));
  assert_null (json_text_parse_parts (quoted, -1, NULL, NULL));
}

/* Returns what the member "a" of an element reads as, in JSON. */
static char *
read_part (JsonArray *items, guint index)
{
  JsonObject *object = json_array_get_object_element (items, index);

  return json_to_string (json_object_get_member (object, "a"), FALSE);
}

/* One part that cannot be read hid all others of its text. */
static void
test_an_odd_part_hides_the_others (void **state)
{
  static const struct
  {
    const char *odd, *reads;
  } parts[] = {
    { "\"\xff\xfe\xc3.\"", "\"\xef\xbf\xbd\xef\xbf\xbd\xef\xbf\xbd.\"" },
    { "\"\\ud800\"", "\"\xef\xbf\xbd\"" },
    { "\"\\ud800\\u0041\"", "\"\xef\xbf\xbd"
                            "A\"" },
    { "\"\\udc00\\\\\"", "\"\xef\xbf\xbd\\\\\"" },
    { "\"\\ud83d\\ude00\\\"]}\"", "\"\xf0\x9f\x98\x80\\\"]}\"" },
    { "\"[[{\"", "\"[[{\"" },
  };
  g_autofree char *deep = nested_text (200000);

  for (gsize i = 0; i < G_N_ELEMENTS (parts); i++)
    {
      g_autofree char *text = g_strdup_printf (
          "[{\"a\":1},{\"a\":%s},{\"a\":%s},{\"a\":2}]", parts[i].odd, deep);
      gboolean repaired = FALSE;
      g_autoptr (JsonNode) root = json_text_parse_parts (text, -1, &repaired, NULL);
      g_autofree char *first = NULL;
      g_autofree char *odd = NULL;
      g_autofree char *last = NULL;

      assert_non_null (root);
      assert_true (repaired);
      first = read_part (json_node_get_array (root), 0);
      odd = read_part (json_node_get_array (root), 1);
      last = read_part (json_node_get_array (root), 3);
      assert_string_equal (first, "1");
      assert_string_equal (odd, parts[i].reads);
      assert_string_equal (last, "2");
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_a_missing_text_ends_the_process),
    cmocka_unit_test (test_a_deeply_nested_text_ends_the_process),
    cmocka_unit_test (test_an_odd_part_hides_the_others),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
