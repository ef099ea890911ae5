/* Tests on a manual clock that timers fire in order and none is lost, and that long
   iterations of the loop are reported. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <io/loop.h>

typedef struct
{
  Clock *clock;
  Loop *loop;
  LoopTimer *timer;
  guint fired;
} Fixture;

static void
on_timer (gpointer data)
{
  Fixture *fixture = data;

  fixture->fired++;
  loop_quit (fixture->loop);
}

static void
test_timer_due_between_two_readings_is_not_lost (void **state)
{
  Fixture fixture = { .clock = clock_create_manual (1000) };

  fixture.loop = loop_create (fixture.clock);
  fixture.timer = loop_timer_create (fixture.loop, on_timer, &fixture);
  clock_set_step (fixture.clock, 1);
  for (guint span = 0; span < 20; span++)
    {
      loop_timer_start (fixture.timer, span);
      loop_run (fixture.loop);
      assert_int_equal (fixture.fired, span + 1);
    }
  loop_timer_destroy (fixture.timer);
  loop_destroy (fixture.loop);
  clock_destroy (fixture.clock);
}

typedef struct
{
  Loop *loop;
  GString *order;
  const char *name;
  gboolean last;
} NamedTimer;

static void
on_named (gpointer data)
{
  NamedTimer *named = data;

  g_string_append (named->order, named->name);
  if (named->last)
    loop_quit (named->loop);
}

static void
test_timers_fire_by_time_and_can_be_moved_and_stopped (void **state)
{
  Clock *clock = clock_create_manual (0);
  Loop *loop = loop_create (clock);
  GString *order = g_string_new (NULL);
  NamedTimer a = { loop, order, "a", FALSE };
  NamedTimer b = { loop, order, "b", FALSE };
  NamedTimer c = { loop, order, "c", TRUE };
  LoopTimer *ta = loop_timer_create (loop, on_named, &a);
  LoopTimer *tb = loop_timer_create (loop, on_named, &b);
  LoopTimer *tc = loop_timer_create (loop, on_named, &c);
  LoopTimer *stopped = loop_timer_create (loop, on_named, &c);

  loop_timer_start (tb, 10);
  loop_timer_start (stopped, 15);
  loop_timer_start (tc, 30);
  loop_timer_start (ta, 40);
  loop_timer_start (ta, 20);
  loop_timer_stop (stopped);
  clock_advance (clock, 30);
  loop_run (loop);
  assert_string_equal (order->str, "bac");
  loop_timer_destroy (ta);
  loop_timer_destroy (tb);
  loop_timer_destroy (tc);
  loop_timer_destroy (stopped);
  g_string_free (order, TRUE);
  loop_destroy (loop);
  clock_destroy (clock);
}

/* The cost of one iteration of the loop, and the report of it. */
typedef struct
{
  Fixture base;
  gint64 cpu_us;
  gint64 took_us;
  guint reported;
  LoopIteration turn;
} Turns;

static void
on_iteration (const LoopIteration *turn, gpointer data)
{
  Turns *turns = data;

  turns->reported++;
  turns->turn = *turn;
}

static void
on_work (gpointer data)
{
  Turns *turns = data;
  gint64 end_us = clock_thread_cpu () + turns->cpu_us;

  while (clock_thread_cpu () < end_us)
    ;
  clock_advance (turns->base.clock, turns->took_us);
  turns->cpu_us = turns->took_us = 0;
  if (turns->base.fired++ > 0)
    loop_quit (turns->base.loop);
  else
    loop_timer_start (turns->base.timer, 0);
}

/* Runs one iteration with the given cost, and one without any. */
static Turns
run_iterations (gint64 cpu_us, gint64 took_us)
{
  Turns turns = { .cpu_us = cpu_us, .took_us = took_us };

  turns.base.clock = clock_create_manual (0);
  /* Each reading advances the clock, so that the restarted timer is due after the first
     iteration. */
  clock_set_step (turns.base.clock, 1);
  turns.base.loop = loop_create (turns.base.clock);
  turns.base.timer = loop_timer_create (turns.base.loop, on_work, &turns);
  loop_set_iteration_func (turns.base.loop, on_iteration, &turns);
  loop_timer_start (turns.base.timer, 0);
  loop_run (turns.base.loop);
  loop_timer_destroy (turns.base.timer);
  loop_destroy (turns.base.loop);
  clock_destroy (turns.base.clock);
  return turns;
}

static void
test_only_long_iterations_are_reported (void **state)
{
  Turns calm = run_iterations (0, LOOP_ITERATION_LONG_US / 2);
  Turns busy = run_iterations (LOOP_ITERATION_LONG_CPU_US, LOOP_ITERATION_LONG_CPU_US);
  Turns held = run_iterations (0, LOOP_ITERATION_LONG_US);

  assert_int_equal (calm.reported, 0);
  assert_int_equal (busy.reported, 1);
  assert_true (busy.turn.cpu_us >= LOOP_ITERATION_LONG_CPU_US);
  assert_true (busy.turn.took_us < LOOP_ITERATION_LONG_US);
  assert_int_equal (held.reported, 1);
  assert_true (held.turn.cpu_us < LOOP_ITERATION_LONG_CPU_US);
  assert_true (held.turn.took_us >= LOOP_ITERATION_LONG_US);
}

/* Where processor time is accounted in ticks, a short turn may be charged for others. */
static void
test_a_short_iteration_is_reported_for_the_processor_time_of_others (void **state)
{
  Turns charged = run_iterations (LOOP_ITERATION_LONG_CPU_US, 0);

  assert_int_equal (charged.reported, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_timer_due_between_two_readings_is_not_lost),
    cmocka_unit_test (test_timers_fire_by_time_and_can_be_moved_and_stopped),
    cmocka_unit_test (test_only_long_iterations_are_reported),
    cmocka_unit_test (
        test_a_short_iteration_is_reported_for_the_processor_time_of_others),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
