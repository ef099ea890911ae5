/*
 * Tests of a machine that is suspended for seconds. The monotonic clock stands still
 * during a suspension, so that a node would take all its state for recent: it would use
 * requests lent for half a second seconds later, count departed members as just heard
 * from, and wait for deadlines that have passed. The node's clock counts suspended time,
 * and these tests check how each component handles the jump.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <time.h>

#include <core/admission.h>
#include <core/allowance.h>
#include <core/dispatch.h>
#include <core/fence.h>
#include <core/members.h>
#include <core/quarantine.h>

#define SUSPENDED_US (7 * SECOND_US)
#define MONOTONIC_S 100

/* How many seconds the machine has been suspended so far. */
static time_t suspended_s;

/* Replaces the C library's function; only CLOCK_BOOTTIME includes suspended time. */
int
clock_gettime (clockid_t id, struct timespec *now)
{
  now->tv_nsec = 0;
  now->tv_sec = MONOTONIC_S + (id == CLOCK_BOOTTIME ? suspended_s : 0);
  return 0;
}

static void
test_the_clock_counts_the_time_of_a_suspension (void **state)
{
  Clock *clock = clock_create_boottime ();
  gint64 before = clock_now (clock);

  suspended_s = SUSPENDED_US / SECOND_US;
  assert_int_equal (clock_now (clock) - before, SUSPENDED_US);
  clock_destroy (clock);
}

static void
test_lent_requests_are_not_used_afterwards (void **state)
{
  Clock *clock = clock_create_manual (SECOND_US);
  AllowanceCache *cache = allowance_cache_create (clock);
  gint64 asked_us = clock_now (clock);

  allowance_cache_add (cache, "acme", 5, asked_us);
  clock_advance (clock, SUSPENDED_US);
  assert_false (allowance_cache_take (cache, "acme"));
  /* Requests lent before the suspension and added only now are not used either. */
  allowance_cache_add (cache, "acme", 5, asked_us);
  assert_false (allowance_cache_take (cache, "acme"));
  allowance_cache_destroy (cache);
  clock_destroy (clock);
}

/* All waiting requests expire at once, and none of them starts. */
static void
test_requests_queued_past_their_deadline_do_not_start (void **state)
{
  Clock *clock = clock_create_manual (SECOND_US);
  Admission *admission = admission_create (1, 4, clock);
  AdmissionParams order = { 1, clock_now (clock) + SECOND_US, 0 };
  int items[3];

  assert_int_equal (admission_offer (admission, &items[0], &order), ADMISSION_START);
  assert_int_equal (admission_offer (admission, &items[1], &order), ADMISSION_QUEUED);
  assert_int_equal (admission_offer (admission, &items[2], &order), ADMISSION_QUEUED);
  clock_advance (clock, SUSPENDED_US);
  assert_non_null (admission_expired (admission));
  assert_non_null (admission_expired (admission));
  admission_release (admission, -1);
  assert_null (admission_next (admission));
  admission_destroy (admission);
  clock_destroy (clock);
}

/* A request whose deadline has passed is answered as not run instead of being sent. */
static void
test_a_request_past_its_deadline_is_not_sent (void **state)
{
  Clock *clock = clock_create_manual (SECOND_US);
  GRand *rand = g_rand_new_with_seed (1);
  DispatchPolicy policy = { .repeatable = TRUE,
                            .deadline_us = clock_now (clock) + SECOND_US,
                            .attempts_max = 3 };
  Dispatch *dispatch = dispatch_create (&policy, rand, clock);
  DispatchStep step = dispatch_begin (dispatch);

  assert_int_equal (step.kind, DISPATCH_CHOOSE);
  clock_advance (clock, SUSPENDED_US);
  step = dispatch_chosen (dispatch, TRUE, 0);
  assert_int_equal (step.kind, DISPATCH_ANSWER);
  assert_int_equal (step.outcome, OUTCOME_NOT_RUN);
  dispatch_destroy (dispatch);
  g_rand_free (rand);
  clock_destroy (clock);
}

/* A clock reading from before the suspension is older than the fence's window. */
static void
test_the_fence_rejects_readings_before_its_window (void **state)
{
  static const FenceLimits limits = { 5 * SECOND_US, 64, 4096 };
  Clock *clock = clock_create_manual (100 * SECOND_US);
  Fence *fence = fence_create (&limits, 3, clock);
  AttemptId id = { "vm-1", 7, 1 };
  gint64 reading_us = clock_now (clock);
  FenceEntry *entry;

  clock_advance (clock, SUSPENDED_US);
  assert_int_equal (fence_submit (fence, &id, 3, reading_us, &entry), FENCE_STALE);
  fence_destroy (fence);
  clock_destroy (clock);
}

/* A node that heard nobody during a suspension declares none of the others dead. Only the
   subject of the probe in flight may become suspect. */
static void
test_the_others_are_not_declared_dead (void **state)
{
  static const char *const no_seeds[] = { NULL };
  Clock *clock = clock_create_manual (SECOND_US);
  GRand *rand = g_rand_new_with_seed (1);
  Member self = { .node = "a", .hall = "h", .address = "127.0.0.1:1", .incarnation = 1 };
  Members *members =
      members_create (&self, no_seeds, &members_timing_default, rand, clock);
  g_autoptr (GPtrArray) after = NULL;

  for (guint i = 0; i < 9; i++)
    {
      g_autofree char *name = g_strdup_printf ("b%u", i);
      Member other = { .node = name,
                       .hall = "h",
                       .address = "127.0.0.1:2",
                       .incarnation = 2 + i,
                       .epoch = 1,
                       .status = MEMBER_ALIVE };

      assert_true (members_merge (members, &other));
    }
  g_ptr_array_unref (members_tick (members));
  clock_advance (clock, SUSPENDED_US);
  after = members_tick (members);
  assert_int_equal (members_count_alive (members), 10);
  assert_in_range (after->len, 1, 5);
  members_destroy (members);
  g_rand_free (rand);
  clock_destroy (clock);
}

/* A quarantined request's next trial is due by elapsed time, including suspended time. */
static void
test_quarantine_trials_become_due (void **state)
{
  Clock *clock = clock_create_manual (1000 * SECOND_US);
  Quarantine *quarantine = quarantine_create (clock);
  Fingerprint deadly = { 1, 1 };
  g_autoptr (GArray) work = g_array_new (FALSE, FALSE, sizeof (Fingerprint));

  g_array_append_val (work, deadly);
  for (guint32 i = 1; i <= QUARANTINE_ENDS_LIMIT; i++)
    {
      quarantine_note_end (quarantine, i, 1, 1, work);
      clock_advance (clock, SECOND_US);
    }
  quarantine_tick (quarantine);
  assert_true (quarantine_begin_trial (quarantine, &deadly));
  clock_advance (clock, QUARANTINE_PAUSE_FIRST_US - SUSPENDED_US);
  assert_int_equal (quarantine_check (quarantine, &deadly).state, QUARANTINE_HELD);
  clock_advance (clock, SUSPENDED_US);
  assert_int_equal (quarantine_check (quarantine, &deadly).state, QUARANTINE_TRIAL);
  quarantine_destroy (quarantine);
  clock_destroy (clock);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_the_clock_counts_the_time_of_a_suspension),
    cmocka_unit_test (test_lent_requests_are_not_used_afterwards),
    cmocka_unit_test (test_requests_queued_past_their_deadline_do_not_start),
    cmocka_unit_test (test_a_request_past_its_deadline_is_not_sent),
    cmocka_unit_test (test_the_fence_rejects_readings_before_its_window),
    cmocka_unit_test (test_the_others_are_not_declared_dead),
    cmocka_unit_test (test_quarantine_trials_become_due),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
