/*
 * Outcomes and latencies of requests per client account at this node. The busiest
 * accounts are counted by name and the rest together, so that neither memory nor the size
 * of the metrics grows with the number of accounts.
 */
#ifndef DAEMON_ACCOUNT_STATS_H
#define DAEMON_ACCOUNT_STATS_H

#include <core/clock.h>
#include <core/outcome.h>
#include <json-glib/json-glib.h>

typedef struct AccountStats AccountStats;

typedef enum
{
  ACCOUNT_DONE,
  ACCOUNT_NOT_RUN,
  ACCOUNT_UNKNOWN,           /* unknown whether the request ran */
  ACCOUNT_EXCEEDED,          /* refused: more than the allowance */
  ACCOUNT_ALLOWANCE_UNKNOWN, /* refused: no lender of the allowance answered in time */
  ACCOUNT_EVENTS
} AccountEvent;

AccountStats *account_stats_create (Clock *clock);
void account_stats_destroy (AccountStats *stats);

/* Counts a request that has ended after `took_us`. */
void account_stats_note (AccountStats *stats,
                         const char *account,
                         AccountEvent event,
                         gint64 took_us);

AccountEvent account_event_from_outcome (Outcome outcome);

/* Appends counters and histograms in the Prometheus text format. */
void account_stats_append (const AccountStats *stats, GString *text);

/* Adds the counts of an account to the JSON object that `builder` has open, and
   "counted", which is false for an account that is not counted by name. */
void account_stats_write (const AccountStats *stats,
                          const char *account,
                          JsonBuilder *builder);

/* Appends the ids of the accounts that are counted by name; borrowed. */
void account_stats_names (const AccountStats *stats, GPtrArray *names);

#endif
