/* Jobs on the worker's thread: their order, their threads, and unfinished jobs. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <io/worker.h>

#define JOBS 3u

typedef struct
{
  Clock *clock;
  Loop *loop;
  Worker *worker;
  GThread *loop_thread;
  GString *done; /* the numbers of the jobs that are done */
} Fixture;

typedef struct
{
  char number;
  GThread *ran_on;
  gint *freed; /* atomic */
} Job;

static Fixture
setup (void)
{
  Fixture fixture = { .clock = clock_create_boottime () };

  fixture.loop = loop_create (fixture.clock);
  fixture.worker = worker_create (fixture.loop, NULL);
  fixture.loop_thread = g_thread_self ();
  fixture.done = g_string_new (NULL);
  assert_non_null (fixture.worker);
  return fixture;
}

static void
teardown (Fixture *fixture)
{
  loop_destroy (fixture->loop);
  clock_destroy (fixture->clock);
  g_string_free (fixture->done, TRUE);
}

static void
run (gpointer data)
{
  Job *job = data;

  job->ran_on = g_thread_self ();
}

static void
free_job (gpointer data)
{
  Job *job = data;

  g_atomic_int_inc (job->freed);
  g_free (job);
}

static void
on_done (gpointer data, gpointer user)
{
  const Job *job = data;
  Fixture *fixture = user;

  assert_ptr_equal (g_thread_self (), fixture->loop_thread);
  assert_ptr_not_equal (job->ran_on, fixture->loop_thread);
  g_string_append_c (fixture->done, job->number);
  if (fixture->done->len == JOBS)
    loop_quit (fixture->loop);
}

static void
add_jobs (Fixture *fixture, gint *freed)
{
  for (guint i = 0; i < JOBS; i++)
    {
      Job *job = g_new0 (Job, 1);

      job->number = (char)('1' + i);
      job->freed = freed;
      worker_add (fixture->worker, job, run, free_job, on_done, fixture);
    }
}

static void
test_jobs_run_in_order_on_the_thread (void **state)
{
  Fixture fixture = setup ();
  gint freed = 0;

  add_jobs (&fixture, &freed);
  loop_run (fixture.loop);
  worker_destroy (fixture.worker);
  assert_string_equal (fixture.done->str, "123");
  assert_int_equal (g_atomic_int_get (&freed), JOBS);
  teardown (&fixture);
}

/* The owner of a job may no longer exist when the worker is destroyed. */
static void
test_unfinished_jobs_are_freed_without_done (void **state)
{
  Fixture fixture = setup ();
  gint freed = 0;

  add_jobs (&fixture, &freed);
  worker_destroy (fixture.worker);
  assert_int_equal (fixture.done->len, 0);
  assert_int_equal (g_atomic_int_get (&freed), JOBS);
  teardown (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_jobs_run_in_order_on_the_thread),
    cmocka_unit_test (test_unfinished_jobs_are_freed_without_done),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
