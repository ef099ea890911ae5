#include "request-log.h"

#include <core/http-status.h>

#include "attempt-id.h"
#include "log.h"

/* Returns NULL while the attempt has no identifier, which it gets once a session with its
   node is open. */
static char *
own_attempt_id_text (const Attempt *attempt)
{
  sw_attempt words = { 0 };

  if (!attempt || !attempt->id.node)
    return NULL;
  words.node = attempt->id.node;
  words.incarnation = attempt->id.incarnation;
  words.counter = attempt->id.counter;
  return attempt_id_text (&words);
}

static const char *
yes_no (gboolean value)
{
  return value ? "yes" : "no";
}

void
request_log_attempt (const Attempt *attempt)
{
  const Exchange *exchange = attempt->exchange;
  g_autofree char *name = own_attempt_id_text (attempt);
  g_autofree char *number =
      g_strdup_printf ("%u", dispatch_attempts (exchange->dispatch));
  g_autofree char *left =
      g_strdup_printf ("%" G_GINT64_FORMAT, attempt->remaining_us / MS_US);
  g_autofree char *rank = g_strdup_printf ("%u", exchange->priority);
  g_autofree char *generation =
      g_strdup_printf ("%" G_GUINT64_FORMAT, snapshot_generation (attempt->targets));

  log_event (G_LOG_LEVEL_INFO, "attempt", "ID", exchange->id, "ATTEMPT", name, "NUMBER",
             number, "SERVICE", exchange->service, "TARGET", attempt->target->name, "VM",
             attempt->target->vm, "LEFT_MS", left, "RANK", rank, "GENERATION", generation,
             "TRIAL", yes_no (attempt->trial), "KNOWN_SICK", yes_no (attempt->even_sick),
             "MAY_QUEUE", yes_no (attempt->may_queue), "OWN_HALL",
             yes_no (attempt->local), NULL);
}

/* The result comes from another node, which may be of a later version. */
static const char *
result_name (sw_result result)
{
  static const char *const names[] = { "done",    "refused", "failed",
                                       "started", "unknown", "held" };

  return (guint)result < G_N_ELEMENTS (names) ? names[result] : "bad";
}

void
request_log_attempt_end (const Attempt *attempt,
                         RpcOutcome outcome,
                         const sw_submit_res *res)
{
  static const char *const outcomes[] = { "answered", "denied",  "unsent",
                                          "lost",     "timeout", "bad" };
  gboolean answered = outcome == RPC_OK && res;
  g_autofree char *name = NULL;
  g_autofree char *in_use = NULL;
  g_autofree char *queued = NULL;
  g_autofree char *wait = NULL;

  /* request_log_end reports the target's answer. */
  if (answered && res->result == SW_DONE)
    return;
  name = own_attempt_id_text (attempt);
  if (answered)
    {
      in_use = g_strdup_printf ("%u", res->state.in_use);
      queued = g_strdup_printf ("%u", res->state.queued);
      wait = g_strdup_printf ("%u", res->retry_after_ms);
    }
  log_event (G_LOG_LEVEL_INFO, "attempt-end", "ID", attempt->exchange->id, "ATTEMPT",
             name, "TARGET", attempt->target->name, "CALL", outcomes[outcome], "RESULT",
             answered ? result_name (res->result) : NULL, "REASON",
             answered ? reason_name ((Reason)res->reason) : NULL, "IN_USE", in_use,
             "QUEUED", queued, "RETRY_AFTER_MS", wait, NULL);
}

void
request_log_attempt_cancel (const Attempt *attempt, const char *why)
{
  g_autofree char *name = own_attempt_id_text (attempt);

  log_event (G_LOG_LEVEL_INFO, "attempt-cancel", "ID", attempt->exchange->id, "ATTEMPT",
             name, "TARGET", attempt->target->name, "WHY", why, NULL);
}

/* Returns the time from the node's stop order until `then_us` in milliseconds, negative
   before the order; NULL if the node is not stopping. */
static char *
stop_age_text (const Node *node, gint64 then_us)
{
  if (!node->stopping)
    return NULL;
  return g_strdup_printf ("%" G_GINT64_FORMAT, (then_us - node->stop_began_us) / MS_US);
}

void
request_log_caller_gone (const Exchange *exchange)
{
  log_event (G_LOG_LEVEL_INFO, "caller-gone", "ID", exchange->id, "SENT",
             yes_no (exchange->attempt && exchange->attempt->submitted), NULL);
}

void
request_log_end (const Exchange *exchange, const DispatchStep *step, gint64 took_us)
{
  gboolean done = step->outcome == OUTCOME_DONE;
  g_autofree char *attempt = own_attempt_id_text (exchange->attempt);
  g_autofree char *took = g_strdup_printf ("%" G_GINT64_FORMAT, took_us);
  /* The dispatch does not count the attempt with a good answer as an arrival. */
  guint answered = done && exchange->answer.status < HTTP_SERVER_ERROR;
  g_autofree char *refusals =
      g_strdup_printf ("%u", dispatch_refusals (exchange->dispatch) - answered);
  g_autofree char *arrivals =
      g_strdup_printf ("%u", dispatch_arrivals (exchange->dispatch) + answered);
  const Node *node = exchange->owner->node;
  g_autofree char *came = stop_age_text (node, exchange->began_us);
  g_autofree char *answered_at = stop_age_text (node, clock_now (node->clock));
  g_autofree char *status = done ? g_strdup_printf ("%u", exchange->answer.status) : NULL;

  gboolean late =
      exchange->route->objective_us > 0 && took_us > exchange->route->objective_us;

  log_event (G_LOG_LEVEL_INFO, done ? "request" : "request-failed", "ID", exchange->id,
             "ATTEMPT", attempt, "SERVICE", exchange->service, "CLASS",
             exchange->route->class, "OUTCOME", outcome_name (step->outcome), "REASON",
             reason_name (step->reason), "STATUS", status, "TARGET",
             exchange->attempt && exchange->attempt->target
                 ? exchange->attempt->target->name
                 : NULL,
             "REFUSALS", refusals, "ARRIVALS", arrivals, "TOOK_US", took, "LATE",
             done ? yes_no (late) : NULL, "STOP_MS_AT_ARRIVAL", came, "STOP_MS",
             answered_at, NULL);
}
