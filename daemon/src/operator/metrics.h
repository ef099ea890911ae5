/*
 * The node's own counters, and a histogram for each tenant and class.
 */
#ifndef DAEMON_METRICS_H
#define DAEMON_METRICS_H

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
  METRIC_TARGETS_ENDED,      /* without a word, under work */
  METRIC_ENDED_REQUESTS,     /* at work there */
  METRIC_QUARANTINED,        /* requests that were found to end targets */
  METRIC_QUARANTINE_REFUSED, /* and were not sent on */
  METRIC_QUARANTINE_TRIALS,
  METRIC_QUARANTINE_NEWS, /* messages that brought some */
  METRIC_RPC_DENIED,
  METRIC_ALLOWANCE_QUESTIONS,
  METRIC_ALLOWANCE_REFUSED,
  METRIC_CALLERS_REFUSED, /* for their access keys */
  METRIC_CALLERS_LET_GO,  /* who took nothing of their answers */
  METRIC_CALLERS_NO_ROOM, /* refused, for what is held for others */
  METRIC_CONFIG_APPLIED,
  METRIC_CONFIG_GENERATION,
  METRIC_HALLS_EVACUATED, /* now */
  METRIC_COLD_REFUSED,    /* for what a cold target bears */
  METRIC_PLATFORM_CALLS,
  METRIC_STORE_ERA,
  METRIC_STORE_PUT_BACK, /* what a store from an older copy had lost */
  METRIC_GOSSIP_SENT_BYTES,
  METRIC_GOSSIP_RECEIVED_BYTES,
  METRIC_LONG_TURNS,
  METRIC_LONGEST_TURN_US, /* of processor time, among the long ones */
  METRIC_COUNT
} Metric;

Metrics *metrics_create (void);
void metrics_destroy (Metrics *metrics);

void metrics_add (Metrics *metrics, Metric metric, guint64 by);
void metrics_set (Metrics *metrics, Metric metric, guint64 value);
/* Sets it where the value is higher than what stands there. */
void metrics_raise (Metrics *metrics, Metric metric, guint64 value);
guint64 metrics_get (const Metrics *metrics, Metric metric);

/* Notes a caller's request: how it came out, and how long it took. */
void metrics_request (Metrics *metrics,
                      const char *tenant,
                      const char *class,
                      Outcome outcome,
                      gint64 took_us);

/* All of it, in the usual text exposition. */
GString *metrics_text (const Metrics *metrics);

#endif
