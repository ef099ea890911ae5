/*
 * A thread for long jobs that would block the loop and share no data with it. Jobs run
 * one at a time, in the order in which they were added.
 */
#ifndef IO_WORKER_H
#define IO_WORKER_H

#include <io/loop.h>

typedef struct Worker Worker;

/* Called on the worker's thread. Must access nothing but the job. */
typedef void (*WorkerRun) (gpointer job);

/* Called on the loop's thread after the job has run. The job is borrowed. */
typedef void (*WorkerDone) (gpointer job, gpointer data);

/* The loop is borrowed. Returns NULL with `error` set (G_FILE_ERROR) if no pipe can be
   created. The thread starts with the first job. */
Worker *worker_create (Loop *loop, GError **error);

/* Waits for the job that is running and frees all jobs. No `done` is called any more. */
void worker_destroy (Worker *worker);

/* Takes ownership of a job, which is freed on the worker's thread after `done` has
   returned. `free_job` may be NULL. */
void worker_add (Worker *worker,
                 gpointer job,
                 WorkerRun run,
                 GDestroyNotify free_job,
                 WorkerDone done,
                 gpointer data);

#endif
