#include "sidecar-private.h"

#include <string.h>

#include <core/stop.h>
#include <wire/convert.h>

static void
fill_attempt (const sw_attempt *attempt, AttemptId *id)
{
  id->node = attempt->node;
  id->incarnation = attempt->incarnation;
  id->counter = attempt->counter;
}

/* Sends a stored answer with the target's present state: the ingress that passes it on
   must know what the target has stated in it. */
static void
reply_stored (Sidecar *sidecar,
              RpcConn *conn,
              guint32 xid,
              SidecarTarget *target,
              sw_submit_res *res)
{
  char *none = res->state.target;

  if (target)
    sidecar_target_state (target, sidecar->draining, &res->state);
  rpc_conn_reply (conn, xid, (xdrproc_t)xdr_sw_submit_res, res);
  res->state.target = none;
}

/* Answers a call about an attempt that the fence already knows, such as a duplicate or a
   reused ticket. Waits until `until_us` for the end of one that has not ended, -1 for no
   time-out. */
static void
answer_known_attempt (Sidecar *sidecar,
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
      submission_add_waiter (submission, conn, xid, until_us);
      return;
    }
  if (fence_entry_state (entry) == FENCE_TOMBSTONE)
    {
      sidecar_reply_plain (sidecar, conn, xid, target, attempt, SW_REFUSED,
                           SW_REASON_FENCED);
      return;
    }
  if (!fence_entry_answer (entry) ||
      !wire_unpack ((xdrproc_t)xdr_sw_submit_res, fence_entry_answer (entry), &res))
    {
      sidecar_reply_plain (sidecar, conn, xid, target, attempt, SW_UNKNOWN,
                           SW_REASON_DUPLICATE);
      return;
    }
  reply_stored (sidecar, conn, xid, target, &res);
  xdr_free ((xdrproc_t)xdr_sw_submit_res, (char *)&res);
}

/* Registers an unrepeatable attempt in the fence. Returns FALSE if the call has been
   answered instead. */
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
      answer_known_attempt (sidecar, conn, xid, target, *entry, &args->attempt, -1);
      return FALSE;
    case FENCE_WRONG_INCARNATION:
      sidecar_reply_plain (sidecar, conn, xid, target, &args->attempt, SW_UNKNOWN,
                           SW_REASON_INCARNATION);
      return FALSE;
    case FENCE_STALE:
      sidecar_reply_plain (sidecar, conn, xid, target, &args->attempt, SW_UNKNOWN,
                           SW_REASON_STALE);
      return FALSE;
    default:
      sidecar_reply_plain (sidecar, conn, xid, target, &args->attempt, SW_REFUSED,
                           SW_REASON_OVERLOAD);
      return FALSE;
    }
}

/*
 * Returns whether a sick target must refuse this attempt. Many ingresses may offer trials
 * at once, or may not know yet that the target is sick. Only the sidecar can limit them
 * to one trial at a time, made with repeatable requests.
 */
static gboolean
refuses_while_sick (SidecarTarget *target, const sw_submit_args *args, gint64 now)
{
  guint failed =
      MIN (detector_failed_trials (target->detector), SIDECAR_TRIAL_DOUBLINGS_MAX);

  if (detector_severity (target->detector) == 0 || (args->even_sick && !args->trial))
    return FALSE;
  if (!args->repeatable || now < target->next_trial_us)
    return TRUE;
  target->next_trial_us = now + (SIDECAR_TRIAL_FIRST_US << failed);
  return FALSE;
}

/* Returns whether the attempt takes a slot although none is free. Trials come one at a
   time and must not wait behind hung requests. */
static gboolean
may_force_slot (SidecarTarget *target, const sw_submit_args *args)
{
  return args->trial && detector_severity (target->detector) > 0 &&
         !admission_is_free (target->admission) &&
         start_limit_allows (target->start_limit);
}

/* Returns whether an attempt may last longer than this node, which stops. One that may
   queue is accepted all the same: its ingress has found no free slot elsewhere. */
static gboolean
may_outlast_stop (const Sidecar *sidecar, const sw_submit_args *args)
{
  const Node *node = sidecar->node;
  LatencyFit fit = latency_fit_unpack (args->sibling_fit);

  return node->stopping && !args->may_queue && latency_fit_is_known (&fit) &&
         stop_max_wait_us (&fit, node->work_until_us - clock_now (node->clock)) == 0;
}

/* Returns whether there is memory for the attempt's body, and counts if there is not. */
static gboolean
has_memory (const Sidecar *sidecar, const sw_submit_args *args)
{
  gsize held = mem_account_cost (args->body.body_len);

  if (mem_account_fits (sidecar->node->memory, MEM_RUNNING, held, held))
    return TRUE;
  metrics_add (sidecar->node->metrics, METRIC_SIDECAR_NO_MEMORY, 1);
  return FALSE;
}

/* Returns why the attempt is refused, or SW_REASON_NONE. `has_slot` says that a slot is
   held for it. */
static sw_reason
refusal_reason (Sidecar *sidecar,
                SidecarTarget *target,
                const sw_submit_args *args,
                gboolean has_slot)
{
  if (!target)
    return SW_REASON_NO_TARGET;
  if (sidecar_target_is_leaving (target, sidecar->draining))
    return SW_REASON_DRAINING;
  if (target->state == TARGET_EVACUATED)
    return SW_REASON_EVACUATED;
  if (!has_memory (sidecar, args))
    return SW_REASON_OVERLOAD;
  /* The remaining checks were made when the slot was requested. */
  if (has_slot)
    return SW_REASON_NONE;
  if (refuses_while_sick (target, args, clock_now (sidecar->node->clock)))
    return SW_REASON_SICK;
  if ((!args->may_queue || sidecar->queues_closed) && !may_force_slot (target, args) &&
      !admission_is_free (target->admission))
    return sidecar_no_room (target, sidecar);
  if (may_outlast_stop (sidecar, args))
    return SW_REASON_OVERLOAD;
  if (args->proved_only &&
      !proof_is_fresh (&target->proof, clock_now (sidecar->node->clock)))
    return SW_REASON_UNPROVED;
  if (!sidecar_budgets_allow (sidecar->budgets, target->service, args->retry))
    return SW_REASON_BUDGET;
  return SW_REASON_NONE;
}

/* Holds a slot for a request that is sent afterwards, or answers why it cannot. */
static void
answer_slot_request (Sidecar *sidecar,
                     RpcConn *conn,
                     guint32 xid,
                     const sw_submit_args *args)
{
  SidecarTarget *target = g_hash_table_lookup (sidecar->targets, args->target);
  sw_reason reason = refusal_reason (sidecar, target, args, FALSE);
  AttemptId id;

  fill_attempt (&args->attempt, &id);
  if (reason == SW_REASON_NONE && !sidecar_holds_add (sidecar->holds, target, &id))
    reason = SW_REASON_OVERLOAD;
  sidecar_reply_plain (sidecar, conn, xid, target, &args->attempt,
                       reason == SW_REASON_NONE ? SW_HELD : SW_REFUSED, reason);
}

void
sidecar_submit (Sidecar *sidecar, RpcConn *conn, guint32 xid, sw_submit_args *args)
{
  SidecarTarget *target = g_hash_table_lookup (sidecar->targets, args->target);
  FenceEntry *entry = NULL;
  Submission *submission;
  gboolean has_slot;
  sw_reason reason;
  AttemptId id;

  if (target)
    sidecar_note_remembered_rate (sidecar, target, args);
  if (args->phase == SW_ASK)
    {
      answer_slot_request (sidecar, conn, xid, args);
      return;
    }
  if (!args->repeatable && !pass_fence (sidecar, conn, xid, target, args, &entry))
    return;
  fill_attempt (&args->attempt, &id);
  has_slot = args->phase == SW_HELD_SUBMIT && target &&
             sidecar_holds_take (sidecar->holds, target, &id);
  reason = refusal_reason (sidecar, target, args, has_slot);
  if (reason == SW_REASON_NONE && !has_slot && may_force_slot (target, args))
    has_slot = admission_force (target->admission);
  if (reason != SW_REASON_NONE)
    {
      if (has_slot)
        admission_release (target->admission, -1);
      if (entry)
        fence_refuse (entry);
      sidecar_reply_plain (sidecar, conn, xid, target, &args->attempt, SW_REFUSED,
                           reason);
      return;
    }
  submission = submission_create (sidecar, target, args);
  submission->entry = entry;
  if (entry)
    fence_entry_set_data (entry, submission);
  submission_add_waiter (submission, conn, xid, -1);
  if (has_slot)
    submission_start (submission);
  else
    submission_offer (submission);
}

void
sidecar_refuse_truncated (Sidecar *sidecar,
                          RpcConn *conn,
                          guint32 xid,
                          const sw_submit_args *args)
{
  SidecarTarget *target = g_hash_table_lookup (sidecar->targets, args->target);
  AttemptId id;

  fill_attempt (&args->attempt, &id);
  if (args->phase == SW_HELD_SUBMIT && target &&
      sidecar_holds_take (sidecar->holds, target, &id))
    {
      admission_release (target->admission, -1);
      submission_start_queued (target);
    }
  metrics_add (sidecar->node->metrics, METRIC_SIDECAR_NO_MEMORY, 1);
  sidecar_reply_plain (sidecar, conn, xid, target, &args->attempt, SW_REFUSED,
                       SW_REASON_OVERLOAD);
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
          submission_refuse (queued, SW_REASON_FENCED);
        }
      sidecar_reply_plain (sidecar, conn, xid, target, &args->attempt, SW_REFUSED,
                           SW_REASON_FENCED);
      break;
    case FENCE_RUNNING:
    case FENCE_RAN:
      answer_known_attempt (sidecar, conn, xid, target, entry, &args->attempt, until);
      break;
    default:
      sidecar_reply_plain (sidecar, conn, xid, target, &args->attempt, SW_UNKNOWN,
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
      submission_note_abandoned (submission);
      if (args->repeatable)
        submission_abort (submission, SW_REASON_CANCELLED);
      return;
    }
  /* Fences the attempt, so that a message still in transit cannot start it. */
  if (!args->repeatable)
    fence_ask (sidecar->fence, &id, args->sidecar, (gint64)args->clock_us, &entry);
  if (!submission)
    return;
  admission_withdraw (submission->target->admission, submission);
  submission_refuse (submission, SW_REASON_CANCELLED);
}
