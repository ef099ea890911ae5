#include "sidecar-private.h"

LatencyFit
submission_latency_fit (const Submission *submission)
{
  LatencyFit siblings = latency_fit_unpack (submission->args.sibling_fit);

  if (latency_fit_is_known (&siblings))
    return siblings;
  return latency_stats_fit (submission->sidecar->latencies, submission->args.route);
}

/* Returns whether the target has answered no request since this one was sent. */
static gboolean
is_silent (const Submission *submission)
{
  return submission->target->answered_us < submission->started_us;
}

static void
observe (const Submission *submission, gboolean failed, gboolean broken, gint64 took_us)
{
  SidecarTarget *target = submission->target;
  gint64 now = clock_now (submission->sidecar->node->clock);
  LatencyFit fit = submission_latency_fit (submission);
  DetectorSample sample = { failed, broken, took_us, (guint)latency_fit_mean_us (&fit),
                            submission->args.sibling_failures_ppm };

  if (failed)
    proof_note_failure (&target->proof);
  /* The detector ignores failures of requests sent before the target became sick. They
     end one after the other and must not postpone the next trial. */
  if (!detector_observe (target->detector, &sample))
    return;
  /* The next trial may follow a good answer at once, and a failure after a backoff. */
  target->next_trial_us = failed
                              ? now + (SIDECAR_TRIAL_FIRST_US
                                       << MIN (detector_failed_trials (target->detector),
                                               SIDECAR_TRIAL_DOUBLINGS_MAX))
                              : now;
}

/* Returns whether a time-out is the route's fault: the target answers other requests
   meanwhile. Some routes' requests run longer than the route allows. */
static gboolean
is_slow_route (const Submission *submission, const sw_submit_res *res)
{
  return res->reason == SW_REASON_TIMEOUT && !is_silent (submission);
}

void
submission_note_end (const Submission *submission,
                     sw_submit_res *res,
                     const HttpResult *result,
                     gboolean failed)
{
  Sidecar *sidecar = submission->sidecar;
  LatencyFit fit;

  if (!submission->overdue && !is_slow_route (submission, res) &&
      res->reason != SW_REASON_TARGET_REFUSED)
    observe (submission, failed, res->result == SW_FAILED, result->took_us);
  /* An error answer also shows that the target responds. Only good answers count for the
     route's latency, because failures are often quick. */
  if (res->result == SW_DONE)
    submission->target->answered_us = clock_now (sidecar->node->clock);
  if (failed)
    return;
  latency_stats_add (sidecar->latencies, submission->args.route, result->took_us);
  fit = latency_stats_fit (sidecar->latencies, submission->args.route);
  res->route_fit = latency_fit_pack (&fit);
}

/* Counts an overdue request as a failure of its target, long before the deadline. */
static void
note_overdue (Submission *submission, gint64 age)
{
  submission->overdue = TRUE;
  observe (submission, TRUE, is_silent (submission), age);
}

void
submission_check_overdue (Submission *submission, gint64 now)
{
  gint64 age = now - submission->started_us;
  LatencyFit fit = submission_latency_fit (submission);

  if (submission->running && !submission->overdue && latency_fit_is_overdue (&fit, age))
    note_overdue (submission, age);
}

void
submission_note_abandoned (Submission *submission)
{
  gint64 age = clock_now (submission->sidecar->node->clock) - submission->started_us;
  LatencyFit fit = submission_latency_fit (submission);

  if (!submission->overdue && latency_fit_is_late (&fit, age))
    note_overdue (submission, age);
}
