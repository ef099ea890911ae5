/* Which connection an attempt uses, and when one is closed: load and failing targets are
 * replayed on a manual clock. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <core/connection-pool.h>

#define LIMIT 15u
/* Mean time between two requests at one target, and the time that each takes. */
#define GAP_US (140 * MS_US)
#define SERVICE_US (600 * MS_US)
/* The least rest after which targets were seen to forget a connection. */
#define FORGET_MIN_US (100 * MS_US)
#define CONNECTIONS_MAX 10000u

/* A target that may forget connections at rest, and the requests that run there. */
typedef struct
{
  Clock *clock;
  ConnectionPool *pool;
  GRand *rand;
  gint64 forget_us;    /* 0 for never */
  guint reset_percent; /* of all requests */
  GArray *ends;        /* of gint64, when each running request ends, sorted */
  guint next;          /* number of the next new connection */
  guint requests;
  guint died[2]; /* at rest, by whether the request was repeatable */
} Replay;

static Replay
setup (void)
{
  Replay replay = { .clock = clock_create_manual (1000 * SECOND_US) };

  replay.pool = connection_pool_create (replay.clock);
  replay.rand = g_rand_new_with_seed (7);
  replay.ends = g_array_new (FALSE, FALSE, sizeof (gint64));
  connection_pool_set_limit (replay.pool, LIMIT);
  return replay;
}

static void
teardown (Replay *replay)
{
  connection_pool_destroy (replay->pool);
  g_rand_free (replay->rand);
  g_array_unref (replay->ends);
  clock_destroy (replay->clock);
}

static void
close_excess (Replay *replay)
{
  ConnectionCloseReason reason;

  while (connection_pool_excess (replay->pool, &reason))
    ;
}

/* Moves on to `until`; connections whose requests end by then come to rest. */
static void
advance (Replay *replay, gint64 until)
{
  while (replay->ends->len > 0 && g_array_index (replay->ends, gint64, 0) <= until)
    {
      gint64 end = g_array_index (replay->ends, gint64, 0);

      clock_advance (replay->clock, MAX (0, end - clock_now (replay->clock)));
      g_array_remove_index (replay->ends, 0);
      connection_pool_rest (replay->pool, GUINT_TO_POINTER (++replay->next), 0, 0);
      close_excess (replay);
    }
  clock_advance (replay->clock, MAX (0, until - clock_now (replay->clock)));
  close_excess (replay);
}

static void
add_end (Replay *replay, gint64 end)
{
  guint i = 0;

  while (i < replay->ends->len && g_array_index (replay->ends, gint64, i) < end)
    i++;
  g_array_insert_val (replay->ends, i, end);
}

static void
request (Replay *replay, ConnectionUse use)
{
  gint64 now = clock_now (replay->clock);
  ConnectionRest rest;
  gpointer taken = connection_pool_take (replay->pool, use, &rest);
  gboolean forgotten =
      taken && replay->forget_us > 0 && rest.rested_us >= replay->forget_us;

  /* What a probe finds costs nothing but another connection. */
  if (forgotten && rest.probe)
    {
      connection_pool_note_died (replay->pool, rest.rested_us);
      close_excess (replay);
      request (replay, use);
      return;
    }
  replay->requests++;
  if (forgotten)
    replay->died[use == CONNECTION_USE_REPEATABLE ? 1 : 0]++;
  if (forgotten || (guint)g_rand_int_range (replay->rand, 0, 100) < replay->reset_percent)
    {
      connection_pool_note_died (replay->pool, rest.rested_us);
      close_excess (replay);
      return;
    }
  add_end (replay,
           now + (gint64)(SERVICE_US * g_rand_double_range (replay->rand, 0.5, 1.5)));
}

/* Sends requests for `span_us`; one in `unrepeatable_in` is unrepeatable, 0 for none. */
static void
load (Replay *replay, gint64 span_us, gint64 gap_us, guint unrepeatable_in)
{
  gint64 until = clock_now (replay->clock) + span_us;

  while (clock_now (replay->clock) < until)
    {
      advance (replay, clock_now (replay->clock) +
                           (gint64)(gap_us * g_rand_double_range (replay->rand, 0, 2)));
      request (replay, !unrepeatable_in || g_rand_int_range (replay->rand, 0,
                                                             (gint)unrepeatable_in) > 0
                           ? CONNECTION_USE_REPEATABLE
                           : CONNECTION_USE_UNREPEATABLE);
    }
}

static double
opened_share (const Replay *replay, guint64 before, guint requests)
{
  return (double)(connection_pool_stats (replay->pool)->opened - before) /
         (replay->requests - requests);
}

static void
test_steady_repeatable_load_opens_few_connections (void **state)
{
  Replay replay = setup ();

  load (&replay, 120 * SECOND_US, GAP_US, 0);
  assert_true (opened_share (&replay, 0, 0) < 0.05);
  teardown (&replay);
}

static void
test_unrepeatable_requests_share_what_rested_least (void **state)
{
  Replay replay = setup ();

  load (&replay, 120 * SECOND_US, GAP_US, 4);
  assert_true (opened_share (&replay, 0, 0) < 0.2);
  assert_int_equal (replay.died[0], 0);
  teardown (&replay);
}

static void
test_a_forgetful_target_costs_no_unrepeatable_request (void **state)
{
  for (gint64 forget = FORGET_MIN_US; forget <= 400 * MS_US; forget += 20 * MS_US)
    {
      Replay replay = setup ();

      load (&replay, 30 * SECOND_US, GAP_US, 2);
      replay.forget_us = forget;
      load (&replay, 6 * SECOND_US, GAP_US, 2);
      assert_int_equal (replay.died[0], 0);
      assert_in_range (replay.died[1], 0, 2);
      /* It is remembered, and later forgotten. */
      replay.forget_us = 0;
      load (&replay, 20 * SECOND_US, GAP_US, 0);
      assert_true (connection_pool_resting (replay.pool) > 0);
      teardown (&replay);
    }
}

static void
test_resets_of_new_connections_do_not_shorten_the_rest (void **state)
{
  Replay replay = setup ();
  guint64 before;
  guint requests;

  load (&replay, 30 * SECOND_US, GAP_US, 2);
  replay.reset_percent = 85;
  load (&replay, SECOND_US, GAP_US, 2);
  replay.reset_percent = 0;
  load (&replay, 2 * SECOND_US, GAP_US, 0);
  before = connection_pool_stats (replay.pool)->opened;
  requests = replay.requests;
  load (&replay, 7 * SECOND_US, GAP_US, 0);
  assert_true (opened_share (&replay, before, requests) < 0.1);
  teardown (&replay);
}

static void
test_connections_that_a_burst_needed_are_closed_after_it (void **state)
{
  Replay replay = setup ();

  load (&replay, 5 * SECOND_US, GAP_US / 8, 0);
  assert_in_range (connection_pool_resting (replay.pool) +
                       connection_pool_in_use (replay.pool),
                   1, CONNECTIONS_MAX);
  load (&replay, 21 * SECOND_US, 4 * GAP_US, 0);
  assert_in_range (connection_pool_resting (replay.pool), 0, 6);
  advance (&replay, clock_now (replay.clock) + 10 * SECOND_US);
  assert_int_equal (connection_pool_resting (replay.pool), 0);
  teardown (&replay);
}

static void
test_the_limit_holds_with_those_in_use (void **state)
{
  Replay replay = setup ();

  connection_pool_set_limit (replay.pool, 3);
  for (guint i = 0; i < 200; i++)
    {
      advance (&replay, clock_now (replay.clock) + GAP_US / 8);
      request (&replay, CONNECTION_USE_REPEATABLE);
      assert_in_range (connection_pool_resting (replay.pool), 0, 3);
      if (connection_pool_in_use (replay.pool) > 3)
        assert_int_equal (connection_pool_resting (replay.pool), 0);
    }
  teardown (&replay);
}

static gpointer
take (Replay *replay, ConnectionUse use)
{
  ConnectionRest rest;

  return connection_pool_take (replay->pool, use, &rest);
}

/* Takes `count` new connections and puts them to rest, `step_us` after one another. */
static void
rest_several (Replay *replay, guint count, gint64 step_us)
{
  for (guint i = 0; i < count; i++)
    assert_null (take (replay, CONNECTION_USE_UNREPEATABLE));
  for (guint i = 1; i <= count; i++)
    {
      connection_pool_rest (replay->pool, GUINT_TO_POINTER (i), 0, 0);
      clock_advance (replay->clock, step_us);
    }
}

static void
test_repeatable_requests_leave_fresh_connections_to_others (void **state)
{
  Replay replay = setup ();

  /* They rested 250, 200, 150, 100 and 50 ms. */
  rest_several (&replay, 5, 50 * MS_US);
  assert_ptr_equal (take (&replay, CONNECTION_USE_REPEATABLE), GUINT_TO_POINTER (4));
  assert_ptr_equal (take (&replay, CONNECTION_USE_LAST), GUINT_TO_POINTER (5));
  assert_ptr_equal (take (&replay, CONNECTION_USE_REPEATABLE), GUINT_TO_POINTER (3));
  teardown (&replay);
}

static void
test_last_attempts_need_a_probe_after_a_rest (void **state)
{
  Replay replay = setup ();
  ConnectionRest rest;

  rest_several (&replay, 2, 60 * MS_US);
  connection_pool_take (replay.pool, CONNECTION_USE_LAST, &rest);
  assert_false (rest.probe);
  connection_pool_take (replay.pool, CONNECTION_USE_LAST, &rest);
  assert_int_equal (rest.rested_us, 120 * MS_US);
  assert_true (rest.probe);
  rest_several (&replay, 1, 120 * MS_US);
  connection_pool_take (replay.pool, CONNECTION_USE_REPEATABLE, &rest);
  assert_false (rest.probe);
  teardown (&replay);
}

/* The target may drop the connection before it reads the request. */
static void
test_an_unrepeatable_request_is_sent_after_a_rest (void **state)
{
  Replay replay = setup ();

  rest_several (&replay, 2, 35 * MS_US);
  assert_ptr_equal (take (&replay, CONNECTION_USE_UNREPEATABLE), GUINT_TO_POINTER (2));
  assert_null (take (&replay, CONNECTION_USE_UNREPEATABLE));
  connection_pool_rest (replay.pool, GUINT_TO_POINTER (3), 0, 0);
  clock_advance (replay.clock, 51 * MS_US);
  assert_null (take (&replay, CONNECTION_USE_UNREPEATABLE));
  assert_ptr_equal (take (&replay, CONNECTION_USE_LAST), GUINT_TO_POINTER (3));
  teardown (&replay);
}

/* The rest began when the answer arrived. */
static void
test_an_answer_that_is_read_late_shortens_the_rest (void **state)
{
  Replay replay = setup ();

  assert_null (take (&replay, CONNECTION_USE_REPEATABLE));
  assert_null (take (&replay, CONNECTION_USE_REPEATABLE));
  connection_pool_rest (replay.pool, GUINT_TO_POINTER (2), 60 * MS_US, 0);
  connection_pool_rest (replay.pool, GUINT_TO_POINTER (3), 120 * MS_US, 0);
  assert_null (take (&replay, CONNECTION_USE_UNREPEATABLE));
  assert_ptr_equal (take (&replay, CONNECTION_USE_LAST), GUINT_TO_POINTER (2));
  teardown (&replay);
}

/* The rest that the target bears is not known for some time. */
static void
test_a_lost_connection_sends_unrepeatable_requests_to_kept_ones (void **state)
{
  Replay replay = setup ();

  rest_several (&replay, 1, 120 * MS_US);
  assert_non_null (take (&replay, CONNECTION_USE_REPEATABLE));
  connection_pool_note_died (replay.pool, 120 * MS_US);
  rest_several (&replay, 1, MS_US);
  assert_null (take (&replay, CONNECTION_USE_UNREPEATABLE));
  clock_advance (replay.clock, 10 * SECOND_US);
  rest_several (&replay, 1, MS_US);
  assert_non_null (take (&replay, CONNECTION_USE_UNREPEATABLE));
  teardown (&replay);
}

static void
test_surplus_bytes_send_unrepeatable_requests_to_new_connections (void **state)
{
  Replay replay = setup ();

  rest_several (&replay, 2, MS_US);
  connection_pool_note_surplus (replay.pool);
  assert_null (take (&replay, CONNECTION_USE_UNREPEATABLE));
  assert_non_null (take (&replay, CONNECTION_USE_REPEATABLE));
  clock_advance (replay.clock, 10 * SECOND_US);
  connection_pool_rest (replay.pool, GUINT_TO_POINTER (9), 0, 0);
  assert_ptr_equal (take (&replay, CONNECTION_USE_UNREPEATABLE), GUINT_TO_POINTER (9));
  teardown (&replay);
}

static void
test_a_connection_ends_before_the_target_closes_it (void **state)
{
  Replay replay = setup ();
  ConnectionCloseReason reason;

  assert_null (take (&replay, CONNECTION_USE_REPEATABLE));
  connection_pool_rest (replay.pool, GUINT_TO_POINTER (1), 0, SECOND_US);
  clock_advance (replay.clock, 900 * MS_US);
  assert_null (take (&replay, CONNECTION_USE_REPEATABLE));
  assert_ptr_equal (connection_pool_excess (replay.pool, &reason), GUINT_TO_POINTER (1));
  assert_int_equal (reason, CONNECTION_RESTED);
  teardown (&replay);
}

static void
test_a_gap_in_time_closes_all (void **state)
{
  Replay replay = setup ();
  ConnectionCloseReason reason;

  rest_several (&replay, 3, MS_US);
  clock_advance (replay.clock, 3600 * SECOND_US);
  assert_null (take (&replay, CONNECTION_USE_REPEATABLE));
  for (guint i = 0; i < 3; i++)
    assert_non_null (connection_pool_excess (replay.pool, &reason));
  assert_null (connection_pool_excess (replay.pool, &reason));
  teardown (&replay);
}

static void
test_a_connection_opened_for_another_purpose_is_used (void **state)
{
  Replay replay = setup ();

  connection_pool_adopt (replay.pool, GUINT_TO_POINTER (7));
  assert_int_equal (connection_pool_in_use (replay.pool), 0);
  assert_ptr_equal (take (&replay, CONNECTION_USE_REPEATABLE), GUINT_TO_POINTER (7));
  teardown (&replay);
}

static void
test_a_target_that_is_gone_keeps_none (void **state)
{
  Replay replay = setup ();

  rest_several (&replay, 3, MS_US);
  while (connection_pool_clear (replay.pool))
    ;
  assert_int_equal (connection_pool_resting (replay.pool), 0);
  assert_int_equal (connection_pool_stats (replay.pool)->closed[CONNECTION_TARGET_GONE],
                    3);
  teardown (&replay);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_steady_repeatable_load_opens_few_connections),
    cmocka_unit_test (test_unrepeatable_requests_share_what_rested_least),
    cmocka_unit_test (test_a_forgetful_target_costs_no_unrepeatable_request),
    cmocka_unit_test (test_resets_of_new_connections_do_not_shorten_the_rest),
    cmocka_unit_test (test_connections_that_a_burst_needed_are_closed_after_it),
    cmocka_unit_test (test_the_limit_holds_with_those_in_use),
    cmocka_unit_test (test_repeatable_requests_leave_fresh_connections_to_others),
    cmocka_unit_test (test_last_attempts_need_a_probe_after_a_rest),
    cmocka_unit_test (test_an_unrepeatable_request_is_sent_after_a_rest),
    cmocka_unit_test (test_an_answer_that_is_read_late_shortens_the_rest),
    cmocka_unit_test (test_a_lost_connection_sends_unrepeatable_requests_to_kept_ones),
    cmocka_unit_test (test_surplus_bytes_send_unrepeatable_requests_to_new_connections),
    cmocka_unit_test (test_a_connection_ends_before_the_target_closes_it),
    cmocka_unit_test (test_a_gap_in_time_closes_all),
    cmocka_unit_test (test_a_connection_opened_for_another_purpose_is_used),
    cmocka_unit_test (test_a_target_that_is_gone_keeps_none),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
