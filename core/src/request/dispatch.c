#include <core/dispatch.h>

/* After this many attempts that no target saw, the whole service is assumed to refuse,
   and the caller is told when to retry. The tries of placement.h usually end earlier. */
#define REFUSALS_MAX 32u
#define QUERY_HOLD_MAX_US (2 * SECOND_US)
/* Retry delay for the caller if neither a sidecar nor the balancer gave one. */
#define RETRY_AFTER_DEFAULT_US SECOND_US

struct Dispatch
{
  DispatchPolicy policy;
  GRand *rand;
  Clock *clock;
  guint attempts;
  guint arrivals;
  guint fence_queries;
  gboolean querying_fence;
  gboolean may_have_run;
  gboolean hedging;            /* two attempts are in flight */
  gboolean has_failure_answer; /* the owner keeps an answer reporting a failure */
  Reason reason;               /* of the last unsuccessful attempt */
  gint64 retry_after_us;
};

Dispatch *
dispatch_create (const DispatchPolicy *policy, GRand *rand, Clock *clock)
{
  Dispatch *dispatch = g_new0 (Dispatch, 1);

  dispatch->policy = *policy;
  dispatch->rand = rand;
  dispatch->clock = clock;
  dispatch->retry_after_us = RETRY_AFTER_DEFAULT_US;
  /* An earlier request unknown to this node may have used the same ticket. */
  dispatch->may_have_run = policy->pinned;
  return dispatch;
}

void
dispatch_destroy (Dispatch *dispatch)
{
  g_free (dispatch);
}

guint
dispatch_attempts (const Dispatch *dispatch)
{
  return dispatch->attempts;
}

guint
dispatch_refusals (const Dispatch *dispatch)
{
  return dispatch->attempts - dispatch->arrivals;
}

guint
dispatch_arrivals (const Dispatch *dispatch)
{
  return dispatch->arrivals;
}

static gint64
remaining (const Dispatch *dispatch)
{
  return dispatch->policy.deadline_us - clock_now (dispatch->clock);
}

void
dispatch_set_end (Dispatch *dispatch, gint64 end_us)
{
  dispatch->policy.deadline_us = MIN (dispatch->policy.deadline_us, end_us);
}

gint64
dispatch_remaining_us (const Dispatch *dispatch)
{
  return remaining (dispatch);
}

RetryKind
dispatch_retry_kind (const Dispatch *dispatch)
{
  if (dispatch->arrivals > 0)
    return RETRY_FURTHER_ATTEMPT;
  if (!dispatch->policy.call)
    return RETRY_FIRST_ATTEMPT;
  return dispatch->policy.repeat ? RETRY_INHERITED : RETRY_CALL;
}

gboolean
dispatch_is_last_arrival (const Dispatch *dispatch)
{
  return !dispatch->policy.repeatable ||
         dispatch->arrivals + 1 >= dispatch->policy.attempts_max;
}

gboolean
dispatch_may_hedge (const Dispatch *dispatch)
{
  return dispatch->policy.repeatable && !dispatch->policy.pinned && !dispatch->hedging &&
         dispatch->arrivals + 1 < dispatch->policy.attempts_max &&
         remaining (dispatch) > 0;
}

static DispatchStep
answer_caller (Dispatch *dispatch, Outcome outcome, Reason reason)
{
  DispatchStep step = { .kind = DISPATCH_ANSWER, .outcome = outcome, .reason = reason };

  step.retry_after_us = dispatch->retry_after_us;
  return step;
}

/* Ends the dispatch without a successful answer: with the kept failure answer if there is
   one, otherwise with an outcome that says whether an attempt may have run. */
static DispatchStep
give_up (Dispatch *dispatch, Reason reason)
{
  if (dispatch->has_failure_answer)
    return answer_caller (dispatch, OUTCOME_DONE, reason);
  return answer_caller (
      dispatch, dispatch->may_have_run ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN, reason);
}

DispatchStep
dispatch_begin (Dispatch *dispatch)
{
  DispatchStep step = { .kind = DISPATCH_CHOOSE };

  return step;
}

DispatchStep
dispatch_chosen (Dispatch *dispatch, gboolean found, gint64 retry_after_us)
{
  DispatchStep step = { .kind = DISPATCH_SEND };
  gint64 left = remaining (dispatch);

  if (!found)
    {
      if (retry_after_us > 0)
        dispatch->retry_after_us = retry_after_us;
      return give_up (dispatch, dispatch->reason ? dispatch->reason : REASON_NO_TARGET);
    }
  if (left <= 0)
    return give_up (dispatch, REASON_DEADLINE);
  dispatch->attempts++;
  step.remaining_us = left;
  /* The sidecar answers at the deadline at the latest; half the slack is for the network.
     The owner detects a dead node long before. */
  step.wait_us = left + dispatch->policy.slack_us / 2;
  return step;
}

DispatchStep
dispatch_quarantined (Dispatch *dispatch, gint64 retry_after_us)
{
  if (retry_after_us > 0)
    dispatch->retry_after_us = retry_after_us;
  return give_up (dispatch, REASON_QUARANTINED);
}

/* Counts an attempt that a target may have seen. */
static void
note_arrival (Dispatch *dispatch)
{
  dispatch->arrivals++;
}

static DispatchStep
retry (Dispatch *dispatch, Reason reason, gboolean at_once)
{
  DispatchStep step = { .kind = at_once ? DISPATCH_CHOOSE : DISPATCH_PAUSE };

  dispatch->reason = reason;
  if (dispatch->policy.pinned || dispatch->arrivals >= dispatch->policy.attempts_max ||
      dispatch_refusals (dispatch) >= REFUSALS_MAX || remaining (dispatch) <= 0)
    return give_up (dispatch, reason);
  if (at_once)
    return step;
  step.wait_us = retry_pause_us (dispatch->attempts, dispatch->rand);
  if (step.wait_us >= remaining (dispatch))
    return give_up (dispatch, reason);
  return step;
}

static DispatchStep
query_fence (Dispatch *dispatch)
{
  DispatchStep step = { .kind = DISPATCH_QUERY_FENCE };
  gint64 left = remaining (dispatch);

  dispatch->querying_fence = TRUE;
  dispatch->fence_queries++;
  if (left + dispatch->policy.slack_us <= 0)
    return answer_caller (dispatch, OUTCOME_UNKNOWN, REASON_LOST);
  step.hold_us = CLAMP (left, 0, QUERY_HOLD_MAX_US);
  step.wait_us = MIN (step.hold_us, left) + dispatch->policy.slack_us;
  return step;
}

static DispatchStep
on_refused (Dispatch *dispatch, Reason reason, gint64 retry_after_us)
{
  dispatch->querying_fence = FALSE;
  if (reason == REASON_TARGET_REFUSED)
    note_arrival (dispatch);
  /* The proof covers the attempt's id, and so every earlier use of the ticket. */
  if (dispatch->policy.pinned)
    dispatch->may_have_run = FALSE;
  if (retry_after_us > 0)
    dispatch->retry_after_us = retry_after_us;
  /* Every sidecar would refuse it. */
  if (reason == REASON_QUARANTINED)
    return give_up (dispatch, reason);
  /* A refusal by a sidecar is quick and loads no target, so no pause is needed. */
  return retry (dispatch, reason, reason != REASON_TARGET_REFUSED);
}

static DispatchStep
on_failed (Dispatch *dispatch, Reason reason)
{
  dispatch->may_have_run = TRUE;
  note_arrival (dispatch);
  if (!dispatch->policy.repeatable)
    return answer_caller (dispatch, OUTCOME_UNKNOWN, reason);
  return retry (dispatch, reason, FALSE);
}

/* The target reported a failure; a repeatable request is retried at once. */
static DispatchStep
on_fault (Dispatch *dispatch, Reason reason)
{
  dispatch->has_failure_answer = TRUE;
  note_arrival (dispatch);
  if (!dispatch->policy.repeatable)
    return answer_caller (dispatch, OUTCOME_DONE, reason);
  return retry (dispatch, reason, TRUE);
}

void
dispatch_hedge_sent (Dispatch *dispatch)
{
  dispatch->attempts++;
  dispatch->hedging = TRUE;
}

void
dispatch_hedge_over (Dispatch *dispatch, DispatchReport report, Reason reason)
{
  dispatch->reason = reason;
  dispatch->hedging = FALSE;
  if (report == DISPATCH_UNSENT ||
      (report == DISPATCH_REFUSED && reason != REASON_TARGET_REFUSED))
    return;
  note_arrival (dispatch);
  dispatch->has_failure_answer |= report == DISPATCH_FAULT;
  dispatch->may_have_run |= report != DISPATCH_REFUSED;
}

/* Handles a definite result, from the attempt itself or from the fence. */
static DispatchStep
on_result (Dispatch *dispatch,
           DispatchReport report,
           Reason reason,
           gint64 retry_after_us)
{
  switch (report)
    {
    case DISPATCH_DONE:
      return answer_caller (dispatch, OUTCOME_DONE, REASON_NONE);
    case DISPATCH_FAULT:
      return on_fault (dispatch, reason);
    case DISPATCH_REFUSED:
      return on_refused (dispatch, reason, retry_after_us);
    default:
      return on_failed (dispatch, reason);
    }
}

DispatchStep
dispatch_sent (Dispatch *dispatch,
               DispatchReport report,
               Reason reason,
               gint64 retry_after_us)
{
  switch (report)
    {
    case DISPATCH_UNSENT:
      /* Even if this request was unsent, an earlier one with its ticket may have run. */
      return dispatch->policy.pinned ? query_fence (dispatch)
                                     : on_refused (dispatch, REASON_UNREACHABLE, 0);
    case DISPATCH_STARTED:
    case DISPATCH_LOST:
      if (dispatch->policy.repeatable)
        return on_failed (dispatch, REASON_LOST);
      return query_fence (dispatch);
    default:
      return on_result (dispatch, report, reason, retry_after_us);
    }
}

static DispatchStep
pause_before_query (Dispatch *dispatch)
{
  DispatchStep step = { .kind = DISPATCH_PAUSE };

  step.wait_us = retry_pause_us (dispatch->fence_queries, dispatch->rand);
  if (step.wait_us >= remaining (dispatch) + dispatch->policy.slack_us)
    return answer_caller (dispatch, OUTCOME_UNKNOWN, REASON_LOST);
  return step;
}

DispatchStep
dispatch_queried (Dispatch *dispatch,
                  DispatchReport report,
                  Reason reason,
                  gint64 retry_after_us)
{
  switch (report)
    {
    case DISPATCH_STARTED:
      if (remaining (dispatch) <= 0)
        return answer_caller (dispatch, OUTCOME_UNKNOWN, REASON_TIMEOUT);
      return query_fence (dispatch);
    case DISPATCH_UNSENT:
    case DISPATCH_LOST:
      return pause_before_query (dispatch);
    default:
      return on_result (dispatch, report, reason, retry_after_us);
    }
}

DispatchStep
dispatch_resume (Dispatch *dispatch)
{
  DispatchStep step = { .kind = DISPATCH_CHOOSE };

  if (dispatch->querying_fence)
    return query_fence (dispatch);
  if (remaining (dispatch) <= 0)
    return give_up (dispatch, REASON_DEADLINE);
  return step;
}
