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

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_a_missing_text_ends_the_process),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
