/* Reading what targets state about themselves from the headers of their answers. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "target-notices.h"

static const Dialect dialect = { .rate_header = "Rate", .leaving_header = "Leaving" };

/* Reads notices from pairs of a name and a value, ended by NULL. */
static TargetNotices
read_notices (const Dialect *words, const char *const *pairs)
{
  g_autoptr (GArray) headers = http_headers_new ();
  TargetNotices notices;

  for (guint i = 0; pairs[i]; i += 2)
    http_headers_add (headers, pairs[i], pairs[i + 1]);
  notices = target_notices_read (words, headers);
  /* The text is borrowed from the headers. */
  notices.malformed = notices.malformed ? "malformed" : NULL;
  return notices;
}

static void
test_notices_are_read (void **state)
{
  const char *const none[] = { "Content-Type", "text/plain", NULL };
  const char *const both[] = { "rate", "1.4", "LEAVING", "1", NULL };
  TargetNotices notices = read_notices (&dialect, none);

  assert_int_equal (notices.rate.kind, RATE_NOTICE_ABSENT);
  assert_false (notices.leaving);
  assert_null (notices.malformed);
  notices = read_notices (&dialect, both);
  assert_int_equal (notices.rate.kind, RATE_NOTICE_NAMED);
  assert_true (notices.rate.per_s == 1.4);
  assert_true (notices.leaving);
  assert_null (notices.malformed);
}

static void
test_malformed_notices_are_reported (void **state)
{
  const char *const empty[] = { "Rate", "", NULL };
  const char *const twice[] = { "Rate", "1.4", "Rate", "1.4", NULL };
  const char *const thrice[] = { "Rate", "1", "Rate", "1", "Rate", "1", NULL };
  const char *const no[] = { "Leaving", "0", NULL };
  const char *const *const bad[] = { empty, twice, thrice };

  for (gsize i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      TargetNotices notices = read_notices (&dialect, bad[i]);

      assert_int_equal (notices.rate.kind, RATE_NOTICE_MALFORMED);
      assert_non_null (notices.malformed);
    }
  assert_false (read_notices (&dialect, no).leaving);
  assert_non_null (read_notices (&dialect, no).malformed);
}

static void
test_a_dialect_without_notices_reads_none (void **state)
{
  const Dialect plain = { 0 };
  const char *const both[] = { "Rate", "1.4", "Leaving", "1", NULL };
  TargetNotices notices = read_notices (&plain, both);

  assert_int_equal (notices.rate.kind, RATE_NOTICE_ABSENT);
  assert_false (notices.leaving);
}

static void
test_the_own_dialect_reads_a_rate (void **state)
{
  const char *const own[] = { "Switchmill-Rate-Limit", "2.5", NULL };

  assert_true (read_notices (&dialect_own, own).rate.per_s == 2.5);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_notices_are_read),
    cmocka_unit_test (test_malformed_notices_are_reported),
    cmocka_unit_test (test_the_own_dialect_reads_a_rate),
    cmocka_unit_test (test_a_dialect_without_notices_reads_none),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
