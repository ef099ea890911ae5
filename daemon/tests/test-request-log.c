/* Log lines about attempts, whatever a sidecar answers. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <string.h>

#include "exchange-private.h"
#include "request-log.h"

static char *logged; /* the value of the field RESULT; NULL if there was none */

static GLogWriterOutput
take_line (GLogLevelFlags level, const GLogField *fields, gsize count, gpointer data)
{
  g_clear_pointer (&logged, g_free);
  for (gsize i = 0; i < count; i++)
    if (strcmp (fields[i].key, "RESULT") == 0)
      logged = g_strdup (fields[i].value);
  return G_LOG_WRITER_HANDLED;
}

/* A result that this version does not expect or does not know. */
static void
test_an_unexpected_result_is_logged (void **state)
{
  static const guint results[] = { SW_HELD, SW_HELD + 1, 4000000000u };
  Target target = { .name = (char *)"i-0" };
  Exchange exchange = { .id = (char *)"id" };
  Attempt attempt = { .exchange = &exchange, .target = &target };
  sw_submit_res res = { 0 };

  attempt.id.node = "node";
  g_log_set_writer_func (take_line, NULL, NULL);
  res.result = SW_REFUSED;
  request_log_attempt_end (&attempt, RPC_OK, &res);
  assert_string_equal (logged, "refused");
  for (gsize i = 0; i < G_N_ELEMENTS (results); i++)
    {
      res.result = (sw_result)results[i];
      request_log_attempt_end (&attempt, RPC_OK, &res);
      assert_string_equal (logged, i == 0 ? "held" : "bad");
    }
  g_free (logged);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_an_unexpected_result_is_logged),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
