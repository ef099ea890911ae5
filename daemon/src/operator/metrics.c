#include "metrics.h"

#include <core/histogram.h>

typedef struct
{
  char *tenant;
  char *class;
  guint64 outcomes[OUTCOME_COUNT];
  Histogram *latency;
} ClassStats;

struct Metrics
{
  guint64 counters[METRIC_COUNT];
  GHashTable *classes; /* "tenant class" → ClassStats */
};

static const char *const counter_names[METRIC_COUNT] = {
  "switchmill_attempts_total",
  "switchmill_retries_total",
  "switchmill_hedges_total",
  "switchmill_budget_refused_total",
  "switchmill_fence_questions_total",
  "switchmill_trials_total",
  "switchmill_cancels_total",
  "switchmill_abandoned_total",
  "switchmill_sidecar_started_total",
  "switchmill_sidecar_refused_total",
  "switchmill_sidecar_failed_total",
  "switchmill_target_refused_total",
  "switchmill_targets_ended_total",
  "switchmill_ended_requests_total",
  "switchmill_quarantined_total",
  "switchmill_quarantine_refused_total",
  "switchmill_quarantine_trials_total",
  "switchmill_quarantine_news_total",
  "switchmill_rpc_denied_total",
  "switchmill_allowance_questions_total",
  "switchmill_allowance_refused_total",
  "switchmill_callers_refused_total",
  "switchmill_callers_let_go_total",
  "switchmill_callers_no_room_total",
  "switchmill_callers_displaced_total",
  "switchmill_sidecar_no_room_total",
  "switchmill_config_applied_total",
  "switchmill_config_generation",
  "switchmill_config_reads_late_total",
  "switchmill_halls_evacuated",
  "switchmill_cold_refused_total",
  "switchmill_named_rate_starts_total",
  "switchmill_named_rate_refused_total",
  "switchmill_target_connections_opened_total",
  "switchmill_target_connections_reused_total",
  "switchmill_target_connections_closed_by_target_total",
  "switchmill_target_connections_surplus_total",
  "switchmill_target_connections_rested_total",
  "switchmill_target_connections_not_needed_total",
  "switchmill_target_connections_unfit_total",
  "switchmill_target_connections_died_total",
  "switchmill_target_connections_target_gone_total",
  "switchmill_platform_calls_total",
  "switchmill_watches_unanswered_total",
  "switchmill_watches_delegated_total",
  "switchmill_store_era",
  "switchmill_store_put_back_total",
  "switchmill_gossip_sent_bytes_total",
  "switchmill_gossip_received_bytes_total",
  "switchmill_loop_long_turns_total",
  "switchmill_loop_longest_turn_cpu_microseconds",
};

/* Upper bounds of the histogram buckets in the metrics. */
static const gint64 bounds_us[] = { 500,     1000,    2000,    5000,    10000,
                                    25000,   50000,   100000,  250000,  500000,
                                    1000000, 2500000, 5000000, 30000000 };

static void
stats_free (gpointer data)
{
  ClassStats *stats = data;

  g_free (stats->tenant);
  g_free (stats->class);
  histogram_destroy (stats->latency);
  g_free (stats);
}

Metrics *
metrics_create (void)
{
  Metrics *metrics = g_new0 (Metrics, 1);

  metrics->classes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, stats_free);
  return metrics;
}

void
metrics_destroy (Metrics *metrics)
{
  if (!metrics)
    return;
  g_hash_table_unref (metrics->classes);
  g_free (metrics);
}

void
metrics_add (Metrics *metrics, Metric metric, guint64 by)
{
  metrics->counters[metric] += by;
}

void
metrics_set (Metrics *metrics, Metric metric, guint64 value)
{
  metrics->counters[metric] = value;
}

void
metrics_raise (Metrics *metrics, Metric metric, guint64 value)
{
  metrics->counters[metric] = MAX (metrics->counters[metric], value);
}

guint64
metrics_get (const Metrics *metrics, Metric metric)
{
  return metrics->counters[metric];
}

static ClassStats *
ensure_class_stats (Metrics *metrics, const char *tenant, const char *class)
{
  g_autofree char *key = g_strconcat (tenant, " ", class, NULL);
  ClassStats *stats = g_hash_table_lookup (metrics->classes, key);

  if (stats)
    return stats;
  stats = g_new0 (ClassStats, 1);
  stats->tenant = g_strdup (tenant);
  stats->class = g_strdup (class);
  stats->latency = histogram_create ();
  g_hash_table_insert (metrics->classes, g_steal_pointer (&key), stats);
  return stats;
}

void
metrics_note_request (Metrics *metrics,
                      const char *tenant,
                      const char *class,
                      Outcome outcome,
                      gint64 took_us)
{
  ClassStats *stats = ensure_class_stats (metrics, tenant, class);

  stats->outcomes[outcome]++;
  histogram_add (stats->latency, took_us);
}

static void
append_class (GString *text, const ClassStats *stats)
{
  g_autofree char *labels =
      g_strdup_printf ("tenant=\"%s\",class=\"%s\"", stats->tenant, stats->class);

  for (guint i = 0; i < OUTCOME_COUNT; i++)
    g_string_append_printf (
        text, "switchmill_requests_total{%s,outcome=\"%s\"} %" G_GUINT64_FORMAT "\n",
        labels, outcome_name (i), stats->outcomes[i]);
  for (guint i = 0; i < G_N_ELEMENTS (bounds_us); i++)
    g_string_append_printf (
        text, "switchmill_request_seconds_bucket{%s,le=\"%g\"} %" G_GUINT64_FORMAT "\n",
        labels, (double)bounds_us[i] / 1e6,
        histogram_count_below (stats->latency, bounds_us[i]));
  g_string_append_printf (
      text, "switchmill_request_seconds_bucket{%s,le=\"+Inf\"} %" G_GUINT64_FORMAT "\n",
      labels, histogram_count (stats->latency));
  g_string_append_printf (text, "switchmill_request_seconds_sum{%s} %g\n", labels,
                          (double)histogram_sum_us (stats->latency) / 1e6);
  g_string_append_printf (text,
                          "switchmill_request_seconds_count{%s} %" G_GUINT64_FORMAT "\n",
                          labels, histogram_count (stats->latency));
}

static const char *
kind_name (Metric metric)
{
  return metric == METRIC_CONFIG_GENERATION || metric == METRIC_LONGEST_TURN_US
             ? "gauge"
             : "counter";
}

GString *
metrics_text (const Metrics *metrics)
{
  GString *text = g_string_new (NULL);
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < METRIC_COUNT; i++)
    g_string_append_printf (text, "# TYPE %s %s\n%s %" G_GUINT64_FORMAT "\n",
                            counter_names[i], kind_name (i), counter_names[i],
                            metrics->counters[i]);
  g_string_append (text, "# TYPE switchmill_requests_total counter\n"
                         "# TYPE switchmill_request_seconds histogram\n");
  g_hash_table_iter_init (&iter, metrics->classes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    append_class (text, value);
  return text;
}
