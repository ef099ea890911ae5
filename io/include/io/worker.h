/*
 * A thread beside the loop, for work that would hold the loop up: long, and sharing
 * nothing with it. Jobs run one at a time, in the order in which they were given.
 */
#ifndef IO_WORKER_H
#define IO_WORKER_H

#include <io/loop.h>

typedef struct Worker Worker;

/* Runs on the thread; touches nothing but the job. */
typedef void (*WorkerRun) (gpointer job);

/* Runs on the loop, once the job has run; the job is borrowed. */
typedef void (*WorkerDone) (gpointer job, gpointer data);

/* The loop is borrowed. NULL, with `error` set (G_FILE_ERROR), when the machine gives no
   pipe. The thread starts with the first job. */
Worker *worker_create (Loop *loop, GError **error);

/* Waits for the job that runs; no `done` runs from here on. */
void worker_destroy (Worker *worker);

/* Takes a job over, which is freed on the thread after its `done`. */
void worker_add (Worker *worker,
                 gpointer job,
                 WorkerRun run,
                 GDestroyNotify free_job,
                 WorkerDone done,
                 gpointer data);

#endif
