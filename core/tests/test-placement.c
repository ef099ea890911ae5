/* Tests where a request looks for a slot, under the load patterns that placement is made
   for. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <core/clock.h>
#include <core/placement.h>

#define SLACK_US (800 * MS_US)
#define QUESTIONS_MAX 100u

/* Refuses the request at every step, with `reasons` in turn, and counts in `asked` the
   targets asked at each step. Returns the total. */
static guint
refuse_all (Placement *placement,
            const Reason *reasons,
            guint count,
            gint64 slack_us,
            guint asked[PLACEMENT_EXHAUSTED])
{
  guint total = 0;
  PlacementStep step;

  while ((step = placement_next (placement, slack_us, 0)) != PLACEMENT_EXHAUSTED &&
         total < QUESTIONS_MAX)
    {
      asked[step]++;
      placement_refused (placement, reasons[total++ % count]);
    }
  return total;
}

/* When everything is full, a few targets are asked at each step, so that the refusal
   comes soon. */
static void
test_an_overload_is_refused_after_few_questions (void **state)
{
  static const Reason full[] = { REASON_OVERLOAD };
  Placement placement = { 0 };
  guint asked[PLACEMENT_EXHAUSTED] = { 0 };

  /* Eight targets are asked for a free slot and three for a place in a queue. */
  assert_int_equal (refuse_all (&placement, full, 1, SLACK_US, asked), 11);
  assert_int_equal (asked[PLACEMENT_OWN_FREE], 4);
  assert_int_equal (asked[PLACEMENT_OWN_QUEUE], 1);
  assert_int_equal (asked[PLACEMENT_OTHER_FREE], 2);
  assert_int_equal (asked[PLACEMENT_SHEDDING], 2);
  assert_int_equal (asked[PLACEMENT_LAST_QUEUE], 2);
}

/* Half of the ingress's view of its targets is outdated: they are sick, leaving or gone.
   Their refusals are compensated by as many further questions, and other halls and queues
   are asked as before. */
static void
test_an_outdated_view_does_not_use_up_the_tries (void **state)
{
  static const Reason mixed[] = { REASON_SICK, REASON_OVERLOAD, REASON_UNREACHABLE,
                                  REASON_OVERLOAD };
  Placement placement = { 0 };
  guint asked[PLACEMENT_EXHAUSTED] = { 0 };

  assert_in_range (refuse_all (&placement, mixed, 4, SLACK_US, asked), 12, 22);
  assert_in_range (asked[PLACEMENT_OWN_FREE], 7, 8);
  assert_true (asked[PLACEMENT_OTHER_FREE] >= 2);
  assert_true (asked[PLACEMENT_LAST_QUEUE] >= 2);
}

/* When the whole view is outdated, the request stops looking after eight refusals and
   waits in a queue. */
static void
test_an_entirely_outdated_view_leads_to_a_queue (void **state)
{
  Placement placement = { 0 };

  for (guint i = 0; i < 8; i++)
    {
      assert_int_equal (placement_next (&placement, SLACK_US, 0), PLACEMENT_OWN_FREE);
      placement_refused (&placement, REASON_SICK);
    }
  assert_int_equal (placement_next (&placement, SLACK_US, 0), PLACEMENT_LAST_QUEUE);
}

static void
test_a_late_request_skips_its_halls_queue (void **state)
{
  Placement placement = { .step = PLACEMENT_OWN_QUEUE };

  assert_int_equal (placement_next (&placement, 0, 0), PLACEMENT_OTHER_FREE);
}

static void
test_a_step_without_targets_is_skipped (void **state)
{
  Placement placement = { 0 };

  placement_next (&placement, SLACK_US, 0);
  placement_skip (&placement);
  assert_int_equal (placement_next (&placement, SLACK_US, 0), PLACEMENT_OWN_QUEUE);
  for (guint i = 0; i < PLACEMENT_EXHAUSTED; i++)
    placement_skip (&placement);
  assert_int_equal (placement_next (&placement, SLACK_US, 0), PLACEMENT_EXHAUSTED);
}

/* After a target has failed, the request looks for a free slot again, with the tries that
   are left. */
static void
test_a_retry_starts_over (void **state)
{
  Placement placement = { 0 };

  for (guint i = 0; i < 3; i++)
    {
      placement_next (&placement, SLACK_US, 0);
      placement_refused (&placement, REASON_OVERLOAD);
    }
  while (placement_next (&placement, SLACK_US, 0) != PLACEMENT_SHEDDING)
    placement_skip (&placement);
  assert_int_equal (placement_next (&placement, SLACK_US, 1), PLACEMENT_OWN_FREE);
  placement_refused (&placement, REASON_OVERLOAD);
  placement_next (&placement, SLACK_US, 1);
  placement_skip (&placement);
  placement_next (&placement, SLACK_US, 1);
  placement_skip (&placement);
  /* Shedding targets are not asked, because they may refuse a request that has reached a
     target before. */
  assert_int_equal (placement_next (&placement, SLACK_US, 1), PLACEMENT_LAST_QUEUE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_an_overload_is_refused_after_few_questions),
    cmocka_unit_test (test_an_outdated_view_does_not_use_up_the_tries),
    cmocka_unit_test (test_an_entirely_outdated_view_leads_to_a_queue),
    cmocka_unit_test (test_a_late_request_skips_its_halls_queue),
    cmocka_unit_test (test_a_step_without_targets_is_skipped),
    cmocka_unit_test (test_a_retry_starts_over),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
