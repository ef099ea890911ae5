/*
 * What became of the requests of client accounts at this node: the busiest by name, the
 * rest together, so that neither memory nor metrics grow with the number of accounts.
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
  ACCOUNT_UNKNOWN,           /* what became of it */
  ACCOUNT_EXCEEDED,          /* refused: more than the allowance */
  ACCOUNT_ALLOWANCE_UNKNOWN, /* refused: nobody could be asked for the allowance */
  ACCOUNT_EVENTS
} AccountEvent;

AccountStats *account_stats_create (Clock *clock);
void account_stats_destroy (AccountStats *stats);

/* Notes the end of a request, which took so long. */
void account_stats_note (AccountStats *stats,
                         const char *account,
                         AccountEvent event,
                         gint64 took_us);

/* The event that an outcome is. */
AccountEvent account_event_of (Outcome outcome);

/* Appends counters and histograms in the usual text exposition. */
void account_stats_append (const AccountStats *stats, GString *text);

/* Adds the counts of an account to a JSON object that is being built. */
void account_stats_write (const AccountStats *stats,
                          const char *account,
                          JsonBuilder *builder);

/* The accounts that are counted by name; borrowed. */
void account_stats_names (const AccountStats *stats, GPtrArray *names);

#endif
