/*
 * What the files of the sidecar share: sidecar.c its life, submission.c one attempt at a
 * target from its admission to its answer, submission-watch.c what attempts say of their
 * target and route, submission-words.c what makes two of them the same request,
 * sidecar-calls.c the calls of ingresses.
 */
#ifndef DAEMON_SIDECAR_PRIVATE_H
#define DAEMON_SIDECAR_PRIVATE_H

#include <core/fence.h>
#include <core/fingerprint.h>
#include <core/latency.h>
#include <io/http-client.h>

#include "end-watch.h"
#include "quarantine-node.h"
#include "sidecar-budget.h"
#include "sidecar-holds.h"
#include "sidecar-target.h"
#include "sidecar.h"

/* A target that has just broken off an exchange is tried soon, to tell a single break
   from a bad spell; with each trial that fails the next waits longer, for bad spells last
   seconds and a failed trial may cost its caller. */
#define SIDECAR_TRIAL_FIRST_US (100 * MS_US)
#define SIDECAR_TRIAL_DOUBLINGS_MAX 3u

/* Somebody who waits for the end of an attempt. */
typedef struct
{
  RpcConn *conn;
  guint32 xid;
  gint64 until_us; /* -1 for as long as it takes */
} Waiter;

/* One attempt at a target of this VM. */
typedef struct
{
  Sidecar *sidecar;
  SidecarTarget *target;
  FenceEntry *entry;   /* NULL for repeatable work */
  sw_submit_args args; /* owned copy */
  GArray *waiters;
  gint64 deadline_us;
  gint64 started_us;
  HttpCall *call; /* while it runs */
  gboolean running;
  gboolean overdue;
  RequestPrint print;
  gboolean quarantine_trial; /* of a request that is held back otherwise */
} Submission;

struct Sidecar
{
  Node *node;
  Fence *fence;
  GHashTable *targets;     /* name → SidecarTarget */
  GHashTable *submissions; /* set of Submission */
  LatencyBook *latencies;
  SidecarBudgets *budgets;
  SidecarHolds *holds;
  EndWatches *ends;
  LoopTimer *sweep;
  gboolean queues_closed;
  gboolean draining;
};

/* Counts a request that is turned away while its target is cold. */
void sidecar_count_cold (const SidecarTarget *target, const Sidecar *sidecar);

/* Answers a call that has no submission; `target` may be NULL. */
void sidecar_reply_plain (Sidecar *sidecar,
                          RpcConn *conn,
                          guint32 xid,
                          SidecarTarget *target,
                          const sw_attempt *attempt,
                          sw_result result,
                          sw_reason reason);

/* A submission with a copy of `args`; it is offered next. */
Submission *
submission_create (Sidecar *sidecar, SidecarTarget *target, const sw_submit_args *args);
void submission_free (Submission *submission);
void submission_add_waiter (Submission *submission,
                            RpcConn *conn,
                            guint32 xid,
                            gint64 until_us);

/* Starts one whose slot has been taken; it may be over afterwards. */
void submission_start (Submission *submission);

/* Starts it, lets it wait, or refuses it; it may be over afterwards. */
void submission_offer (Submission *submission);

/* Starts what waits at a target and has a slot, and ends what waited too long. */
void submission_start_waiting (SidecarTarget *target);

/* Ends one that never started. */
void submission_refuse (Submission *submission, sw_reason reason);

/* Ends one that runs and may be repeated; its connection to the target is closed. */
void submission_break_off (Submission *submission, sw_reason reason);

/* What the end of its exchange says of the target, and of its route: the latter goes into
   `res`. */
void submission_note_end (const Submission *submission,
                          sw_submit_res *res,
                          const HttpResult *result,
                          gboolean failed);

/* Nobody waits for it any more: that it took too long counts against its target. */
void submission_note_given_up (Submission *submission);

/* What makes it the same request as another; texts are borrowed from it. */
FingerprintWords submission_words (const Submission *submission);

/* What is known of how long answers on its route take. */
LatencyFit submission_fit (const Submission *submission);

/* What time brings about; the latter may end the submission. */
void submission_answer_late_waiters (Submission *submission, gint64 now);
void submission_check_overdue (Submission *submission, gint64 now);

#endif
