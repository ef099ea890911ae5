#include "account-stats.h"

#include <core/histogram.h>
#include <core/json-write.h>

/* Accounts that are counted by name. With 1,200 nodes and 44,000 accounts, a node serves
   some hundred at a time; at twenty lines of metrics for each account this limit gives
   64 kB. */
#define NAMED_ACCOUNTS_MAX 32u
/* How often the weights of the named accounts are halved, so that idle ones make room. */
#define DECAY_INTERVAL_US (10 * SECOND_US)

typedef struct
{
  guint64 events[ACCOUNT_EVENTS];
  Histogram *took;
  guint weight; /* recent requests; halved every DECAY_INTERVAL_US */
} Counts;

struct AccountStats
{
  Clock *clock;
  GHashTable *named; /* account → Counts */
  Counts *others;
  gint64 last_decay_us;
};

static const char *const event_names[ACCOUNT_EVENTS] = { "done", "not-run", "unknown",
                                                         "exceeded",
                                                         "allowance-unknown" };

/* Upper bounds of the histogram buckets in the metrics. */
static const gint64 bounds_us[] = { 50000, 100000, 250000, 500000, 1000000, 5000000 };

static Counts *
counts_create (void)
{
  Counts *counts = g_new0 (Counts, 1);

  counts->took = histogram_create ();
  return counts;
}

static void
counts_free (gpointer data)
{
  Counts *counts = data;

  histogram_destroy (counts->took);
  g_free (counts);
}

AccountStats *
account_stats_create (Clock *clock)
{
  AccountStats *stats = g_new0 (AccountStats, 1);

  stats->clock = clock;
  stats->named = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, counts_free);
  stats->others = counts_create ();
  stats->last_decay_us = clock_now (clock);
  return stats;
}

void
account_stats_destroy (AccountStats *stats)
{
  if (!stats)
    return;
  g_hash_table_unref (stats->named);
  counts_free (stats->others);
  g_free (stats);
}

/* Removes idle accounts. Their counts are added to the others', their histograms are
   lost. */
static void
evict_idle_accounts (AccountStats *stats)
{
  gint64 now = clock_now (stats->clock);
  GHashTableIter iter;
  gpointer value;

  if (now - stats->last_decay_us < DECAY_INTERVAL_US)
    return;
  stats->last_decay_us = now;
  g_hash_table_iter_init (&iter, stats->named);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Counts *counts = value;

      counts->weight /= 2;
      if (counts->weight > 0)
        continue;
      for (guint i = 0; i < ACCOUNT_EVENTS; i++)
        stats->others->events[i] += counts->events[i];
      g_hash_table_iter_remove (&iter);
    }
}

static Counts *
ensure_counts (AccountStats *stats, const char *account)
{
  Counts *counts = g_hash_table_lookup (stats->named, account);

  if (counts)
    return counts;
  if (g_hash_table_size (stats->named) >= NAMED_ACCOUNTS_MAX)
    return stats->others;
  counts = counts_create ();
  g_hash_table_insert (stats->named, g_strdup (account), counts);
  return counts;
}

void
account_stats_note (AccountStats *stats,
                    const char *account,
                    AccountEvent event,
                    gint64 took_us)
{
  Counts *counts;

  evict_idle_accounts (stats);
  counts = ensure_counts (stats, account);
  counts->events[event]++;
  counts->weight++;
  histogram_add (counts->took, took_us);
}

AccountEvent
account_event_from_outcome (Outcome outcome)
{
  switch (outcome)
    {
    case OUTCOME_DONE:
      return ACCOUNT_DONE;
    case OUTCOME_NOT_RUN:
      return ACCOUNT_NOT_RUN;
    default:
      return ACCOUNT_UNKNOWN;
    }
}

static void
append_counts (GString *text, const char *account, const Counts *counts)
{
  for (guint i = 0; i < ACCOUNT_EVENTS; i++)
    g_string_append_printf (text,
                            "switchmill_account_requests_total{account=\"%s\",outcome="
                            "\"%s\"} %" G_GUINT64_FORMAT "\n",
                            account, event_names[i], counts->events[i]);
  for (guint i = 0; i < G_N_ELEMENTS (bounds_us); i++)
    g_string_append_printf (text,
                            "switchmill_account_request_seconds_bucket{account=\"%s\",le="
                            "\"%g\"} %" G_GUINT64_FORMAT "\n",
                            account, (double)bounds_us[i] / SECOND_US,
                            histogram_count_below (counts->took, bounds_us[i]));
  g_string_append_printf (text,
                          "switchmill_account_request_seconds_bucket{account=\"%s\",le="
                          "\"+Inf\"} %" G_GUINT64_FORMAT "\n",
                          account, histogram_count (counts->took));
  g_string_append_printf (
      text,
      "switchmill_account_request_seconds_sum{account=\"%s\"} %g\n"
      "switchmill_account_request_seconds_count{account=\"%s\"} %" G_GUINT64_FORMAT "\n",
      account, (double)histogram_sum_us (counts->took) / SECOND_US, account,
      histogram_count (counts->took));
}

void
account_stats_append (const AccountStats *stats, GString *text)
{
  GHashTableIter iter;
  gpointer account;
  gpointer counts;

  g_string_append (text, "# TYPE switchmill_account_requests_total counter\n"
                         "# TYPE switchmill_account_request_seconds histogram\n");
  g_hash_table_iter_init (&iter, stats->named);
  while (g_hash_table_iter_next (&iter, &account, &counts))
    append_counts (text, account, counts);
  append_counts (text, "", stats->others);
}

void
account_stats_write (const AccountStats *stats, const char *account, JsonBuilder *builder)
{
  const Counts *counts = g_hash_table_lookup (stats->named, account);

  json_write_bool (builder, "counted", counts != NULL);
  for (guint i = 0; counts && i < ACCOUNT_EVENTS; i++)
    json_write_int (builder, event_names[i], (gint64)counts->events[i]);
}

void
account_stats_names (const AccountStats *stats, GPtrArray *names)
{
  GHashTableIter iter;
  gpointer account;

  g_hash_table_iter_init (&iter, stats->named);
  while (g_hash_table_iter_next (&iter, &account, NULL))
    g_ptr_array_add (names, account);
}
