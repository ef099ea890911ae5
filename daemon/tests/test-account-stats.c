/* Metrics of client accounts: the busiest accounts are counted by name, the others
 * together, so that the number of series is bounded. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <string.h>

#include "account-stats.h"

#define MANY 1000u
#define NAMED_AT_MOST 32u

static guint
named (const AccountStats *stats)
{
  g_autoptr (GPtrArray) names = g_ptr_array_new ();

  account_stats_names (stats, names);
  return names->len;
}

static void
test_many_accounts_are_counted_together (void **state)
{
  Clock *clock = clock_create_manual (SECOND_US);
  AccountStats *stats = account_stats_create (clock);
  g_autoptr (GString) text = g_string_new (NULL);

  for (guint i = 0; i < MANY; i++)
    {
      g_autofree char *name = g_strdup_printf ("a-%u", i);

      account_stats_note (stats, name, ACCOUNT_DONE, 1000);
    }
  assert_int_equal (named (stats), NAMED_AT_MOST);
  account_stats_append (stats, text);
  assert_non_null (
      strstr (text->str, "requests_total{account=\"\",outcome=\"done\"} 968"));
  assert_true (text->len < 64 * 1024);
  account_stats_destroy (stats);
  clock_destroy (clock);
}

static void
test_idle_accounts_make_room_and_keep_their_counts (void **state)
{
  Clock *clock = clock_create_manual (SECOND_US);
  AccountStats *stats = account_stats_create (clock);
  g_autoptr (GString) text = g_string_new (NULL);

  for (guint i = 0; i < NAMED_AT_MOST; i++)
    {
      g_autofree char *name = g_strdup_printf ("quiet-%u", i);

      account_stats_note (stats, name, ACCOUNT_EXCEEDED, 0);
    }
  clock_advance (clock, 11 * SECOND_US);
  account_stats_note (stats, "busy", ACCOUNT_DONE, 1000);
  assert_int_equal (named (stats), 1);
  account_stats_append (stats, text);
  assert_non_null (
      strstr (text->str, "requests_total{account=\"\",outcome=\"exceeded\"} 32"));
  assert_non_null (
      strstr (text->str, "requests_total{account=\"busy\",outcome=\"done\"} 1"));
  account_stats_destroy (stats);
  clock_destroy (clock);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_many_accounts_are_counted_together),
    cmocka_unit_test (test_idle_accounts_make_room_and_keep_their_counts),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
