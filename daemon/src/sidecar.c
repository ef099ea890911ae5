#include "sidecar.h"

#include <string.h>

#include <core/fence.h>
#include <wire/convert.h>

#include "adapter.h"
#include "log.h"
#include "sidecar-target.h"
#include "verdicts.h"

#define HTTP_SERVER_ERROR 500
/* How often verdicts, waiting requests and overdue ones are looked at. */
#define SWEEP_US (50 * MS_US)
/* A running request this much slower than its siblings counts against the target. */
#define OVERDUE_FACTOR 20
#define OVERDUE_MIN_US (500 * MS_US)
/* So much slower, with nothing good from the target meanwhile, it hangs: work takes three
   times its mean once in a hundred requests. */
#define HANG_FACTOR 4
#define HANG_MIN_US (300 * MS_US)
/* A target that has just broken off an exchange is tried soon, to tell a single break
   from a bad spell; with each trial that fails the next waits longer, for bad spells last
   seconds and a failed trial may cost its caller. */
#define TRIAL_FIRST_US (100 * MS_US)
#define TRIAL_DOUBLINGS_MAX 3u

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
} Submission;

struct Sidecar
{
  Node *node;
  Fence *fence;
  GHashTable *targets;     /* name → SidecarTarget */
  GHashTable *submissions; /* set of Submission */
  LoopTimer *sweep;
  gboolean draining;
};

static void start (Submission *submission);

void
sidecar_stamp (const Sidecar *sidecar, sw_stamp *stamp)
{
  stamp->node = sidecar->node->settings->node;
  stamp->incarnation = fence_incarnation (sidecar->fence);
  stamp->clock_us = (guint64)clock_now (sidecar->node->clock);
}

static void
fill_attempt (const sw_attempt *attempt, AttemptId *id)
{
  id->node = attempt->node;
  id->incarnation = attempt->incarnation;
  id->counter = attempt->counter;
}

/* Completes an answer with the sidecar's stamp and the target's state, and sends it. */
static void
reply (Sidecar *sidecar,
       RpcConn *conn,
       guint32 xid,
       SidecarTarget *target,
       sw_submit_res *res)
{
  sidecar_stamp (sidecar, &res->stamp);
  res->state.target = "";
  if (target)
    sidecar_target_state (target, sidecar->draining, &res->state);
  rpc_conn_reply (conn, xid, (xdrproc_t)xdr_sw_submit_res, res);
}

static void
reply_plain (Sidecar *sidecar,
             RpcConn *conn,
             guint32 xid,
             SidecarTarget *target,
             const sw_attempt *attempt,
             sw_result result,
             sw_reason reason)
{
  sw_submit_res res = { .attempt = *attempt, .result = result, .reason = reason };

  if (result == SW_REFUSED && target)
    res.retry_after_ms = (u_int)(admission_retry_after_us (target->admission) / MS_US);
  if (result == SW_REFUSED)
    metrics_add (sidecar->node->metrics, METRIC_SIDECAR_REFUSED, 1);
  reply (sidecar, conn, xid, target, &res);
}

static void
clear_waiter (gpointer data)
{
  rpc_conn_unref (((Waiter *)data)->conn);
}

static void
add_waiter (Submission *submission, RpcConn *conn, guint32 xid, gint64 until_us)
{
  Waiter waiter = { rpc_conn_ref (conn), xid, until_us };

  g_array_append_val (submission->waiters, waiter);
}

static void
submission_free (Submission *submission)
{
  g_hash_table_remove (submission->sidecar->submissions, submission);
  if (submission->entry)
    fence_entry_set_data (submission->entry, NULL);
  xdr_free ((xdrproc_t)xdr_sw_submit_args, (char *)&submission->args);
  g_array_unref (submission->waiters);
  g_free (submission);
}

/* Answers all that wait, and ends the submission. */
static void
finish (Submission *submission, sw_submit_res *res)
{
  Sidecar *sidecar = submission->sidecar;

  res->attempt = submission->args.attempt;
  for (guint i = 0; i < submission->waiters->len; i++)
    {
      const Waiter *waiter = &g_array_index (submission->waiters, Waiter, i);

      reply (sidecar, waiter->conn, waiter->xid, submission->target, res);
    }
  submission_free (submission);
}

/* Ends a submission that never started. */
static void
refuse (Submission *submission, sw_reason reason)
{
  sw_submit_res res = { .result = SW_REFUSED, .reason = reason };

  if (submission->entry && fence_entry_state (submission->entry) == FENCE_QUEUED)
    fence_refuse (submission->entry);
  res.retry_after_ms =
      (u_int)(admission_retry_after_us (submission->target->admission) / MS_US);
  metrics_add (submission->sidecar->node->metrics, METRIC_SIDECAR_REFUSED, 1);
  finish (submission, &res);
}

static void
start_waiting (SidecarTarget *target)
{
  Submission *next;

  while ((next = admission_next (target->admission)))
    start (next);
}

static void
observe (const Submission *submission, gboolean failed, gboolean broken, gint64 took_us)
{
  SidecarTarget *target = submission->target;
  gint64 now = clock_now (submission->sidecar->node->clock);
  DetectorSample sample = { failed, broken, took_us, submission->args.sibling_latency_us,
                            submission->args.sibling_failures_ppm };

  detector_observe (target->detector, &sample);
  /* The next trial counts from this end: at once after a good one. */
  target->next_trial_us =
      failed ? now + (TRIAL_FIRST_US << MIN (detector_failed_trials (target->detector),
                                             TRIAL_DOUBLINGS_MAX))
             : now;
}

/* Keeps the whole answer for an ingress that may have lost it. */
static void
record_end (Submission *submission, sw_submit_res *res)
{
  Sidecar *sidecar = submission->sidecar;
  g_autoptr (GBytes) packed = NULL;

  if (!submission->entry)
    return;
  res->attempt = submission->args.attempt;
  sidecar_stamp (sidecar, &res->stamp);
  res->state.target = "";
  packed = wire_pack ((xdrproc_t)xdr_sw_submit_res, res);
  fence_finish (sidecar->fence, submission->entry, packed);
}

/* The target did not run it: proof for the caller, and the place of an answer. */
static void
note_target_refusal (Submission *submission, sw_submit_res *res)
{
  res->retry_after_ms =
      (u_int)(admission_retry_after_us (submission->target->admission) / MS_US);
  metrics_add (submission->sidecar->node->metrics, METRIC_TARGET_REFUSED, 1);
}

static void
log_failure (const Submission *submission,
             const HttpResult *result,
             const sw_submit_res *res)
{
  g_autofree char *status = g_strdup_printf ("%u", result->status);
  g_autofree char *took = g_strdup_printf ("%" G_GINT64_FORMAT, result->took_us);

  log_event (G_LOG_LEVEL_INFO, "target-failed", "ATTEMPT_NODE",
             submission->args.attempt.node, "TARGET", submission->target->name,
             "EVEN_SICK", submission->args.even_sick ? "yes" : "no", "REASON",
             reason_name ((Reason)res->reason), "STATUS", status, "TOOK_US", took,
             "DETAIL", result->detail, NULL);
}

static void
on_target_done (const HttpResult *result, gpointer data)
{
  Submission *submission = data;
  Sidecar *sidecar = submission->sidecar;
  SidecarTarget *target = submission->target;
  sw_submit_res res = { 0 };
  gboolean failed;

  submission->call = NULL;
  sidecar->node->adapter->dialect->judge (&submission->args, result, &res);
  if (res.result == SW_REFUSED)
    note_target_refusal (submission, &res);
  failed = res.result != SW_DONE || result->status >= HTTP_SERVER_ERROR;
  if (!submission->overdue && res.reason != SW_REASON_TARGET_REFUSED)
    observe (submission, failed, res.result == SW_FAILED, result->took_us);
  if (!failed)
    target->good_us = clock_now (sidecar->node->clock);
  if (failed)
    log_failure (submission, result, &res);
  if (failed)
    metrics_add (sidecar->node->metrics, METRIC_SIDECAR_FAILED, 1);
  admission_release (target->admission, failed ? -1 : result->took_us);
  record_end (submission, &res);
  finish (submission, &res);
  g_free (res.answer.headers.headers_val);
  start_waiting (target);
}

static GArray *
request_headers (const Submission *submission, gint64 left_us)
{
  GArray *headers = http_headers_new ();
  const sw_submit_args *args = &submission->args;

  for (u_int i = 0; i < args->headers.headers_len; i++)
    http_headers_add (headers, args->headers.headers_val[i].name,
                      args->headers.headers_val[i].value);
  submission->sidecar->node->adapter->dialect->add_attempt (args, left_us, headers);
  return headers;
}

/* Starts an attempt whose slot has been taken. */
static void
start (Submission *submission)
{
  Sidecar *sidecar = submission->sidecar;
  SidecarTarget *target = submission->target;
  const sw_submit_args *args = &submission->args;
  gint64 now = clock_now (sidecar->node->clock);
  g_autoptr (GArray) headers = NULL;
  g_autofree char *url = NULL;
  HttpOrder order = { .method = args->method };

  if (now >= submission->deadline_us)
    {
      admission_release (target->admission, -1);
      refuse (submission, SW_REASON_DEADLINE);
      return;
    }
  /* The record comes before the first byte: a start that is not recorded never happens.
   */
  if (submission->entry && !fence_start (submission->entry))
    {
      admission_release (target->admission, -1);
      refuse (submission, SW_REASON_FENCED);
      return;
    }
  submission->running = TRUE;
  submission->started_us = now;
  headers = request_headers (submission, submission->deadline_us - now);
  url = g_strdup_printf ("http://%s%s", target->address, args->path);
  order.url = url;
  order.headers = headers;
  order.body = args->body.body_val;
  order.body_len = args->body.body_len;
  order.has_body = args->body.body_len > 0 || strcmp (args->method, "POST") == 0 ||
                   strcmp (args->method, "PUT") == 0 ||
                   strcmp (args->method, "PATCH") == 0;
  order.timeout_us = submission->deadline_us - now;
  order.answer_max = target->answer_max;
  metrics_add (sidecar->node->metrics, METRIC_SIDECAR_STARTED, 1);
  submission->call =
      http_client_send (sidecar->node->http, &order, on_target_done, submission);
}

/* An attempt that the table knows already: a copy, or a ticket used again. */
static void
answer_known (Sidecar *sidecar,
              RpcConn *conn,
              guint32 xid,
              SidecarTarget *target,
              FenceEntry *entry,
              const sw_attempt *attempt,
              gint64 until_us)
{
  Submission *submission = fence_entry_data (entry);
  sw_submit_res res = { 0 };

  if (submission)
    {
      add_waiter (submission, conn, xid, until_us);
      return;
    }
  if (fence_entry_state (entry) == FENCE_TOMBSTONE)
    {
      reply_plain (sidecar, conn, xid, target, attempt, SW_REFUSED, SW_REASON_FENCED);
      return;
    }
  if (!fence_entry_answer (entry) ||
      !wire_unpack ((xdrproc_t)xdr_sw_submit_res, fence_entry_answer (entry), &res))
    {
      reply_plain (sidecar, conn, xid, target, attempt, SW_UNKNOWN, SW_REASON_DUPLICATE);
      return;
    }
  rpc_conn_reply (conn, xid, (xdrproc_t)xdr_sw_submit_res, &res);
  xdr_free ((xdrproc_t)xdr_sw_submit_res, (char *)&res);
}

static Submission *
submission_create (Sidecar *sidecar, SidecarTarget *target, const sw_submit_args *args)
{
  Submission *submission = g_new0 (Submission, 1);
  g_autoptr (GBytes) packed = wire_pack ((xdrproc_t)xdr_sw_submit_args, (void *)args);

  submission->sidecar = sidecar;
  submission->target = target;
  submission->waiters = g_array_new (FALSE, FALSE, sizeof (Waiter));
  g_array_set_clear_func (submission->waiters, clear_waiter);
  submission->deadline_us =
      clock_now (sidecar->node->clock) + (gint64)args->remaining_ms * MS_US;
  wire_unpack ((xdrproc_t)xdr_sw_submit_args, packed, &submission->args);
  g_hash_table_add (sidecar->submissions, submission);
  return submission;
}

/* Takes an unrepeatable attempt into the fence. FALSE when it has been answered. */
static gboolean
pass_fence (Sidecar *sidecar,
            RpcConn *conn,
            guint32 xid,
            SidecarTarget *target,
            const sw_submit_args *args,
            FenceEntry **entry)
{
  AttemptId id;

  fill_attempt (&args->attempt, &id);
  switch (
      fence_submit (sidecar->fence, &id, args->sidecar, (gint64)args->clock_us, entry))
    {
    case FENCE_NEW:
      return TRUE;
    case FENCE_KNOWN:
      answer_known (sidecar, conn, xid, target, *entry, &args->attempt, -1);
      return FALSE;
    case FENCE_INCARNATION:
      reply_plain (sidecar, conn, xid, target, &args->attempt, SW_UNKNOWN,
                   SW_REASON_INCARNATION);
      return FALSE;
    case FENCE_STALE:
      reply_plain (sidecar, conn, xid, target, &args->attempt, SW_UNKNOWN,
                   SW_REASON_STALE);
      return FALSE;
    default:
      reply_plain (sidecar, conn, xid, target, &args->attempt, SW_REFUSED,
                   SW_REASON_OVERLOAD);
      return FALSE;
    }
}

static void
offer (Submission *submission)
{
  SidecarTarget *target = submission->target;
  Submission *displaced;

  switch (admission_offer (target->admission, submission, submission->args.priority,
                           submission->deadline_us))
    {
    case ADMISSION_START:
      start (submission);
      break;
    case ADMISSION_QUEUED:
      displaced = admission_displaced (target->admission);
      if (displaced)
        refuse (displaced, SW_REASON_OVERLOAD);
      break;
    default:
      refuse (submission, SW_REASON_OVERLOAD);
      break;
    }
}

/*
 * Whether a sick target had better not get this. Many ingresses offer trials at once, or
 * do not know yet that it is sick; only the sidecar can see to it that trials, of work
 * that may be repeated, come one at a time.
 */
static gboolean
is_too_sick_for (SidecarTarget *target, const sw_submit_args *args, gint64 now)
{
  guint failed = MIN (detector_failed_trials (target->detector), TRIAL_DOUBLINGS_MAX);

  if (detector_severity (target->detector) == 0 || (args->even_sick && !args->trial))
    return FALSE;
  if (!args->repeatable || now < target->next_trial_us)
    return TRUE;
  target->next_trial_us = now + (TRIAL_FIRST_US << failed);
  return FALSE;
}

void
sidecar_submit (Sidecar *sidecar, RpcConn *conn, guint32 xid, const sw_submit_args *args)
{
  SidecarTarget *target = g_hash_table_lookup (sidecar->targets, args->target);
  FenceEntry *entry = NULL;
  Submission *submission;

  if (!args->repeatable && !pass_fence (sidecar, conn, xid, target, args, &entry))
    return;
  if (!target || sidecar_target_is_leaving (target, sidecar->draining))
    {
      if (entry)
        fence_refuse (entry);
      reply_plain (sidecar, conn, xid, target, &args->attempt, SW_REFUSED,
                   target ? SW_REASON_DRAINING : SW_REASON_NO_TARGET);
      return;
    }
  if (is_too_sick_for (target, args, clock_now (sidecar->node->clock)))
    {
      if (entry)
        fence_refuse (entry);
      reply_plain (sidecar, conn, xid, target, &args->attempt, SW_REFUSED,
                   SW_REASON_SICK);
      return;
    }
  if (!args->may_queue && !admission_is_free (target->admission))
    {
      if (entry)
        fence_refuse (entry);
      reply_plain (sidecar, conn, xid, target, &args->attempt, SW_REFUSED,
                   SW_REASON_OVERLOAD);
      return;
    }
  submission = submission_create (sidecar, target, args);
  submission->entry = entry;
  if (entry)
    fence_entry_set_data (entry, submission);
  add_waiter (submission, conn, xid, -1);
  offer (submission);
}

void
sidecar_fence (Sidecar *sidecar, RpcConn *conn, guint32 xid, const sw_fence_args *args)
{
  SidecarTarget *target = g_hash_table_lookup (sidecar->targets, args->target);
  gint64 until = clock_now (sidecar->node->clock) + (gint64)args->wait_ms * MS_US;
  Submission *queued;
  FenceEntry *entry;
  AttemptId id;

  fill_attempt (&args->attempt, &id);
  switch (fence_ask (sidecar->fence, &id, args->sidecar, (gint64)args->clock_us, &entry))
    {
    case FENCE_NOT_RUN:
      queued = entry ? fence_entry_data (entry) : NULL;
      if (queued)
        {
          admission_withdraw (queued->target->admission, queued);
          refuse (queued, SW_REASON_FENCED);
        }
      reply_plain (sidecar, conn, xid, target, &args->attempt, SW_REFUSED,
                   SW_REASON_FENCED);
      break;
    case FENCE_RUNNING:
    case FENCE_OVER:
      answer_known (sidecar, conn, xid, target, entry, &args->attempt, until);
      break;
    default:
      reply_plain (sidecar, conn, xid, target, &args->attempt, SW_UNKNOWN,
                   SW_REASON_STALE);
      break;
    }
}

static Submission *
find_submission (const Sidecar *sidecar, const AttemptId *id)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, sidecar->submissions);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      AttemptId own;

      fill_attempt (&((Submission *)key)->args.attempt, &own);
      if (attempt_id_equal (&own, id))
        return key;
    }
  return NULL;
}

/* Breaks off work that may be repeated; the target hears of it by the closed connection.
 */
static void
break_off (Submission *submission, sw_reason reason)
{
  SidecarTarget *target = submission->target;
  sw_submit_res res = { .result = SW_FAILED, .reason = reason };

  http_call_cancel (submission->call);
  admission_release (target->admission, -1);
  finish (submission, &res);
  start_waiting (target);
}

void
sidecar_cancel (Sidecar *sidecar, const sw_cancel_args *args)
{
  FenceEntry *entry;
  Submission *submission;
  AttemptId id;

  fill_attempt (&args->attempt, &id);
  submission = find_submission (sidecar, &id);
  if (submission && submission->running)
    {
      if (args->repeatable)
        break_off (submission, SW_REASON_CANCELLED);
      return;
    }
  /* An attempt that may be on its way still is kept from starting. */
  if (!args->repeatable)
    fence_ask (sidecar->fence, &id, args->sidecar, (gint64)args->clock_us, &entry);
  if (!submission)
    return;
  admission_withdraw (submission->target->admission, submission);
  refuse (submission, SW_REASON_CANCELLED);
}

/* Those who wait at a target that leaves are better off elsewhere, at once. */
static void
refuse_waiting (Sidecar *sidecar)
{
  g_autoptr (GPtrArray) waiting = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, sidecar->submissions);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const Submission *submission = key;

      if (!submission->running &&
          sidecar_target_is_leaving (submission->target, sidecar->draining))
        g_ptr_array_add (waiting, key);
    }
  for (guint i = 0; i < waiting->len; i++)
    {
      Submission *submission = g_ptr_array_index (waiting, i);

      admission_withdraw (submission->target->admission, submission);
      refuse (submission, SW_REASON_DRAINING);
    }
}

static void
answer_late_waiters (Submission *submission, gint64 now)
{
  for (guint i = submission->waiters->len; i-- > 0;)
    {
      const Waiter *waiter = &g_array_index (submission->waiters, Waiter, i);

      if (waiter->until_us < 0 || waiter->until_us > now)
        continue;
      reply_plain (submission->sidecar, waiter->conn, waiter->xid, submission->target,
                   &submission->args.attempt, SW_STARTED, SW_REASON_NONE);
      g_array_remove_index (submission->waiters, i);
    }
}

/* A request that hangs speaks against its target long before its deadline does. */
static void
check_overdue (Submission *submission, gint64 now)
{
  gint64 sibling = submission->args.sibling_latency_us;
  gint64 age = now - submission->started_us;
  gboolean silent = submission->target->good_us < submission->started_us;

  if (!submission->running || submission->overdue || !sibling)
    return;
  if (age < MAX (sibling * OVERDUE_FACTOR, OVERDUE_MIN_US) &&
      !(silent && age >= MAX (sibling * HANG_FACTOR, HANG_MIN_US)))
    return;
  submission->overdue = TRUE;
  observe (submission, TRUE, silent, age);
  /* There is still time for another target to do it. */
  if (silent && submission->args.repeatable)
    break_off (submission, SW_REASON_TIMEOUT);
}

static void
on_sweep (gpointer data)
{
  Sidecar *sidecar = data;
  gint64 now = clock_now (sidecar->node->clock);
  g_autoptr (GList) running = NULL;
  GHashTableIter iter;
  gpointer value;

  /* Checking may end submissions. */
  running = g_hash_table_get_keys (sidecar->submissions);
  for (GList *item = running; item; item = item->next)
    {
      if (!g_hash_table_contains (sidecar->submissions, item->data))
        continue;
      answer_late_waiters (item->data, now);
      check_overdue (item->data, now);
    }
  g_hash_table_iter_init (&iter, sidecar->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      SidecarTarget *target = value;
      Submission *expired;

      while ((expired = admission_expired (target->admission)))
        refuse (expired, SW_REASON_DEADLINE);
    }
  verdicts_publish (sidecar->node, sidecar->targets, sidecar->draining);
  loop_timer_start (sidecar->sweep, SWEEP_US);
}

Sidecar *
sidecar_create (Node *node)
{
  const Settings *settings = node->settings;
  FenceLimits limits = { settings->fence_window_us, settings->fence_entries_max,
                         settings->fence_answers_max };
  Sidecar *sidecar = g_new0 (Sidecar, 1);

  sidecar->node = node;
  sidecar->fence = fence_create (&limits, node->incarnation, node->clock);
  sidecar->targets = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                            (GDestroyNotify)sidecar_target_destroy);
  sidecar->submissions = g_hash_table_new (NULL, NULL);
  sidecar->sweep = loop_timer_create (node->loop, on_sweep, sidecar);
  loop_timer_start (sidecar->sweep, SWEEP_US);
  return sidecar;
}

void
sidecar_destroy (Sidecar *sidecar)
{
  GHashTableIter iter;
  gpointer key;

  if (!sidecar)
    return;
  loop_timer_destroy (sidecar->sweep);
  for (;;)
    {
      g_hash_table_iter_init (&iter, sidecar->submissions);
      if (!g_hash_table_iter_next (&iter, &key, NULL))
        break;
      submission_free (key);
    }
  g_hash_table_unref (sidecar->submissions);
  g_hash_table_unref (sidecar->targets);
  fence_destroy (sidecar->fence);
  g_free (sidecar);
}

static void
take_target (Sidecar *sidecar, const Service *service, const Target *config)
{
  SidecarTarget *target = g_hash_table_lookup (sidecar->targets, config->name);

  if (target)
    {
      sidecar_target_update (target, service, config, sidecar->node->clock);
      return;
    }
  target = sidecar_target_create (service, config, sidecar->node->clock);
  g_hash_table_insert (sidecar->targets, target->name, target);
}

void
sidecar_apply (Sidecar *sidecar, const Snapshot *snapshot)
{
  const GPtrArray *services = snapshot_services (snapshot);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, sidecar->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((SidecarTarget *)value)->present = FALSE;
  for (guint i = 0; i < services->len; i++)
    {
      const Service *service = g_ptr_array_index (services, i);

      for (guint j = 0; j < service->targets->len; j++)
        {
          const Target *target = g_ptr_array_index (service->targets, j);

          if (strcmp (target->vm, sidecar->node->settings->node) == 0)
            take_target (sidecar, service, target);
        }
    }
  /* A target that has gone is kept while requests of it run. */
  g_hash_table_iter_init (&iter, sidecar->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      SidecarTarget *target = value;

      if (!target->present && admission_in_use (target->admission) == 0 &&
          admission_queued (target->admission) == 0)
        g_hash_table_iter_remove (&iter);
    }
  refuse_waiting (sidecar);
  verdicts_publish (sidecar->node, sidecar->targets, sidecar->draining);
}

void
sidecar_states (Sidecar *sidecar, sw_hello_res *res)
{
  GHashTableIter iter;
  gpointer value;

  res->states.states_val = g_new0 (sw_target_state, SW_STATES_MAX);
  g_hash_table_iter_init (&iter, sidecar->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value) &&
         res->states.states_len < SW_STATES_MAX)
    sidecar_target_state (value, sidecar->draining,
                          &res->states.states_val[res->states.states_len++]);
}

void
sidecar_drain (Sidecar *sidecar)
{
  sidecar->draining = TRUE;
  refuse_waiting (sidecar);
  verdicts_publish (sidecar->node, sidecar->targets, sidecar->draining);
}

guint
sidecar_active (const Sidecar *sidecar)
{
  return g_hash_table_size (sidecar->submissions);
}

void
sidecar_write_status (Sidecar *sidecar, JsonBuilder *builder)
{
  verdicts_write (sidecar->targets, sidecar->draining, builder);
}
