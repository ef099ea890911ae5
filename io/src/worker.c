#include <io/worker.h>

#include <errno.h>
#include <fcntl.h>
#include <unistd.h>

typedef struct
{
  gpointer job;
  WorkerRun run; /* NULL after it has run, and in the task that stops the thread */
  GDestroyNotify free_job;
  WorkerDone done;
  gpointer data;
  gboolean last; /* stops the thread */
} Task;

struct Worker
{
  Loop *loop;
  GThread *thread;       /* NULL before the first job */
  GAsyncQueue *todo;     /* of Task: to run, or to free if they have run */
  GAsyncQueue *finished; /* of Task: have run */
  int wake[2];           /* a pipe, with a byte for each task in `finished` */
  LoopFd *watch;
};

static void
task_free (gpointer data)
{
  Task *task = data;

  if (task->free_job)
    task->free_job (task->job);
  g_free (task);
}

/* A failed write to a full pipe is ignored: the bytes in it wake the loop. */
static void
wake_loop (const Worker *worker)
{
  while (write (worker->wake[1], "", 1) < 0 && errno == EINTR)
    ;
}

static void
run_task (Worker *worker, Task *task)
{
  task->run (task->job);
  task->run = NULL;
  g_async_queue_push (worker->finished, task);
  wake_loop (worker);
}

static gpointer
run_tasks (gpointer data)
{
  Worker *worker = data;

  for (;;)
    {
      Task *task = g_async_queue_pop (worker->todo);
      gboolean last = task->last;

      if (task->run)
        run_task (worker, task);
      else
        task_free (task);
      if (last)
        return NULL;
    }
}

static void
on_wake (int fd, LoopEvents ready, gpointer data)
{
  Worker *worker = data;
  char bytes[64];
  Task *task;

  while (read (fd, bytes, sizeof bytes) > 0)
    ;
  while ((task = g_async_queue_try_pop (worker->finished)))
    {
      task->done (task->job, task->data);
      /* The thread frees the job, because freeing a large job takes long too. */
      g_async_queue_push (worker->todo, task);
    }
}

Worker *
worker_create (Loop *loop, GError **error)
{
  Worker *worker = g_new0 (Worker, 1);

  worker->loop = loop;
  if (pipe2 (worker->wake, O_CLOEXEC | O_NONBLOCK) != 0)
    {
      g_set_error (error, G_FILE_ERROR, g_file_error_from_errno (errno),
                   "cannot create a pipe for the worker: %s", g_strerror (errno));
      g_free (worker);
      return NULL;
    }
  worker->todo = g_async_queue_new_full (task_free);
  worker->finished = g_async_queue_new_full (task_free);
  worker->watch = loop_fd_create (loop, worker->wake[0], LOOP_READ, on_wake, worker);
  return worker;
}

/* Frees the waiting tasks, so that the thread stops after the one that is running. */
static void
end_thread (Worker *worker)
{
  Task *task;
  Task *last = g_new0 (Task, 1);

  while ((task = g_async_queue_try_pop (worker->todo)))
    task_free (task);
  last->last = TRUE;
  g_async_queue_push (worker->todo, last);
  g_thread_join (worker->thread);
}

void
worker_destroy (Worker *worker)
{
  if (!worker)
    return;
  if (worker->thread)
    end_thread (worker);
  loop_fd_destroy (worker->watch);
  close (worker->wake[0]);
  close (worker->wake[1]);
  g_async_queue_unref (worker->todo);
  g_async_queue_unref (worker->finished);
  g_free (worker);
}

void
worker_add (Worker *worker,
            gpointer job,
            WorkerRun run,
            GDestroyNotify free_job,
            WorkerDone done,
            gpointer data)
{
  Task *task = g_new0 (Task, 1);

  task->job = job;
  task->run = run;
  task->free_job = free_job;
  task->done = done;
  task->data = data;
  g_async_queue_push (worker->todo, task);
  if (!worker->thread)
    worker->thread = g_thread_new ("worker", run_tasks, worker);
}
