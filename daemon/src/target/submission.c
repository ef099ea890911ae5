#include "sidecar-private.h"

#include <string.h>

#include <core/http-status.h>
#include <wire/convert.h>

#include "adapter.h"
#include "attempt-id.h"
#include "log.h"
#include "peers.h"

/* Adds the sidecar's stamp and the target's state to an answer, and sends it. */
static void
sidecar_reply (Sidecar *sidecar,
               RpcConn *conn,
               guint32 xid,
               SidecarTarget *target,
               sw_submit_res *res)
{
  sidecar_stamp (sidecar, &res->stamp);
  res->state.target = "";
  if (target)
    sidecar_target_state (target, sidecar->draining, &res->state);
  traffic_add (sidecar->node->traffic, TRAFFIC_ANSWERS,
               peers_in_own_hall (sidecar->node, rpc_conn_peer (conn)),
               rpc_conn_reply (conn, xid, (xdrproc_t)xdr_sw_submit_res, res));
}

void
sidecar_reply_plain (Sidecar *sidecar,
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
  if (reason == SW_REASON_BUDGET)
    metrics_add (sidecar->node->metrics, METRIC_BUDGET_REFUSED, 1);
  sidecar_reply (sidecar, conn, xid, target, &res);
}

static void
clear_waiter (gpointer data)
{
  rpc_conn_unref (((Waiter *)data)->conn);
}

void
submission_add_waiter (Submission *submission,
                       RpcConn *conn,
                       guint32 xid,
                       gint64 until_us)
{
  Waiter waiter = { rpc_conn_ref (conn), xid, until_us };

  g_array_append_val (submission->waiters, waiter);
}

void
submission_free (Submission *submission)
{
  g_hash_table_remove (submission->sidecar->submissions, submission);
  if (submission->entry)
    fence_entry_set_data (submission->entry, NULL);
  xdr_free ((xdrproc_t)xdr_sw_submit_args, (char *)&submission->args);
  mem_account_subtract (submission->sidecar->node->memory, submission->held);
  g_array_unref (submission->waiters);
  g_free (submission);
}

/* Answers all waiters and frees the submission. */
static void
finish (Submission *submission, sw_submit_res *res)
{
  Sidecar *sidecar = submission->sidecar;

  res->attempt = submission->args.attempt;
  for (guint i = 0; i < submission->waiters->len; i++)
    {
      const Waiter *waiter = &g_array_index (submission->waiters, Waiter, i);

      sidecar_reply (sidecar, waiter->conn, waiter->xid, submission->target, res);
    }
  submission_free (submission);
}

/* Ends a submission that has not started, and tells its waiters when to retry. */
static void
refuse (Submission *submission, sw_reason reason, gint64 retry_after_us)
{
  sw_submit_res res = { .result = SW_REFUSED, .reason = reason };

  if (submission->entry && fence_entry_state (submission->entry) == FENCE_QUEUED)
    fence_refuse (submission->entry);
  res.retry_after_ms = (u_int)(retry_after_us / MS_US);
  metrics_add (submission->sidecar->node->metrics, METRIC_SIDECAR_REFUSED, 1);
  finish (submission, &res);
}

void
submission_refuse (Submission *submission, sw_reason reason)
{
  refuse (submission, reason, admission_retry_after_us (submission->target->admission));
}

void
submission_start_queued (SidecarTarget *target)
{
  Submission *next;

  while ((next = admission_expired (target->admission)))
    submission_refuse (next, SW_REASON_DEADLINE);
  while ((next = admission_next (target->admission)))
    submission_start (next);
}

/* Stores the complete answer in the fence, in case the ingress does not receive it. */
static void
store_answer (Submission *submission, sw_submit_res *res)
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

static void
note_break (const Submission *submission)
{
  const Sidecar *sidecar = submission->sidecar;
  const SidecarTarget *target = submission->target;
  const Node *node = sidecar->node;
  FingerprintInput words = submission_fingerprint_input (submission);
  WatchedTarget where = { target->name, target->service, target->address };
  BrokenAttempt work = { .prints = fingerprint_all (node->fingerprints, &words),
                         .attempt = attempt_id_text (&submission->args.attempt),
                         .trial = submission->quarantine_trial,
                         .ran_us = clock_now (node->clock) - submission->started_us };

  crash_watches_note_break (sidecar->ends, &where, &work);
}

/* Reports the end of the exchange to the quarantine. A good answer clears a suspected
   request. An error answer does not, because targets in a bad spell return errors of
   their own without running the request. */
static void
note_quarantine (Submission *submission, const HttpResult *result, gboolean failed)
{
  Sidecar *sidecar = submission->sidecar;
  QuarantineNode *quarantine = sidecar->node->quarantine;
  FingerprintInput words;

  if (result->outcome == HTTP_CALL_BROKEN)
    note_break (submission);
  else if (failed && submission->quarantine_trial)
    quarantine_node_trial_undecided (quarantine, &submission->print.prints);
  if (failed || !quarantine_node_watches (quarantine, submission->target->service))
    return;
  words = submission_fingerprint_input (submission);
  quarantine_node_note_answer (quarantine, &submission->print, &words);
}

/* Handles a refusal by the target, which proves to the caller that the request did not
   run and takes the place of an answer. */
static void
note_target_refusal (Submission *submission, guint status, sw_submit_res *res)
{
  /* A request meant for another target tells nothing about this target's load. */
  if (status != HTTP_MISDIRECTED)
    shedding_note (submission->target->shedding);
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
  g_autofree char *rested = g_strdup_printf ("%" G_GINT64_FORMAT, result->rested_us);
  g_autofree char *attempt = attempt_id_text (&submission->args.attempt);

  log_event (G_LOG_LEVEL_INFO, "target-failed", "ATTEMPT", attempt, "TARGET",
             submission->target->name, "EVEN_SICK",
             submission->args.even_sick ? "yes" : "no", "REASON",
             reason_name ((Reason)res->reason), "STATUS", status, "TOOK_US", took,
             "RESTED_US", rested, "DETAIL", result->detail, NULL);
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
    note_target_refusal (submission, result->status, &res);
  failed = res.result != SW_DONE || result->status >= HTTP_SERVER_ERROR;
  submission_note_end (submission, &res, result, failed);
  submission_note_notices (submission, result, &res);
  if (failed)
    log_failure (submission, result, &res);
  if (failed)
    metrics_add (sidecar->node->metrics, METRIC_SIDECAR_FAILED, 1);
  note_quarantine (submission, result, failed);
  admission_release (target->admission, failed ? -1 : result->took_us);
  store_answer (submission, &res);
  finish (submission, &res);
  g_free (res.answer.headers.headers_val);
  submission_start_queued (target);
}

static gboolean
is_foreign (guint status, const GArray *headers, gpointer data)
{
  const Submission *submission = data;

  return submission->sidecar->node->adapter->dialect->is_foreign (&submission->args,
                                                                  headers);
}

/* Routes allow two attempts by default, so that a further one counts as the last. */
static ConnectionUse
connection_use (const sw_submit_args *args)
{
  if (!args->repeatable)
    return CONNECTION_USE_UNREPEATABLE;
  return args->retry == RETRY_FURTHER_ATTEMPT ? CONNECTION_USE_LAST
                                              : CONNECTION_USE_REPEATABLE;
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

/* Returns whether the quarantine lets the request run, and refuses it if not. The check
   is made right before the start, because the request may have been quarantined while it
   waited, or its ingress may not know yet. */
static gboolean
pass_quarantine (Submission *submission)
{
  Sidecar *sidecar = submission->sidecar;
  QuarantineNode *quarantine = sidecar->node->quarantine;
  FingerprintInput words;
  gint64 retry_after_us;

  if (!quarantine_node_watches (quarantine, submission->target->service))
    return TRUE;
  words = submission_fingerprint_input (submission);
  if (quarantine_node_admits (quarantine, &submission->print, &words,
                              submission->args.trial, &submission->quarantine_trial,
                              &retry_after_us))
    return TRUE;
  admission_release (submission->target->admission, -1);
  refuse (submission, SW_REASON_QUARANTINED, retry_after_us);
  return FALSE;
}

void
submission_start (Submission *submission)
{
  Sidecar *sidecar = submission->sidecar;
  SidecarTarget *target = submission->target;
  const sw_submit_args *args = &submission->args;
  gint64 now = clock_now (sidecar->node->clock);
  g_autoptr (GArray) headers = NULL;
  HttpLinkRequest order = { .method = args->method };

  if (now >= submission->deadline_us)
    {
      admission_release (target->admission, -1);
      submission_refuse (submission, SW_REASON_DEADLINE);
      return;
    }
  if (!pass_quarantine (submission))
    return;
  /* The fence records the start before the first byte is sent. Without that record the
     attempt does not start. */
  if (submission->entry && !fence_start (submission->entry))
    {
      admission_release (target->admission, -1);
      submission_refuse (submission, SW_REASON_FENCED);
      return;
    }
  submission->running = TRUE;
  submission->started_us = now;
  proof_note_start (&target->proof, now);
  sidecar_budgets_note (sidecar->budgets, target->service, args->retry);
  headers = request_headers (submission, submission->deadline_us - now);
  order.path = args->path;
  order.headers = headers;
  order.body = args->body.body_val;
  order.body_len = args->body.body_len;
  order.has_body = args->body.body_len > 0 || strcmp (args->method, "POST") == 0 ||
                   strcmp (args->method, "PUT") == 0 ||
                   strcmp (args->method, "PATCH") == 0;
  order.timeout_us = submission->deadline_us - now;
  order.answer_max = target->answer_max;
  order.is_foreign = is_foreign;
  metrics_add (sidecar->node->metrics, METRIC_SIDECAR_STARTED, 1);
  submission_count_limited_start (submission);
  submission->call = target_calls_send (target->calls, &order, connection_use (args),
                                        on_target_done, submission);
}

Submission *
submission_create (Sidecar *sidecar, SidecarTarget *target, sw_submit_args *args)
{
  Submission *submission = g_new0 (Submission, 1);

  submission->sidecar = sidecar;
  submission->target = target;
  submission->waiters = g_array_new (FALSE, FALSE, sizeof (Waiter));
  g_array_set_clear_func (submission->waiters, clear_waiter);
  submission->deadline_us =
      clock_now (sidecar->node->clock) + (gint64)args->remaining_ms * MS_US;
  submission->args = *args;
  memset (args, 0, sizeof *args);
  submission->held = mem_account_cost (submission->args.body.body_len);
  mem_account_add (sidecar->node->memory, submission->held);
  g_hash_table_add (sidecar->submissions, submission);
  return submission;
}

void
submission_offer (Submission *submission)
{
  SidecarTarget *target = submission->target;
  gint64 now = clock_now (submission->sidecar->node->clock);
  AdmissionParams order = { .priority = submission->args.priority,
                            .deadline_us = submission->deadline_us };
  Submission *displaced;
  LatencyFit fit;

  order.on_time_by_us = now + (gint64)submission->args.slack_ms * MS_US;
  /* A route without answers is taken for a short one: refused for the time that others
     take, it would never get one. */
  fit = submission_latency_fit (submission);
  order.service_us = MAX (latency_fit_mean_us (&fit), 1);
  if (submission->args.wait_ms > 0)
    order.start_by_us = now + (gint64)submission->args.wait_ms * MS_US;
  switch (admission_offer (target->admission, submission, &order))
    {
    case ADMISSION_START:
      submission_start (submission);
      break;
    case ADMISSION_QUEUED:
      displaced = admission_displaced (target->admission);
      if (displaced)
        submission_refuse (displaced, SW_REASON_OVERLOAD);
      break;
    default:
      submission_refuse (submission, sidecar_no_room (target, submission->sidecar));
      break;
    }
}

void
submission_abort (Submission *submission, sw_reason reason)
{
  SidecarTarget *target = submission->target;
  sw_submit_res res = { .result = SW_FAILED, .reason = reason };

  target_call_cancel (submission->call);
  if (submission->quarantine_trial)
    quarantine_node_trial_undecided (submission->sidecar->node->quarantine,
                                     &submission->print.prints);
  admission_release (target->admission, -1);
  finish (submission, &res);
  submission_start_queued (target);
}

void
submission_expire_waiters (Submission *submission, gint64 now)
{
  for (guint i = submission->waiters->len; i-- > 0;)
    {
      const Waiter *waiter = &g_array_index (submission->waiters, Waiter, i);

      if (waiter->until_us < 0 || waiter->until_us > now)
        continue;
      sidecar_reply_plain (submission->sidecar, waiter->conn, waiter->xid,
                           submission->target, &submission->args.attempt, SW_STARTED,
                           SW_REASON_NONE);
      g_array_remove_index (submission->waiters, i);
    }
}
