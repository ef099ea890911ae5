#include "exchange-private.h"

#include "adapter.h"
#include "credentials.h"
#include "log.h"

/* Returns the fields of the request from which fingerprints are made, borrowed. They
   match the ones that the sidecar of any target reads in the attempt. */
static FingerprintInput
fingerprint_input (const Exchange *exchange)
{
  const Dialect *dialect = exchange->owner->node->adapter->dialect;
  const HttpRequest *request = exchange->request;
  const GByteArray *body = http_request_body (request);
  FingerprintInput input = { .service = exchange->service,
                             .method = http_request_method (request),
                             .host = http_request_header (request, "Host"),
                             .path = http_request_target (request),
                             .body = body->data,
                             .body_len = body->len };

  if (exchange->account)
    input.account = exchange->account->id;
  else if (dialect->forwards (CREDENTIALS_HEADER, exchange->key_checked))
    input.account = http_request_header (request, CREDENTIALS_HEADER);
  return input;
}

QuarantineVerdict
exchange_quarantine (Exchange *exchange)
{
  QuarantineNode *quarantine = exchange->owner->node->quarantine;
  QuarantineVerdict verdict = { QUARANTINE_FREE, 0 };
  FingerprintInput input;

  if (!quarantine_node_watches (quarantine, exchange->service))
    return verdict;
  input = fingerprint_input (exchange);
  return quarantine_node_check (quarantine, &exchange->print, &input);
}

static void
log_refusal (const Exchange *exchange, const QuarantineVerdict *verdict)
{
  g_autofree char *request =
      fingerprint_text (&exchange->print.prints.of[exchange->print.worst]);
  g_autofree char *arrivals =
      g_strdup_printf ("%u", dispatch_arrivals (exchange->dispatch));
  g_autofree char *retry =
      g_strdup_printf ("%" G_GINT64_FORMAT, verdict->retry_after_us / MS_US);

  log_event (G_LOG_LEVEL_INFO, "held-back", "ID", exchange->id, "REQUEST", request,
             "STATE", verdict->state == QUARANTINE_HELD ? "held" : "doubted", "ARRIVALS",
             arrivals, "RETRY_AFTER_MS", retry, NULL);
}

gboolean
exchange_refuse_quarantined (Exchange *exchange, const QuarantineVerdict *verdict)
{
  gboolean held = verdict->state == QUARANTINE_HELD;
  /* Two or more targets have crashed while they ran such requests, and a target may have
     received this one. Whether this one crashed a target will be known shortly, and the
     caller may retry then. */
  gboolean doubted =
      verdict->state == QUARANTINE_DOUBTED && dispatch_arrivals (exchange->dispatch) > 0;
  DispatchStep step;

  if (!held && !doubted)
    return FALSE;
  metrics_add (exchange->owner->node->metrics, METRIC_QUARANTINE_REFUSED, 1);
  log_refusal (exchange, verdict);
  step = dispatch_quarantined (exchange->dispatch, verdict->retry_after_us);
  exchange_carry_out (exchange, &step);
  return TRUE;
}

/* Whether a target is fit for a trial; the result of a sick one would prove nothing. */
static gboolean
is_fit_for_trial (const Exchange *exchange, const Service *service, const Target *target)
{
  TargetStatus status =
      balancer_status (exchange->owner->node->balancer, service, target);

  return target->state == TARGET_SERVING && status.alive && status.path_open &&
         !status.ejected && !status.report.draining && status.report.severity == 0;
}

const Target *
exchange_trial_target (const Exchange *exchange, const Service *service)
{
  /* The last print leaves the query out, so that all requests held back by their path
     alone go to the same target. */
  const Fingerprints *prints = &exchange->print.prints;
  guint64 head = prints->of[prints->count - 1].head;
  const Target *best = NULL;
  guint best_rank = 0;

  for (guint i = 0; i < service->targets->len; i++)
    {
      const Target *target = g_ptr_array_index (service->targets, i);
      guint rank = (g_str_hash (target->name) ^ (guint)head) * 2654435761u;

      if ((best && rank <= best_rank) || !is_fit_for_trial (exchange, service, target))
        continue;
      best = target;
      best_rank = rank;
    }
  return best;
}
