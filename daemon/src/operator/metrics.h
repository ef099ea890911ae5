/*
 * The node's counters, and a latency histogram for each tenant and class of requests.
 */
#ifndef DAEMON_METRICS_H
#define DAEMON_METRICS_H

#include <core/connection-pool.h>
#include <core/outcome.h>
#include <glib.h>

typedef struct Metrics Metrics;

typedef enum
{
  METRIC_ATTEMPTS,
  METRIC_RETRIES,
  METRIC_HEDGES,
  METRIC_BUDGET_REFUSED,
  METRIC_FENCE_QUESTIONS,
  METRIC_TRIALS,
  METRIC_CANCELS,
  METRIC_ABANDONED,
  METRIC_SIDECAR_STARTED,
  METRIC_SIDECAR_REFUSED,
  METRIC_SIDECAR_FAILED,
  METRIC_TARGET_REFUSED,
  METRIC_TARGETS_ENDED,      /* crashes while requests ran */
  METRIC_ENDED_REQUESTS,     /* requests that ran at crashing targets */
  METRIC_QUARANTINED,        /* requests put in quarantine for crashing targets */
  METRIC_QUARANTINE_REFUSED, /* requests not sent because of it */
  METRIC_QUARANTINE_TRIALS,
  METRIC_QUARANTINE_NEWS, /* messages that brought new entries */
  METRIC_RPC_DENIED,
  METRIC_ALLOWANCE_QUESTIONS,
  METRIC_ALLOWANCE_REFUSED,
  METRIC_CALLERS_REFUSED,   /* because of their access keys */
  METRIC_CALLERS_LET_GO,    /* closed for not reading their answers */
  METRIC_CALLERS_NO_ROOM,   /* refused, because the memory for requests is used up */
  METRIC_CALLERS_DISPLACED, /* connections without a request, closed for new ones */
  METRIC_SIDECAR_NO_MEMORY, /* attempts refused for the same reason */
  METRIC_CONFIG_APPLIED,
  METRIC_CONFIG_GENERATION,
  METRIC_CONFIG_READS_LATE,  /* heads and parts that took long or failed */
  METRIC_HALLS_EVACUATED,    /* current number */
  METRIC_COLD_REFUSED,       /* because a cold target is at its limit */
  METRIC_NAMED_RATE_STARTS,  /* at targets that have named a rate */
  METRIC_NAMED_RATE_REFUSED, /* because the rate that a target has named is used up */
  METRIC_CONNECTIONS_OPENED, /* to targets */
  METRIC_CONNECTIONS_REUSED,
  METRIC_CONNECTIONS_CLOSED, /* kept ones: one counter for each ConnectionCloseReason */
  METRIC_CONNECTIONS_CLOSED_LAST =
      METRIC_CONNECTIONS_CLOSED + CONNECTION_CLOSE_REASONS - 1,
  METRIC_PLATFORM_CALLS,
  METRIC_WATCHES_UNANSWERED,
  METRIC_WATCHES_DELEGATED,
  METRIC_STORE_ERA,
  METRIC_STORE_PUT_BACK, /* records written again that a restored store had lost */
  METRIC_GOSSIP_SENT_BYTES,
  METRIC_GOSSIP_RECEIVED_BYTES,
  METRIC_LONG_TURNS,
  METRIC_LONGEST_TURN_US, /* of the long turns, in processor time */
  METRIC_COUNT
} Metric;

Metrics *metrics_create (void);
void metrics_destroy (Metrics *metrics);

void metrics_add (Metrics *metrics, Metric metric, guint64 by);
void metrics_set (Metrics *metrics, Metric metric, guint64 value);
/* Raises a metric to `value`, unless it is higher already. */
void metrics_raise (Metrics *metrics, Metric metric, guint64 value);
guint64 metrics_get (const Metrics *metrics, Metric metric);

/* Records the outcome and the duration of a caller's request. */
void metrics_note_request (Metrics *metrics,
                           const char *tenant,
                           const char *class,
                           Outcome outcome,
                           gint64 took_us);

/* Returns all metrics in the Prometheus text format; the caller frees them. */
GString *metrics_text (const Metrics *metrics);

#endif
