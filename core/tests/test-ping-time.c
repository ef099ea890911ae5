/* Time-outs of pings of nodes that are overloaded, or gone. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <core/ping-time.h>

#define LEAST_US (540 * MS_US)

static void
test_a_node_that_answers_late_is_taken_for_lost (void **state)
{
  PingTime time = { 0 };

  ping_time_note (&time, 200 * MS_US);
  assert_true (ping_time_timeout_us (&time, LEAST_US) > 700 * MS_US);
}

static void
test_a_node_that_answers_at_once_is_found_lost_late (void **state)
{
  PingTime time = { 0 };

  assert_int_equal (ping_time_timeout_us (&time, LEAST_US), LEAST_US);
  for (guint i = 0; i < 10; i++)
    ping_time_note (&time, MS_US);
  assert_int_equal (ping_time_timeout_us (&time, LEAST_US), LEAST_US);
  /* Soon after an overload, too. */
  ping_time_note (&time, 400 * MS_US);
  for (guint i = 0; i < 20; i++)
    ping_time_note (&time, MS_US);
  assert_int_equal (ping_time_timeout_us (&time, LEAST_US), LEAST_US);
}

/* Each unanswered ping counts as long as its time-out. */
static void
test_a_lost_node_is_waited_for_ever_longer (void **state)
{
  PingTime time = { 0 };

  for (guint i = 0; i < 10; i++)
    ping_time_note (&time, ping_time_timeout_us (&time, LEAST_US));
  assert_int_equal (ping_time_timeout_us (&time, LEAST_US), PING_TIME_MAX_US);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_a_node_that_answers_late_is_taken_for_lost),
    cmocka_unit_test (test_a_node_that_answers_at_once_is_found_lost_late),
    cmocka_unit_test (test_a_lost_node_is_waited_for_ever_longer),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
