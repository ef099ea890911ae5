/*
 * Tests which requests are quarantined, at which nodes, and when they are released. The
 * nodes exchange updates only when a test makes them do so.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <core/quarantine.h>

#include <string.h>

#define NODES 4u
#define SERVICE 7u
#define VERSION 1u
#define UPDATES_MAX 64u
/* The machine has been up for a month. Updates of an entry without a trial once carried
   the age of time 0, which peers rejected as implausible, so that they did not quarantine
   the request. The fault did not show on machines that had just been started. */
#define UPTIME_US (30 * 24 * 3600 * SECOND_US)
/* The time between crashes that one request causes, which runs for some 65 ms before
   each. */
#define CRASH_GAP_US (100 * MS_US)
/* The time until a quarantine is in force: QUARANTINE_SETTLE_US, with a margin. */
#define SETTLED_US (400 * MS_US)

typedef struct
{
  Clock *clock;
  Quarantine *nodes[NODES];
  guint32 ends;
} Fixture;

static const Fingerprint deadly = { 0xdeadull << 48, 1 };
static const Fingerprint sound = { 0x50ull << 48, 0 };
static const Fingerprint other = { 0x07ull << 48, 0 };

static int
set_up (void **state)
{
  Fixture *fixture = g_new0 (Fixture, 1);

  fixture->clock = clock_create_manual (UPTIME_US);
  for (guint i = 0; i < NODES; i++)
    fixture->nodes[i] = quarantine_create (fixture->clock);
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  Fixture *fixture = *state;

  for (guint i = 0; i < NODES; i++)
    quarantine_destroy (fixture->nodes[i]);
  clock_destroy (fixture->clock);
  g_free (fixture);
  return 0;
}

static void
advance (Fixture *fixture, gint64 us)
{
  clock_advance (fixture->clock, us);
  for (guint i = 0; i < NODES; i++)
    quarantine_tick (fixture->nodes[i]);
}

/* The target beside a node crashes while it runs `count` requests. */
static void
crash_under (Fixture *fixture, guint node, const Fingerprint *requests, guint count)
{
  g_autoptr (GArray) work = g_array_new (FALSE, FALSE, sizeof (Fingerprint));

  g_array_append_vals (work, requests, count);
  quarantine_note_end (fixture->nodes[node], ++fixture->ends, SERVICE, VERSION, work);
}

static void
send_updates (Fixture *fixture, guint from, guint to)
{
  QuarantineUpdate updates[UPDATES_MAX];
  guint count = quarantine_next_part (fixture->nodes[from], updates, UPDATES_MAX);

  for (guint i = 0; i < count; i++)
    quarantine_merge (fixture->nodes[to], &updates[i]);
}

/* Exchanges updates until every node has all of them. */
static void
exchange_all_updates (Fixture *fixture)
{
  for (guint round = 0; round < 2; round++)
    for (guint i = 0; i < NODES; i++)
      for (guint j = 0; j < NODES; j++)
        if (i != j)
          send_updates (fixture, i, j);
}

static QuarantineState
state_at (Fixture *fixture, guint node, const Fingerprint *request)
{
  return quarantine_check (fixture->nodes[node], request).state;
}

/* Three targets in turn crash under the request, each beside another node. */
static void
crash_three_targets (Fixture *fixture, const Fingerprint *request)
{
  for (guint i = 0; i < QUARANTINE_ENDS_LIMIT; i++)
    {
      crash_under (fixture, i, request, 1);
      advance (fixture, CRASH_GAP_US);
    }
}

/* Quarantines the request and makes its first trial, which crashes a target too. */
static void
quarantine_and_try (Fixture *fixture, const Fingerprint *request)
{
  crash_three_targets (fixture, request);
  exchange_all_updates (fixture);
  advance (fixture, SETTLED_US);
  exchange_all_updates (fixture);
  assert_true (quarantine_begin_trial (fixture->nodes[0], request));
  crash_under (fixture, 0, request, 1);
  exchange_all_updates (fixture);
}

/* Three nodes have seen one crash each, and a fourth none. */
static void
test_a_node_that_saw_no_crash_quarantines_too (void **state)
{
  Fixture *fixture = *state;

  crash_three_targets (fixture, &deadly);
  exchange_all_updates (fixture);
  advance (fixture, SETTLED_US);
  for (guint i = 0; i < NODES; i++)
    assert_true (state_at (fixture, i, &deadly) >= QUARANTINE_TRIAL);
  assert_int_equal (state_at (fixture, 3, &sound), QUARANTINE_FREE);
}

static void
test_two_crashes_are_not_enough (void **state)
{
  Fixture *fixture = *state;

  crash_under (fixture, 0, &deadly, 1);
  advance (fixture, CRASH_GAP_US);
  assert_int_equal (state_at (fixture, 0, &deadly), QUARANTINE_SUSPECT);
  crash_under (fixture, 0, &deadly, 1);
  advance (fixture, SETTLED_US);
  assert_int_equal (state_at (fixture, 0, &deadly), QUARANTINE_DOUBTED);
}

/* A node that hears of a crash repeatedly, from several others, counts it once. */
static void
test_repeated_updates_count_once (void **state)
{
  Fixture *fixture = *state;

  crash_under (fixture, 0, &deadly, 1);
  advance (fixture, CRASH_GAP_US);
  crash_under (fixture, 1, &deadly, 1);
  for (guint i = 0; i < 5; i++)
    exchange_all_updates (fixture);
  advance (fixture, SETTLED_US);
  for (guint i = 0; i < NODES; i++)
    assert_int_equal (state_at (fixture, i, &deadly), QUARANTINE_DOUBTED);
  assert_int_equal (quarantine_digest (fixture->nodes[0]),
                    quarantine_digest (fixture->nodes[3]));
}

/* A hall fails: all its targets crash at one moment, each under the same path with an
   empty body, and no target anywhere has answered that request. */
static void
test_simultaneous_crashes_count_once (void **state)
{
  Fixture *fixture = *state;

  for (guint i = 0; i < 12; i++)
    {
      crash_under (fixture, i % NODES, &sound, 1);
      clock_advance (fixture->clock, 2 * MS_US);
    }
  exchange_all_updates (fixture);
  advance (fixture, SETTLED_US);
  assert_int_equal (state_at (fixture, 0, &sound), QUARANTINE_SUSPECT);
}

/* Targets crash in turn, each while it runs the same request, which the targets that are
   up answer. */
static void
test_an_answer_anywhere_clears_a_request (void **state)
{
  Fixture *fixture = *state;

  for (guint i = 0; i < 20; i++)
    {
      crash_under (fixture, i % NODES, &sound, 1);
      exchange_all_updates (fixture);
      advance (fixture, CRASH_GAP_US / 2);
      assert_true (state_at (fixture, 0, &sound) < QUARANTINE_TRIAL);
      assert_true (quarantine_note_answer (fixture->nodes[(i + 1) % NODES], &sound));
      exchange_all_updates (fixture);
      advance (fixture, CRASH_GAP_US / 2);
      for (guint j = 0; j < NODES; j++)
        assert_int_equal (state_at (fixture, j, &sound), QUARANTINE_FREE);
    }
}

/* An answer within QUARANTINE_SETTLE_US of the third crash prevents the quarantine. */
static void
test_an_answer_while_settling_clears_a_request (void **state)
{
  Fixture *fixture = *state;

  crash_three_targets (fixture, &sound);
  exchange_all_updates (fixture);
  advance (fixture, QUARANTINE_SETTLE_US - CRASH_GAP_US - MS_US);
  for (guint i = 0; i < NODES; i++)
    assert_true (state_at (fixture, i, &sound) < QUARANTINE_TRIAL);
  assert_true (quarantine_note_answer (fixture->nodes[3], &sound));
  exchange_all_updates (fixture);
  advance (fixture, SETTLED_US);
  for (guint i = 0; i < NODES; i++)
    assert_int_equal (state_at (fixture, i, &sound), QUARANTINE_FREE);
}

/* Four to eight other requests are at work at each crash that `deadly` causes. They are
   new ones each time, except for one that is at work at two of the crashes. */
static void
test_concurrent_requests_are_not_quarantined (void **state)
{
  Fixture *fixture = *state;
  Fingerprint work[11] = { deadly, other };

  for (guint i = 0; i < 5; i++)
    {
      guint count = 5 + i;

      for (guint j = i < 2 ? 2 : 1; j < count; j++)
        work[j] = (Fingerprint){ ((guint64)i << 56) | ((guint64)j << 40) | 1, 0 };
      crash_under (fixture, i % NODES, work, count);
      exchange_all_updates (fixture);
      advance (fixture, CRASH_GAP_US);
    }
  advance (fixture, SETTLED_US);
  for (guint i = 0; i < NODES; i++)
    {
      const GArray *entries = quarantine_entries (fixture->nodes[i]);
      guint held = 0;

      for (guint j = 0; j < entries->len; j++)
        held += g_array_index (entries, QuarantineEntry, j).held_us != 0;
      assert_int_equal (held, 1);
      assert_true (state_at (fixture, i, &deadly) >= QUARANTINE_TRIAL);
      assert_true (state_at (fixture, i, &other) < QUARANTINE_TRIAL);
    }
}

/* `other` is at work at three of the four crashes that `deadly` causes; the fourth tells
   them apart. */
static void
test_a_crash_counts_against_the_most_frequent_request (void **state)
{
  Fixture *fixture = *state;
  const Fingerprint both[] = { deadly, other };

  crash_under (fixture, 0, &deadly, 1);
  exchange_all_updates (fixture);
  for (guint i = 0; i < 3; i++)
    {
      advance (fixture, CRASH_GAP_US);
      crash_under (fixture, i, both, 2);
      exchange_all_updates (fixture);
    }
  advance (fixture, SETTLED_US);
  assert_true (state_at (fixture, 3, &deadly) >= QUARANTINE_TRIAL);
  assert_true (state_at (fixture, 3, &other) < QUARANTINE_TRIAL);
}

/* Two requests that were at work at the same three crashes cannot be told apart. The next
   request of each is its trial, so that the harmless one is not refused. */
static void
test_indistinguishable_requests_are_tried_at_once (void **state)
{
  Fixture *fixture = *state;
  const Fingerprint both[] = { deadly, other };

  for (guint i = 0; i < QUARANTINE_ENDS_LIMIT; i++)
    {
      crash_under (fixture, i, both, 2);
      advance (fixture, CRASH_GAP_US);
    }
  exchange_all_updates (fixture);
  advance (fixture, SETTLED_US);
  assert_int_equal (state_at (fixture, 0, &other), QUARANTINE_TRIAL);
  assert_true (quarantine_begin_trial (fixture->nodes[0], &other));
  assert_true (quarantine_begin_trial (fixture->nodes[0], &deadly));
  assert_true (quarantine_note_answer (fixture->nodes[0], &other));
  exchange_all_updates (fixture);
  for (guint i = 0; i < NODES; i++)
    {
      assert_int_equal (state_at (fixture, i, &other), QUARANTINE_FREE);
      assert_int_equal (state_at (fixture, i, &deadly), QUARANTINE_HELD);
    }
}

/* A crash under a quarantined request counts against that request alone. */
static void
test_a_trial_crash_counts_against_the_trial_only (void **state)
{
  Fixture *fixture = *state;
  const Fingerprint both[] = { other, deadly };

  quarantine_and_try (fixture, &deadly);
  for (guint i = 0; i < QUARANTINE_ENDS_LIMIT; i++)
    {
      advance (fixture, CRASH_GAP_US);
      crash_under (fixture, i, both, 2);
      exchange_all_updates (fixture);
    }
  advance (fixture, SETTLED_US);
  assert_int_equal (state_at (fixture, 0, &other), QUARANTINE_FREE);
}

/* Trials are made at once, after a minute and after ten, one at a time in the whole
   fleet. */
static void
test_trials_are_single_and_back_off (void **state)
{
  Fixture *fixture = *state;
  QuarantineVerdict verdict;

  quarantine_and_try (fixture, &deadly);
  for (guint i = 0; i < NODES; i++)
    assert_false (quarantine_begin_trial (fixture->nodes[i], &deadly));
  verdict = quarantine_check (fixture->nodes[3], &deadly);
  assert_int_equal (verdict.state, QUARANTINE_HELD);
  assert_in_range (verdict.retry_after_us, QUARANTINE_PAUSE_FIRST_US - SECOND_US,
                   QUARANTINE_PAUSE_FIRST_US);
  advance (fixture, QUARANTINE_PAUSE_FIRST_US);
  assert_true (quarantine_begin_trial (fixture->nodes[1], &deadly));
  crash_under (fixture, 1, &deadly, 1);
  exchange_all_updates (fixture);
  advance (fixture, QUARANTINE_PAUSE_SECOND_US - SECOND_US);
  assert_int_equal (state_at (fixture, 0, &deadly), QUARANTINE_HELD);
  advance (fixture, SECOND_US);
  assert_int_equal (state_at (fixture, 0, &deadly), QUARANTINE_TRIAL);
}

/* An entry that has been quarantined for hours is still exchanged, so that all nodes know
   of each trial. */
static void
test_trials_stay_single_for_hours (void **state)
{
  Fixture *fixture = *state;

  quarantine_and_try (fixture, &deadly);
  for (guint i = 0; i < 12; i++)
    {
      advance (fixture, quarantine_check (fixture->nodes[0], &deadly).retry_after_us);
      assert_true (quarantine_begin_trial (fixture->nodes[1], &deadly));
      crash_under (fixture, 1, &deadly, 1);
      exchange_all_updates (fixture);
      for (guint j = 0; j < NODES; j++)
        assert_int_equal (state_at (fixture, j, &deadly), QUARANTINE_HELD);
    }
}

/* A trial that a target in a bad spell has broken off is soon repeated, but only once,
   because each repetition reaches one more target. */
static void
test_an_undecided_trial_is_repeated_once (void **state)
{
  Fixture *fixture = *state;

  crash_three_targets (fixture, &deadly);
  exchange_all_updates (fixture);
  advance (fixture, SETTLED_US);
  assert_true (quarantine_begin_trial (fixture->nodes[0], &deadly));
  quarantine_trial_undecided (fixture->nodes[0], &deadly);
  assert_false (quarantine_begin_trial (fixture->nodes[0], &deadly));
  advance (fixture, QUARANTINE_PAUSE_UNDECIDED_US);
  assert_true (quarantine_begin_trial (fixture->nodes[0], &deadly));
  quarantine_trial_undecided (fixture->nodes[0], &deadly);
  advance (fixture, QUARANTINE_PAUSE_UNDECIDED_US);
  assert_false (quarantine_begin_trial (fixture->nodes[0], &deadly));
}

static void
test_a_good_trial_ends_the_quarantine_everywhere (void **state)
{
  Fixture *fixture = *state;

  quarantine_and_try (fixture, &sound);
  advance (fixture, QUARANTINE_PAUSE_FIRST_US);
  assert_true (quarantine_begin_trial (fixture->nodes[2], &sound));
  assert_true (quarantine_note_answer (fixture->nodes[2], &sound));
  exchange_all_updates (fixture);
  for (guint i = 0; i < NODES; i++)
    assert_int_equal (state_at (fixture, i, &sound), QUARANTINE_FREE);
}

/* Updates from before an answer are ignored when they arrive after it. */
static void
test_updates_from_before_an_answer_are_ignored (void **state)
{
  Fixture *fixture = *state;
  QuarantineUpdate old[UPDATES_MAX];
  guint count;

  quarantine_and_try (fixture, &sound);
  count = quarantine_next_part (fixture->nodes[0], old, UPDATES_MAX);
  quarantine_note_answer (fixture->nodes[1], &sound);
  exchange_all_updates (fixture);
  for (guint i = 0; i < count; i++)
    assert_false (quarantine_merge (fixture->nodes[2], &old[i]));
  assert_int_equal (state_at (fixture, 2, &sound), QUARANTINE_FREE);
}

/* A restarted or partitioned node lacks entries, so that its digest differs. */
static void
test_a_restarted_node_learns_all_entries (void **state)
{
  Fixture *fixture = *state;

  quarantine_and_try (fixture, &deadly);
  quarantine_destroy (fixture->nodes[3]);
  fixture->nodes[3] = quarantine_create (fixture->clock);
  assert_int_not_equal (quarantine_digest (fixture->nodes[3]),
                        quarantine_digest (fixture->nodes[0]));
  send_updates (fixture, 0, 3);
  assert_int_equal (state_at (fixture, 3, &deadly), QUARANTINE_HELD);
  assert_int_equal (quarantine_digest (fixture->nodes[3]),
                    quarantine_digest (fixture->nodes[0]));
}

/* Two partitions of the fleet count separately and agree once they are connected. */
static void
test_partitions_agree_after_they_heal (void **state)
{
  Fixture *fixture = *state;

  crash_under (fixture, 0, &deadly, 1);
  advance (fixture, CRASH_GAP_US);
  crash_under (fixture, 1, &deadly, 1);
  send_updates (fixture, 0, 1);
  advance (fixture, CRASH_GAP_US);
  crash_under (fixture, 2, &deadly, 1);
  send_updates (fixture, 2, 3);
  advance (fixture, SETTLED_US);
  assert_int_equal (state_at (fixture, 1, &deadly), QUARANTINE_DOUBTED);
  assert_int_equal (state_at (fixture, 3, &deadly), QUARANTINE_SUSPECT);
  exchange_all_updates (fixture);
  for (guint i = 0; i < NODES; i++)
    assert_int_equal (state_at (fixture, i, &deadly), QUARANTINE_TRIAL);
}

static void
test_suspects_are_forgotten_after_some_time (void **state)
{
  Fixture *fixture = *state;

  crash_under (fixture, 0, &deadly, 1);
  advance (fixture, QUARANTINE_RETENTION_US - SECOND_US);
  assert_int_equal (state_at (fixture, 0, &deadly), QUARANTINE_SUSPECT);
  advance (fixture, 2 * SECOND_US);
  assert_int_equal (quarantine_entries (fixture->nodes[0])->len, 0);
  assert_int_equal (quarantine_digest (fixture->nodes[0]), 0);
}

/* An entry is dropped when nobody has sent the request for an hour after its next trial
   was due. */
static void
test_quarantined_entries_expire (void **state)
{
  Fixture *fixture = *state;

  quarantine_and_try (fixture, &deadly);
  advance (fixture, QUARANTINE_PAUSE_FIRST_US + QUARANTINE_PAUSE_MAX_US + SECOND_US);
  assert_int_equal (quarantine_entries (fixture->nodes[0])->len, 0);
}

/* A caller that sends a new request each time displaces no quarantined entry. */
static void
test_a_full_list_keeps_quarantined_entries (void **state)
{
  Fixture *fixture = *state;

  quarantine_and_try (fixture, &deadly);
  for (guint i = 0; i < 10000; i++)
    {
      const Fingerprint fresh = { 0xf00dull << 40 | i, 0 };

      crash_under (fixture, 0, &fresh, 1);
      clock_advance (fixture->clock, MS_US);
    }
  assert_int_equal (quarantine_entries (fixture->nodes[0])->len, QUARANTINE_ENTRIES_MAX);
  assert_int_equal (state_at (fixture, 0, &deadly), QUARANTINE_HELD);
}

/* A list full of requests with two crashes each does not accept one with a first crash.
   Otherwise nodes that know of more entries than they can keep would exchange them
   endlessly. */
static void
test_a_full_list_rejects_entries_with_fewer_crashes (void **state)
{
  Fixture *fixture = *state;
  const Fingerprint fresh = { 0xf00dull << 40, 0 };

  for (guint round = 0; round < 2; round++)
    for (guint i = 0; i < QUARANTINE_ENTRIES_MAX; i++)
      {
        const Fingerprint known = { (i + 1ull) << 32, 0 };

        crash_under (fixture, 0, &known, 1);
        clock_advance (fixture->clock, CRASH_GAP_US);
      }
  crash_under (fixture, 0, &fresh, 1);
  assert_int_equal (state_at (fixture, 0, &fresh), QUARANTINE_FREE);
  for (guint i = 0; i < QUARANTINE_ENTRIES_MAX; i++)
    {
      const Fingerprint known = { (i + 1ull) << 32, 0 };

      assert_int_equal (state_at (fixture, 0, &known), QUARANTINE_DOUBTED);
    }
}

/* When more requests are at work than a crash counts against, known ones are counted
   first. */
static void
test_known_requests_are_counted_first (void **state)
{
  Fixture *fixture = *state;
  Fingerprint work[40];

  crash_under (fixture, 0, &deadly, 1);
  for (guint i = 0; i < 2; i++)
    {
      advance (fixture, CRASH_GAP_US);
      for (guint j = 0; j < G_N_ELEMENTS (work); j++)
        work[j] = (Fingerprint){ (guint64)(i + 1) << 48 | j << 8 | 1, 0 };
      work[G_N_ELEMENTS (work) - 1] = deadly;
      crash_under (fixture, 0, work, G_N_ELEMENTS (work));
    }
  advance (fixture, SETTLED_US);
  assert_int_equal (state_at (fixture, 0, &deadly), QUARANTINE_TRIAL);
}

/* Another version of the software may not crash under the request. So one trial is due at
   once, unless two have been made already. */
static void
test_a_new_version_may_be_tried (void **state)
{
  Fixture *fixture = *state;

  quarantine_and_try (fixture, &deadly);
  quarantine_note_version (fixture->nodes[0], SERVICE, VERSION);
  assert_int_equal (state_at (fixture, 0, &deadly), QUARANTINE_HELD);
  quarantine_note_version (fixture->nodes[0], SERVICE + 1, VERSION + 1);
  assert_int_equal (state_at (fixture, 0, &deadly), QUARANTINE_HELD);
  quarantine_note_version (fixture->nodes[0], SERVICE, VERSION + 1);
  exchange_all_updates (fixture);
  assert_int_equal (state_at (fixture, 3, &deadly), QUARANTINE_TRIAL);
  assert_true (quarantine_begin_trial (fixture->nodes[3], &deadly));
  exchange_all_updates (fixture);
  quarantine_note_version (fixture->nodes[1], SERVICE, VERSION + 2);
  assert_int_equal (state_at (fixture, 1, &deadly), QUARANTINE_HELD);
}

static void
test_an_operator_lifts_an_entry (void **state)
{
  Fixture *fixture = *state;
  g_autofree char *digits = fingerprint_text (&deadly);

  quarantine_and_try (fixture, &deadly);
  assert_false (quarantine_lift (fixture->nodes[0], "00000000"));
  assert_true (quarantine_lift (fixture->nodes[0], digits));
  assert_false (quarantine_lift (fixture->nodes[0], digits));
  exchange_all_updates (fixture);
  for (guint i = 0; i < NODES; i++)
    assert_int_equal (state_at (fixture, i, &deadly), QUARANTINE_FREE);
}

/* Each change is sent a few times only, and nothing is sent while nothing changes. */
static void
test_updates_are_sent_a_few_times (void **state)
{
  Fixture *fixture = *state;
  QuarantineUpdate updates[UPDATES_MAX];
  guint sent = 0;

  crash_three_targets (fixture, &deadly);
  while (quarantine_urgency (fixture->nodes[0]) != QUARANTINE_UPDATES_NONE && sent < 1000)
    sent += quarantine_next_updates (fixture->nodes[0], updates, 1);
  assert_in_range (sent, 1, 20);
  assert_int_equal (quarantine_next_updates (fixture->nodes[0], updates, UPDATES_MAX), 0);
}

/* Updates with values that no node sends are ignored. */
static void
test_implausible_updates_are_ignored (void **state)
{
  Fixture *fixture = *state;
  QuarantineUpdate update = { .request = deadly, .service = SERVICE, .held_age_us = -1 };

  update.cleared_age_us = -1;
  update.end_count = QUARANTINE_ENDS_KEPT + 1;
  assert_false (quarantine_merge (fixture->nodes[0], &update));
  update.end_count = 1;
  update.end_ages_us[0] = -5;
  assert_false (quarantine_merge (fixture->nodes[0], &update));
  update.end_ages_us[0] = G_MAXINT64;
  assert_false (quarantine_merge (fixture->nodes[0], &update));
  update.end_count = 0;
  assert_false (quarantine_merge (fixture->nodes[0], &update));
  assert_int_equal (quarantine_entries (fixture->nodes[0])->len, 0);
}

/* Of ten crashes, which each node hears of in another order, all keep the same six. */
static void
test_nodes_agree_for_any_order_of_updates (void **state)
{
  Fixture *fixture = *state;

  for (guint i = 0; i < 10; i++)
    {
      crash_under (fixture, (i * 7) % NODES, &sound, 1);
      if (i % 3 == 0)
        send_updates (fixture, i % NODES, (i + 1) % NODES);
      clock_advance (fixture->clock, MS_US);
    }
  exchange_all_updates (fixture);
  exchange_all_updates (fixture);
  for (guint i = 1; i < NODES; i++)
    assert_int_equal (quarantine_digest (fixture->nodes[0]),
                      quarantine_digest (fixture->nodes[i]));
}

int
main (void)
{
#define TEST(name) cmocka_unit_test_setup_teardown (name, set_up, tear_down)
  const struct CMUnitTest tests[] = {
    TEST (test_a_node_that_saw_no_crash_quarantines_too),
    TEST (test_two_crashes_are_not_enough),
    TEST (test_repeated_updates_count_once),
    TEST (test_simultaneous_crashes_count_once),
    TEST (test_an_answer_anywhere_clears_a_request),
    TEST (test_an_answer_while_settling_clears_a_request),
    TEST (test_concurrent_requests_are_not_quarantined),
    TEST (test_a_crash_counts_against_the_most_frequent_request),
    TEST (test_indistinguishable_requests_are_tried_at_once),
    TEST (test_a_trial_crash_counts_against_the_trial_only),
    TEST (test_trials_are_single_and_back_off),
    TEST (test_trials_stay_single_for_hours),
    TEST (test_an_undecided_trial_is_repeated_once),
    TEST (test_a_good_trial_ends_the_quarantine_everywhere),
    TEST (test_updates_from_before_an_answer_are_ignored),
    TEST (test_a_restarted_node_learns_all_entries),
    TEST (test_partitions_agree_after_they_heal),
    TEST (test_suspects_are_forgotten_after_some_time),
    TEST (test_quarantined_entries_expire),
    TEST (test_a_full_list_keeps_quarantined_entries),
    TEST (test_a_full_list_rejects_entries_with_fewer_crashes),
    TEST (test_known_requests_are_counted_first),
    TEST (test_a_new_version_may_be_tried),
    TEST (test_an_operator_lifts_an_entry),
    TEST (test_updates_are_sent_a_few_times),
    TEST (test_implausible_updates_are_ignored),
    TEST (test_nodes_agree_for_any_order_of_updates),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
