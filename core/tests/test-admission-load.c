/* Replays load patterns against one target's admission queue, on a manual clock. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <core/admission.h>

#define SLOTS 4u
#define QUEUE 16u
#define STEP_US (5 * MS_US)
/* Four slots serve ten of these a second. A request may wait 0.8 s and still meet the
   objective. */
#define WORK_US (400 * MS_US)
#define OBJECTIVE_US (1200 * MS_US)
#define DEADLINE_US (8 * SECOND_US)
#define ITEMS_MAX 400u

typedef struct
{
  guint priority;
  gint64 arrived_us;
  gint64 ends_us; /* 0 until the request starts */
  gboolean refused;
} Item;

typedef struct
{
  Clock *clock;
  Admission *admission;
  Item items[ITEMS_MAX];
  guint count;
} Replay;

static Replay *
replay_create (void)
{
  Replay *replay = g_new0 (Replay, 1);

  replay->clock = clock_create_manual (SECOND_US);
  replay->admission = admission_create (SLOTS, QUEUE, replay->clock);
  admission_set_adaptive (replay->admission, FALSE);
  return replay;
}

static void
replay_destroy (Replay *replay)
{
  admission_destroy (replay->admission);
  clock_destroy (replay->clock);
  g_free (replay);
}

static void
start (Replay *replay, Item *item)
{
  item->ends_us = clock_now (replay->clock) + WORK_US;
}

static void
arrive_with_deadline (Replay *replay, guint priority, gint64 deadline_us)
{
  Item *item = &replay->items[replay->count++];
  gint64 now = clock_now (replay->clock);
  AdmissionParams order = { .priority = priority,
                            .deadline_us = now + deadline_us,
                            .on_time_by_us = now + OBJECTIVE_US - WORK_US };
  Item *displaced;

  item->priority = priority;
  item->arrived_us = now;
  switch (admission_offer (replay->admission, item, &order))
    {
    case ADMISSION_START:
      start (replay, item);
      break;
    case ADMISSION_REFUSED:
      item->refused = TRUE;
      break;
    default:
      displaced = admission_displaced (replay->admission);
      if (displaced)
        displaced->refused = TRUE;
      break;
    }
}

static void
arrive (Replay *replay, guint priority)
{
  arrive_with_deadline (replay, priority, DEADLINE_US);
}

/* Advances the clock by one step: requests that end release their slots, expired ones are
   refused, and waiting ones start. */
static void
step (Replay *replay)
{
  Item *next;
  gint64 now;

  clock_advance (replay->clock, STEP_US);
  now = clock_now (replay->clock);
  for (guint i = 0; i < replay->count; i++)
    if (replay->items[i].ends_us > now - STEP_US && replay->items[i].ends_us <= now)
      admission_release (replay->admission, WORK_US);
  while ((next = admission_expired (replay->admission)))
    next->refused = TRUE;
  while ((next = admission_next (replay->admission)))
    start (replay, next);
}

/* Offers a request every `every_us`; every fourth has the higher priority (0). */
static void
load (Replay *replay, gint64 every_us, gint64 for_us)
{
  gint64 end = clock_now (replay->clock) + for_us;
  gint64 next = clock_now (replay->clock);

  while (clock_now (replay->clock) < end)
    {
      if (clock_now (replay->clock) >= next)
        {
          arrive (replay, replay->count % 4 == 0 ? 0 : 1);
          next += every_us;
        }
      step (replay);
    }
}

static gboolean
is_on_time (const Item *item)
{
  return item->ends_us > 0 && item->ends_us <= item->arrived_us + OBJECTIVE_US + STEP_US;
}

/* Returns the percentage of requests on time among those that came from `from_us` up to
   `to_us`. */
static guint
on_time_percent (const Replay *replay, gint64 from_us, gint64 to_us)
{
  guint came = 0;
  guint good = 0;

  for (guint i = 0; i < replay->count; i++)
    if (replay->items[i].arrived_us >= from_us && replay->items[i].arrived_us < to_us)
      {
        came++;
        good += is_on_time (&replay->items[i]);
      }
  assert_true (came > 0);
  return came > 0 ? 100 * good / came : 0;
}

/* The load is twice the capacity for 3 s, then 80 % of it. If the queue were served in
   order of arrival, the backlog would make the next seconds late as well (25 % on time
   instead of 100 %). */
static void
test_a_burst_does_not_delay_later_requests (void **state)
{
  Replay *replay = replay_create ();
  gint64 began;

  load (replay, 125 * MS_US, 2 * SECOND_US);
  load (replay, 50 * MS_US, 3 * SECOND_US);
  began = clock_now (replay->clock);
  load (replay, 125 * MS_US, 3 * SECOND_US);
  assert_true (on_time_percent (replay, began, clock_now (replay->clock)) >= 90);
  replay_destroy (replay);
}

/* During an overload the slots serve requests that can still be on time before those that
   are late already. */
static void
test_an_overload_serves_half_on_time_by_priority (void **state)
{
  Replay *replay = replay_create ();
  guint high = 0;
  guint high_good = 0;

  load (replay, 50 * MS_US, 6 * SECOND_US);
  load (replay, 500 * MS_US, 4 * SECOND_US);
  for (guint i = 0; i < replay->count; i++)
    if (replay->items[i].priority == 0)
      {
        high++;
        high_good += is_on_time (&replay->items[i]);
      }
  assert_true (on_time_percent (replay, SECOND_US, 7 * SECOND_US) >= 45);
  assert_int_equal (high_good, high);
  replay_destroy (replay);
}

/* Late requests are served once there is room, instead of being refused. */
static void
test_late_requests_are_served_after_an_overload (void **state)
{
  Replay *replay = replay_create ();
  guint lost = 0;

  load (replay, 50 * MS_US, 1500 * MS_US);
  load (replay, 400 * MS_US, 6 * SECOND_US);
  for (guint i = 0; i < replay->count; i++)
    lost += replay->items[i].refused;
  assert_int_equal (lost, 0);
  replay_destroy (replay);
}

/* In a full queue a late request is displaced by one that can be on time. */
static void
test_late_requests_make_room (void **state)
{
  Replay *replay = replay_create ();
  guint refused = 0;

  for (guint i = 0; i < SLOTS + QUEUE / 2; i++)
    arrive (replay, 1);
  clock_advance (replay->clock, OBJECTIVE_US);
  for (guint i = 0; i < QUEUE / 2; i++)
    arrive (replay, 1);
  arrive (replay, 1);
  assert_false (replay->items[SLOTS + QUEUE].refused);
  for (guint i = 0; i < SLOTS + QUEUE; i++)
    refused += replay->items[i].refused;
  assert_int_equal (refused, 1);
  replay_destroy (replay);
}

/* Offers requests of the highest priority that need more than all slots, and every
   `lower_every`th of a lower one. */
static void
load_mostly_high (Replay *replay,
                  guint lower_every,
                  gint64 lower_deadline_us,
                  gint64 for_us)
{
  gint64 end = clock_now (replay->clock) + for_us;

  for (guint i = 0; clock_now (replay->clock) < end; i++)
    {
      if (i % lower_every == 0)
        arrive_with_deadline (replay, 1, lower_deadline_us);
      else
        arrive (replay, 0);
      for (guint steps = 0; steps < 10; steps++)
        step (replay);
    }
}

static guint
served_percent (const Replay *replay, guint priority)
{
  guint came = 0;
  guint good = 0;

  for (guint i = 0; i < replay->count; i++)
    if (replay->items[i].priority == priority)
      {
        came++;
        good += replay->items[i].ends_us > 0;
      }
  assert_true (came > 0);
  return came > 0 ? 100 * good / came : 0;
}

/* Twenty requests a second at a target that serves ten: what ranked highest, three in
   four, took all its slots for as long as it lasted. */
static void
test_a_lasting_load_starves_lower_priorities (void **state)
{
  Replay *replay = replay_create ();

  load_mostly_high (replay, 4, DEADLINE_US, 15 * SECOND_US);
  print_message ("served: %u %% of the higher, %u %% of the lower\n",
                 served_percent (replay, 0), served_percent (replay, 1));
  assert_true (served_percent (replay, 0) >= 45);
  assert_true (4 * served_percent (replay, 1) >= served_percent (replay, 0));
  replay_destroy (replay);
}

/* Its turn was counted from its arrival instead of from the last start of its kind. */
static void
test_a_rare_lower_priority_is_refused_although_its_turn_is_near (void **state)
{
  Replay *replay = replay_create ();

  load_mostly_high (replay, 16, SECOND_US, 19 * SECOND_US);
  print_message ("served: %u %% of the higher, %u %% of the lower\n",
                 served_percent (replay, 0), served_percent (replay, 1));
  assert_true (4 * served_percent (replay, 1) >= served_percent (replay, 0));
  replay_destroy (replay);
}

/* The share of all lower priorities together was used up by the one in the middle. */
static void
test_a_middle_priority_uses_up_the_share_of_the_lowest (void **state)
{
  Replay *replay = replay_create ();
  gint64 end = clock_now (replay->clock) + 19 * SECOND_US;

  for (guint i = 0; clock_now (replay->clock) < end; i++)
    {
      if (i % 16 == 5)
        arrive_with_deadline (replay, 2, SECOND_US);
      else
        arrive (replay, i % 3 == 0 ? 0 : 1);
      for (guint steps = 0; steps < 10; steps++)
        step (replay);
    }
  print_message ("served: %u, %u and %u %%\n", served_percent (replay, 0),
                 served_percent (replay, 1), served_percent (replay, 2));
  assert_true (4 * served_percent (replay, 2) >= served_percent (replay, 0));
  assert_true (4 * served_percent (replay, 2) >= served_percent (replay, 1));
  replay_destroy (replay);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_a_burst_does_not_delay_later_requests),
    cmocka_unit_test (test_an_overload_serves_half_on_time_by_priority),
    cmocka_unit_test (test_late_requests_are_served_after_an_overload),
    cmocka_unit_test (test_late_requests_make_room),
    cmocka_unit_test (test_a_lasting_load_starves_lower_priorities),
    cmocka_unit_test (test_a_rare_lower_priority_is_refused_although_its_turn_is_near),
    cmocka_unit_test (test_a_middle_priority_uses_up_the_share_of_the_lowest),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
