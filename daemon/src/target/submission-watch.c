#include "sidecar-private.h"

LatencyFit
submission_fit (const Submission *submission)
{
  LatencyFit siblings = latency_fit_unpack (submission->args.sibling_fit);

  if (latency_fit_is_known (&siblings))
    return siblings;
  return latency_book_fit (submission->sidecar->latencies, submission->args.route);
}

/* Whether the target has answered nothing since this was sent to it. */
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
  LatencyFit fit = submission_fit (submission);
  DetectorSample sample = { failed, broken, took_us, (guint)latency_fit_mean_us (&fit),
                            submission->args.sibling_failures_ppm };

  if (failed)
    proof_note_failure (&target->proof);
  /* Old work that hung ends one piece after the other: it must not put trials off. */
  if (!detector_observe (target->detector, &sample))
    return;
  /* The next trial counts from this end: at once after a good one. */
  target->next_trial_us = failed
                              ? now + (SIDECAR_TRIAL_FIRST_US
                                       << MIN (detector_failed_trials (target->detector),
                                               SIDECAR_TRIAL_DOUBLINGS_MAX))
                              : now;
}

/* Of a request that takes too long while others are answered, the target is not to blame:
   some routes' work outlasts what the route allows. */
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
  /* An answer that says the work failed shows all the same that the target answers. How
     long it takes when it is well is for the others to tell: failing is often quick. */
  if (res->result == SW_DONE)
    submission->target->answered_us = clock_now (sidecar->node->clock);
  if (failed)
    return;
  latency_book_add (sidecar->latencies, submission->args.route, result->took_us);
  fit = latency_book_fit (sidecar->latencies, submission->args.route);
  res->route_fit = latency_fit_pack (&fit);
}

/* A request that takes too long speaks against its target long before its deadline. */
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
  LatencyFit fit = submission_fit (submission);

  if (submission->running && !submission->overdue && latency_fit_is_overdue (&fit, age))
    note_overdue (submission, age);
}

void
submission_note_given_up (Submission *submission)
{
  gint64 age = clock_now (submission->sidecar->node->clock) - submission->started_us;
  LatencyFit fit = submission_fit (submission);

  if (!submission->overdue && latency_fit_is_late (&fit, age))
    note_overdue (submission, age);
}
