/* Times at which the watchers of a store renew their watches. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <core/watch-times.h>

#define STEP_US (10 * MS_US)
#define ANSWER_US (4 * MS_US)
#define MOST_US (4 * SECOND_US)
#define WATCHERS_MAX 46u

static const gint64 bounds_us[] = { 2 * SECOND_US, 2500 * MS_US, 3 * SECOND_US,
                                    4 * SECOND_US };

/* Returns how long after a silence the first watcher of those in `alive` (bits) finds
   that its answer is overdue. All were answered by a change at `changed_us`. */
static gint64
first_overdue_us (
    guint watchers, guint64 alive, gint64 bound_us, gint64 changed_us, gint64 silent_us)
{
  WatchBounds bounds = { bound_us, MOST_US };
  gint64 first = G_MAXINT64;

  for (guint i = 0; i < watchers; i++)
    {
      WatchPlace place = { watchers, i, changed_us };
      gint64 now = changed_us + ANSWER_US;
      WatchTimes times;

      for (;;)
        {
          times = watch_times_next (&place, &bounds, now);
          assert_in_range (times.wait_us, 1, MOST_US);
          if (now + times.wait_us + ANSWER_US > silent_us)
            break;
          now += times.wait_us + ANSWER_US;
        }
      if (alive >> i & 1)
        first = MIN (first, now + times.wait_us + times.patience_us);
    }
  return first - silent_us;
}

/* Watches that a change had answered were all renewed together, 4 s later. */
static void
test_watchers_renew_in_step (void **state)
{
  for (guint b = 0; b < G_N_ELEMENTS (bounds_us); b++)
    for (guint watchers = 1; watchers <= WATCHERS_MAX; watchers++)
      for (gint64 pause = 0; pause < 2 * MOST_US; pause += 37 * STEP_US)
        assert_in_range (first_overdue_us (watchers, G_MAXUINT64, bounds_us[b], SECOND_US,
                                           SECOND_US + pause),
                         0, bounds_us[b] * 3 / 4);
}

/* A third of the watchers, beside each other, were gone. */
static void
test_the_others_renew_late_without_a_third (void **state)
{
  for (guint watchers = 3; watchers <= WATCHERS_MAX; watchers++)
    for (gint64 pause = 0; pause < 2 * MOST_US; pause += 37 * STEP_US)
      assert_in_range (first_overdue_us (watchers, ~((1ull << watchers / 3) - 1),
                                         2 * SECOND_US, SECOND_US, SECOND_US + pause),
                       0, 2 * SECOND_US);
}

/* Up to the store's longest watch, more watchers make no more calls together: 8 in the
   time in which a change has to be in force, but for a first and a last short one each.
 */
static void
test_many_watchers_make_many_calls (void **state)
{
  WatchBounds bounds = { 2 * SECOND_US, MOST_US };

  for (guint watchers = 4; watchers <= WATCHERS_MAX; watchers++)
    {
      WatchPlace place = { watchers, 0, 0 };
      gint64 now = ANSWER_US;
      guint calls = 0;

      for (; now < 60 * SECOND_US; calls++)
        now += watch_times_next (&place, &bounds, now).wait_us + ANSWER_US;
      assert_in_range (calls * watchers, 1, MAX (60 * 4, 15 * watchers) + 2 * watchers);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_watchers_renew_in_step),
    cmocka_unit_test (test_the_others_renew_late_without_a_third),
    cmocka_unit_test (test_many_watchers_make_many_calls),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
