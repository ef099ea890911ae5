/*
 * Tests that a request runs at most once, and that "not run" is never reported for one
 * that ran. The C code of ingress and sidecar runs under seeded schedules of loss, delay,
 * duplication, reordering, crashes and pauses, on manual clocks.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <core/dispatch.h>
#include <core/fence.h>

#define SIDECARS 3
#define SCHEDULES 20000
#define STEPS_MAX 400
#define WINDOW_US (10 * SECOND_US)

typedef enum
{
  KIND_SUBMIT,
  KIND_FENCE,
  KIND_SENT, /* the answer to a submission */
  KIND_ASKED /* the answer to a question to the fence */
} Kind;

typedef struct
{
  Kind kind;
  guint sidecar;
  guint64 counter;
  guint64 incarnation;
  gint64 reading_us;
  DispatchReport report;
} Packet;

typedef struct
{
  Clock *clock;
  Fence *fence;
  guint64 incarnation;
} FakeSidecar;

typedef struct
{
  GRand *rand;
  Clock *clock;
  FakeSidecar sidecars[SIDECARS];
  Dispatch *dispatch;
  GArray *network; /* of Packet; each may be delivered, lost or duplicated */
  guint executions;
  /* The state of the ingress. */
  DispatchStep step;
  gboolean ended;
  guint at;
  guint64 counter;
  guint64 incarnation;
  gint64 reading_us;
  guint next;
  gint64 due_us;
} World;

static const FenceLimits limits = { WINDOW_US, 64, 4096 };

static AttemptId
id_of (guint64 counter)
{
  return (AttemptId){ "ingress", 7, counter };
}

static void
boot (World *world, guint i)
{
  FakeSidecar *sidecar = &world->sidecars[i];

  fence_destroy (sidecar->fence);
  sidecar->incarnation = g_rand_int (world->rand) + 1u;
  sidecar->fence = fence_create (&limits, sidecar->incarnation, sidecar->clock);
}

static void
post (World *world, Packet packet)
{
  g_array_append_val (world->network, packet);
}

static void
post_answer (World *world, const Packet *to, Kind kind, DispatchReport report)
{
  Packet packet = { kind, to->sidecar, to->counter, to->incarnation, 0, report };

  post (world, packet);
}

static DispatchReport
report_from_entry (const FenceEntry *entry)
{
  return fence_entry_state (entry) == FENCE_FINISHED ? DISPATCH_DONE : DISPATCH_STARTED;
}

static void
handle_submit (World *world, const Packet *packet)
{
  Fence *fence = world->sidecars[packet->sidecar].fence;
  AttemptId id = id_of (packet->counter);
  FenceEntry *entry;

  switch (fence_submit (fence, &id, packet->incarnation, packet->reading_us, &entry))
    {
    case FENCE_NEW:
      if (g_rand_int_range (world->rand, 0, 4) == 0)
        {
          fence_refuse (entry);
          post_answer (world, packet, KIND_SENT, DISPATCH_REFUSED);
        }
      break;
    case FENCE_KNOWN:
      if (fence_entry_state (entry) == FENCE_TOMBSTONE)
        post_answer (world, packet, KIND_SENT, DISPATCH_REFUSED);
      break;
    case FENCE_FULL:
      post_answer (world, packet, KIND_SENT, DISPATCH_REFUSED);
      break;
    default:
      post_answer (world, packet, KIND_SENT, DISPATCH_UNSURE);
      break;
    }
}

static void
handle_fence (World *world, const Packet *packet)
{
  Fence *fence = world->sidecars[packet->sidecar].fence;
  AttemptId id = id_of (packet->counter);
  FenceEntry *entry;

  switch (fence_ask (fence, &id, packet->incarnation, packet->reading_us, &entry))
    {
    case FENCE_NOT_RUN:
      post_answer (world, packet, KIND_ASKED, DISPATCH_REFUSED);
      break;
    case FENCE_RUNNING:
    case FENCE_RAN:
      post_answer (world, packet, KIND_ASKED, report_from_entry (entry));
      break;
    default:
      post_answer (world, packet, KIND_ASKED, DISPATCH_UNSURE);
      break;
    }
}

/* Lets a sidecar proceed: each queued attempt starts, and each started one finishes. */
static void
progress (World *world, guint i)
{
  Fence *fence = world->sidecars[i].fence;
  Packet to = { .sidecar = i };

  for (guint64 counter = 1; counter <= world->counter; counter++)
    {
      AttemptId id = id_of (counter);
      FenceEntry *entry;

      entry = fence_find (fence, &id);
      if (!entry)
        continue;
      to.counter = counter;
      to.incarnation = world->sidecars[i].incarnation;
      if (fence_entry_state (entry) == FENCE_QUEUED)
        {
          assert_true (fence_start (entry));
          world->executions++;
        }
      else if (fence_entry_state (entry) == FENCE_STARTED)
        {
          fence_finish (fence, entry, NULL);
          post_answer (world, &to, KIND_SENT, DISPATCH_DONE);
        }
    }
}

static void perform_step (World *world);

static void
take_step (World *world, DispatchStep step)
{
  world->step = step;
  perform_step (world);
}

static void
perform_step (World *world)
{
  FakeSidecar *sidecar;

  world->due_us = clock_now (world->clock) + world->step.wait_us;
  switch (world->step.kind)
    {
    case DISPATCH_CHOOSE:
      world->at = world->next++ % SIDECARS;
      take_step (world, dispatch_chosen (world->dispatch, world->next <= SIDECARS, 0));
      break;
    case DISPATCH_SEND:
      sidecar = &world->sidecars[world->at];
      world->counter++;
      world->incarnation = sidecar->incarnation;
      world->reading_us = clock_now (sidecar->clock);
      post (world, (Packet){ KIND_SUBMIT, world->at, world->counter, world->incarnation,
                             world->reading_us, 0 });
      break;
    case DISPATCH_QUERY_FENCE:
      post (world, (Packet){ KIND_FENCE, world->at, world->counter, world->incarnation,
                             world->reading_us, 0 });
      break;
    case DISPATCH_ANSWER:
      world->ended = TRUE;
      break;
    default:
      break;
    }
}

/* Gives an answer to the ingress, which ignores it unless it is about the latest attempt
   and answers the current step. */
static void
receive (World *world, const Packet *packet)
{
  if (world->ended || packet->counter != world->counter)
    return;
  if (packet->kind == KIND_SENT && world->step.kind == DISPATCH_SEND)
    take_step (world,
               dispatch_sent (world->dispatch, packet->report, REASON_OVERLOAD, 0));
  else if (packet->kind == KIND_ASKED && world->step.kind == DISPATCH_QUERY_FENCE)
    take_step (world,
               dispatch_queried (world->dispatch, packet->report, REASON_FENCED, 0));
}

static void
deliver (World *world)
{
  guint i;
  Packet packet;

  if (world->network->len == 0)
    return;
  i = (guint)g_rand_int_range (world->rand, 0, (gint32)world->network->len);
  packet = g_array_index (world->network, Packet, i);
  /* One packet in three stays for another delivery; one delivery in six is lost. */
  if (g_rand_int_range (world->rand, 0, 3) != 0)
    g_array_remove_index_fast (world->network, i);
  if (g_rand_int_range (world->rand, 0, 6) == 0)
    return;
  switch (packet.kind)
    {
    case KIND_SUBMIT:
      handle_submit (world, &packet);
      break;
    case KIND_FENCE:
      handle_fence (world, &packet);
      break;
    default:
      receive (world, &packet);
      break;
    }
}

static void
pass_time (World *world)
{
  gint64 span = g_rand_int_range (world->rand, 1, 800) * MS_US;

  /* One span in 40 is longer than the fence's window. */
  if (g_rand_int_range (world->rand, 0, 40) == 0)
    span = 3 * WINDOW_US;
  clock_advance (world->clock, span);
  for (guint i = 0; i < SIDECARS; i++)
    if (g_rand_boolean (world->rand))
      clock_advance (world->sidecars[i].clock, span);
}

static void
time_out (World *world)
{
  if (world->ended || clock_now (world->clock) < world->due_us)
    return;
  if (world->step.kind == DISPATCH_SEND)
    take_step (world, dispatch_sent (world->dispatch, DISPATCH_LOST, REASON_LOST, 0));
  else if (world->step.kind == DISPATCH_QUERY_FENCE)
    take_step (world, dispatch_queried (world->dispatch, DISPATCH_LOST, REASON_LOST, 0));
  else if (world->step.kind == DISPATCH_PAUSE)
    take_step (world, dispatch_resume (world->dispatch));
}

static void
check (const World *world, guint seed)
{
  if (world->executions > 1)
    fail_msg ("schedule %u: the request ran %u times", seed, world->executions);
  if (world->ended && world->step.outcome == OUTCOME_NOT_RUN && world->executions > 0)
    fail_msg ("schedule %u: 'not run' was reported, but the request ran", seed);
  if (world->ended && world->step.outcome == OUTCOME_DONE && world->executions != 1)
    fail_msg ("schedule %u: 'done' was reported, but the request did not run", seed);
}

static Outcome
run_schedule (guint seed)
{
  World world = { .rand = g_rand_new_with_seed (seed), .clock = clock_create_manual (0) };
  DispatchPolicy policy = { .deadline_us = 5 * SECOND_US,
                            .slack_us = SECOND_US / 2,
                            .attempts_max = SIDECARS };
  Outcome outcome;

  world.network = g_array_new (FALSE, FALSE, sizeof (Packet));
  world.dispatch = dispatch_create (&policy, world.rand, world.clock);
  for (guint i = 0; i < SIDECARS; i++)
    {
      world.sidecars[i].clock =
          clock_create_manual (g_rand_int_range (world.rand, 0, 1000) * SECOND_US);
      boot (&world, i);
    }
  take_step (&world, dispatch_begin (world.dispatch));
  for (guint step = 0; step < STEPS_MAX; step++)
    {
      guint event = (guint)g_rand_int_range (world.rand, 0, 100);

      if (event < 50)
        deliver (&world);
      else if (event < 75)
        progress (&world, (guint)g_rand_int_range (world.rand, 0, SIDECARS));
      else if (event < 98)
        pass_time (&world);
      else
        boot (&world, (guint)g_rand_int_range (world.rand, 0, SIDECARS));
      time_out (&world);
      check (&world, seed);
    }
  outcome = world.ended ? world.step.outcome : OUTCOME_UNKNOWN;
  for (guint i = 0; i < SIDECARS; i++)
    {
      fence_destroy (world.sidecars[i].fence);
      clock_destroy (world.sidecars[i].clock);
    }
  dispatch_destroy (world.dispatch);
  g_array_unref (world.network);
  g_rand_free (world.rand);
  clock_destroy (world.clock);
  return outcome;
}

static void
test_schedules_run_at_most_once (void **state)
{
  guint outcomes[OUTCOME_COUNT] = { 0 };

  for (guint seed = 1; seed <= SCHEDULES; seed++)
    outcomes[run_schedule (seed)]++;
  print_message ("done %u, not-run %u, unknown %u\n", outcomes[OUTCOME_DONE],
                 outcomes[OUTCOME_NOT_RUN], outcomes[OUTCOME_UNKNOWN]);
  /* Too few schedules with one of the outcomes would prove nothing about it. */
  for (guint i = 0; i < OUTCOME_COUNT; i++)
    assert_true (outcomes[i] > SCHEDULES / 100);
}

static void
test_a_refusal_by_a_full_table_is_final (void **state)
{
  Clock *clock = clock_create_manual (100 * SECOND_US);
  Fence *fence = fence_create (&limits, 5, clock);
  FenceEntry *entry;
  AttemptId late;

  for (guint64 i = 0; i < 64; i++)
    {
      AttemptId id = id_of (i);

      assert_int_equal (fence_submit (fence, &id, 5, clock_now (clock), &entry),
                        FENCE_NEW);
    }
  late = id_of (100);
  assert_int_equal (fence_submit (fence, &late, 5, clock_now (clock), &entry),
                    FENCE_FULL);
  assert_int_equal (fence_size (fence), 64);
  /* Even when the table has room again, a copy of the refused attempt must not run. */
  for (guint64 i = 0; i < 64; i++)
    {
      AttemptId id = id_of (i);

      fence_refuse (fence_find (fence, &id));
    }
  clock_advance (clock, WINDOW_US - 1);
  assert_int_equal (fence_submit (fence, &late, 5, 100 * SECOND_US, &entry), FENCE_FULL);
  assert_int_equal (fence_ask (fence, &late, 5, 100 * SECOND_US, &entry), FENCE_NOT_RUN);
  clock_advance (clock, 2);
  assert_int_equal (fence_submit (fence, &late, 5, 100 * SECOND_US, &entry), FENCE_STALE);
  assert_int_equal (fence_submit (fence, &late, 5, clock_now (clock), &entry), FENCE_NEW);
  assert_int_equal (fence_size (fence), 1);
  fence_destroy (fence);
  clock_destroy (clock);
}

static void
test_answers_are_kept_within_their_bound (void **state)
{
  Clock *clock = clock_create_manual (0);
  Fence *fence = fence_create (&limits, 5, clock);
  g_autoptr (GBytes) answer = g_bytes_new_take (g_malloc0 (1500), 1500);
  FenceEntry *entries[3];

  for (guint64 i = 0; i < 3; i++)
    {
      AttemptId id = id_of (i);

      fence_submit (fence, &id, 5, 0, &entries[i]);
      assert_true (fence_start (entries[i]));
      assert_false (fence_start (entries[i]));
      fence_finish (fence, entries[i], answer);
    }
  assert_null (fence_entry_answer (entries[0]));
  assert_non_null (fence_entry_answer (entries[1]));
  assert_non_null (fence_entry_answer (entries[2]));
  fence_destroy (fence);
  clock_destroy (clock);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_schedules_run_at_most_once),
    cmocka_unit_test (test_a_refusal_by_a_full_table_is_final),
    cmocka_unit_test (test_answers_are_kept_within_their_bound),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
