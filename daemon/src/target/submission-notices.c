#include "sidecar-private.h"

#include <core/http-status.h>

#include "adapter.h"
#include "attempt-id.h"
#include "log.h"
#include "rate-wire.h"
#include "target-notices.h"

/* Interval between two log lines about malformed notices of one target. */
#define MALFORMED_LOG_US (60 * SECOND_US)
#define MALFORMED_TEXT_MAX 64

/* Returns what to log about a change; `source` is who or what has said so. */
static char *
rate_detail (const SidecarTarget *target, NamedRateChange change, const char *source)
{
  const LimitedStarts *starts = &target->limited_starts;

  if (change != NAMED_RATE_ENDED)
    return g_strdup_printf ("%.3f a second, by %s", named_rate_per_s (target->named_rate),
                            source);
  return g_strdup_printf ("%.3f a second for %.3f s, %u starts of which %u trials and %u "
                          "repeats, by %s",
                          named_rate_per_s (target->named_rate),
                          (double)named_rate_age_us (target->named_rate) / SECOND_US,
                          starts->count, starts->trials, starts->repeats, source);
}

/* Puts a change of the named rate into force. When the target takes less than before,
   what waits is refused: it was queued for an earlier start. */
static void
apply_rate_change (Sidecar *sidecar,
                   SidecarTarget *target,
                   NamedRateChange change,
                   const char *source)
{
  static const char *const events[] = {
    [NAMED_RATE_BEGUN] = "target-rate-named",
    [NAMED_RATE_LOWERED] = "target-rate-changed",
    [NAMED_RATE_RAISED] = "target-rate-changed",
    [NAMED_RATE_ENDED] = "target-rate-ended",
  };
  g_autofree char *detail = rate_detail (target, change, source);

  events_add (sidecar->node->events, events[change], target->name, detail);
  if (change == NAMED_RATE_ENDED)
    {
      start_limit_end_named_rate (target->start_limit);
      return;
    }
  start_limit_set_named_rate (target->start_limit, named_rate_per_s (target->named_rate));
  if (change == NAMED_RATE_RAISED)
    return;
  if (change == NAMED_RATE_BEGUN)
    target->limited_starts = (LimitedStarts){ 0 };
  sidecar_refuse_queued (sidecar, target, SW_REASON_RATE_LIMITED);
}

void
sidecar_note_remembered_rate (Sidecar *sidecar,
                              SidecarTarget *target,
                              const sw_submit_args *args)
{
  NamedRateChange change;
  double per_s;

  if (rate_wire_unpack (args->rate_milli, &per_s) != NAMED_RATE_IN_FORCE)
    return;
  change = named_rate_note_remembered (target->named_rate, per_s);
  if (change != NAMED_RATE_UNCHANGED)
    apply_rate_change (sidecar, target, change, args->attempt.node);
}

static void
note_rate (const Submission *submission, const RateNotice *notice)
{
  SidecarTarget *target = submission->target;
  NamedRateChange change =
      named_rate_note_answer (target->named_rate, notice, submission->started_us);
  g_autofree char *attempt = NULL;

  if (change == NAMED_RATE_UNCHANGED)
    return;
  attempt = attempt_id_text (&submission->args.attempt);
  apply_rate_change (submission->sidecar, target, change, attempt);
}

static void
note_leaving (const Submission *submission)
{
  SidecarTarget *target = submission->target;
  g_autofree char *attempt = NULL;

  if (target->announced_leaving)
    return;
  target->announced_leaving = TRUE;
  attempt = attempt_id_text (&submission->args.attempt);
  events_add (submission->sidecar->node->events, "target-announces-leaving", target->name,
              attempt);
  sidecar_refuse_queued (submission->sidecar, target, SW_REASON_DRAINING);
}

static void
log_malformed (const Submission *submission, const char *text)
{
  SidecarTarget *target = submission->target;
  gint64 now = clock_now (submission->sidecar->node->clock);
  g_autofree char *shown = NULL;

  if (target->malformed_logged_us > 0 &&
      now - target->malformed_logged_us < MALFORMED_LOG_US)
    return;
  target->malformed_logged_us = now;
  shown = g_strndup (text, MALFORMED_TEXT_MAX);
  log_event (G_LOG_LEVEL_WARNING, "target-notice-bad", "TARGET", target->name, "DETAIL",
             shown, NULL);
}

/* Returns whether the answer is whole and its own headers show that it belongs to this
   request; only then does a missing header say anything. */
static gboolean
is_own_answer (const HttpResult *result, const sw_submit_res *res)
{
  return result->outcome == HTTP_CALL_OK && res->reason != SW_REASON_CROSSED;
}

void
submission_note_notices (const Submission *submission,
                         const HttpResult *result,
                         const sw_submit_res *res)
{
  const Dialect *dialect = submission->sidecar->node->adapter->dialect;
  TargetNotices notices;

  /* Another start at the same address answers so. */
  if (result->status == HTTP_MISDIRECTED)
    return;
  notices = target_notices_read (dialect, result->headers);
  if (notices.malformed)
    log_malformed (submission, notices.malformed);
  if (notices.rate.kind != RATE_NOTICE_ABSENT || is_own_answer (result, res))
    note_rate (submission, &notices.rate);
  if (notices.leaving)
    note_leaving (submission);
}

void
submission_count_limited_start (const Submission *submission)
{
  SidecarTarget *target = submission->target;

  if (!named_rate_is_in_force (target->named_rate))
    return;
  target->limited_starts.count++;
  target->limited_starts.trials += submission->args.trial;
  target->limited_starts.repeats += submission->args.retry == RETRY_FURTHER_ATTEMPT;
  metrics_add (submission->sidecar->node->metrics, METRIC_NAMED_RATE_STARTS, 1);
}
