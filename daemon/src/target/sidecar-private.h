/*
 * Declarations shared by the files of the sidecar. A submission is one attempt at a
 * target, from its admission to its answer. sidecar.c creates the sidecar, applies
 * configurations and runs the periodic checks, sidecar-calls.c handles the calls of
 * ingresses, submission.c admits, runs and answers submissions, submission-watch.c
 * reports their ends to the target's detector and the route's latency statistics,
 * submission-notices.c takes what targets state about themselves in answers, and
 * submission-fingerprint.c selects the fields that identify their requests.
 */
#ifndef DAEMON_SIDECAR_PRIVATE_H
#define DAEMON_SIDECAR_PRIVATE_H

#include <core/fence.h>
#include <core/fingerprint.h>
#include <core/latency.h>
#include <io/http-client.h>

#include "crash-watch.h"
#include "quarantine-node.h"
#include "sidecar-budget.h"
#include "sidecar-holds.h"
#include "sidecar-target.h"
#include "sidecar.h"

/* Backoff between trials of a sick target. The first trial comes soon after a failure, to
   tell a single broken exchange from a bad spell. The delay doubles with each failed
   trial, because bad spells last for seconds and a failed trial may harm its caller. */
#define SIDECAR_TRIAL_FIRST_US (100 * MS_US)
#define SIDECAR_TRIAL_DOUBLINGS_MAX 3u

/* A call that is answered when an attempt ends. */
typedef struct
{
  RpcConn *conn;
  guint32 xid;
  gint64 until_us; /* -1 for no time-out */
} Waiter;

/* One attempt at a target of this VM. */
typedef struct
{
  Sidecar *sidecar;
  SidecarTarget *target;
  FenceEntry *entry;   /* NULL for a repeatable request */
  sw_submit_args args; /* owned */
  gsize held;          /* bytes counted for its body */
  GArray *waiters;
  gint64 deadline_us;
  gint64 started_us;
  TargetCall *call; /* NULL unless the attempt runs */
  gboolean running;
  gboolean overdue; /* has already counted as a failure of the target */
  RequestFingerprints print;
  gboolean quarantine_trial; /* this is a trial of a quarantined request */
} Submission;

struct Sidecar
{
  Node *node;
  Fence *fence;
  GHashTable *targets;     /* name → SidecarTarget */
  GHashTable *submissions; /* set of Submission */
  LatencyStats *latencies;
  SidecarBudgets *budgets;
  SidecarHolds *holds;
  CrashWatches *ends;
  LoopTimer *sweep;
  gboolean queues_closed;
  gboolean draining;
};

/* Returns why a target has no room for a request now, and counts the refusal. */
sw_reason sidecar_no_room (SidecarTarget *target, const Sidecar *sidecar);

/* Refuses the requests that wait at a target, so that they go elsewhere. */
void
sidecar_refuse_queued (Sidecar *sidecar, const SidecarTarget *target, sw_reason reason);

/* Answers a call without an answer of the target; `target` may be NULL. */
void sidecar_reply_plain (Sidecar *sidecar,
                          RpcConn *conn,
                          guint32 xid,
                          SidecarTarget *target,
                          const sw_attempt *attempt,
                          sw_result result,
                          sw_reason reason);

/* Creates a submission that takes over what `args` holds. The caller offers or starts it
   next. */
Submission *
submission_create (Sidecar *sidecar, SidecarTarget *target, sw_submit_args *args);
void submission_free (Submission *submission);
void submission_add_waiter (Submission *submission,
                            RpcConn *conn,
                            guint32 xid,
                            gint64 until_us);

/* Starts a submission whose slot has been taken, or refuses it if it may not run any
   more. The submission may have been freed on return. */
void submission_start (Submission *submission);

/* Starts, queues or refuses a submission, which may have been freed on return. */
void submission_offer (Submission *submission);

/* Refuses the submissions that have waited too long at a target, and starts those that
   get a slot. */
void submission_start_queued (SidecarTarget *target);

/* Ends a submission that has not started. */
void submission_refuse (Submission *submission, sw_reason reason);

/* Aborts a running, repeatable submission. The target notices by the closed connection.
 */
void submission_abort (Submission *submission, sw_reason reason);

/* Reports the end of the exchange to the target's detector and to the route's latency
   statistics, and stores the route's latency fit in `res` after a good answer. */
void submission_note_end (const Submission *submission,
                          sw_submit_res *res,
                          const HttpResult *result,
                          gboolean failed);

/* Takes the rate that the submission's ingress remembers the target to have named. */
void sidecar_note_remembered_rate (Sidecar *sidecar,
                                   SidecarTarget *target,
                                   const sw_submit_args *args);

/* Takes what the target states about itself in the headers of its answer, which need not
   be complete. Called before the answer is reported to the ingress. */
void submission_note_notices (const Submission *submission,
                              const HttpResult *result,
                              const sw_submit_res *res);
/* Counts a start at a target that has named a rate. */
void submission_count_limited_start (const Submission *submission);

/* Notes that the result is no longer needed. This counts against the target if the
   attempt is late. */
void submission_note_abandoned (Submission *submission);

/* Returns the parts that identify the request when it comes again. Texts are borrowed
   from the submission. */
FingerprintInput submission_fingerprint_input (const Submission *submission);

/* Returns the latency distribution of the route: that of the service's other targets if
   it is known, else that of this VM. */
LatencyFit submission_latency_fit (const Submission *submission);

/* Called periodically. Answers the waiters whose time is over that the attempt is still
   running. */
void submission_expire_waiters (Submission *submission, gint64 now);
/* Called periodically. Counts an overdue attempt as a failure of its target. */
void submission_check_overdue (Submission *submission, gint64 now);

#endif
