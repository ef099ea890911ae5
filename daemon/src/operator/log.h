/*
 * Structured logs: GLib's, written as one JSON object a line on standard output.
 */
#ifndef DAEMON_LOG_H
#define DAEMON_LOG_H

#include <core/clock.h>
#include <core/settings.h>

/* Sends all of GLib's logging through the writer. `node` stands in each line; the
   borrowed clock paces what is bounded by the second. */
void log_init (const char *node, LogThreshold threshold, Clock *clock);

/* Changes the threshold. */
void log_set_threshold (LogThreshold threshold);

/*
 * One event with text fields: pairs of a name and a value, ended by NULL. A NULL value
 * leaves its pair out.
 *
 * Lines of one kind are bounded per second, so that failures are never lost behind
 * successes; what was left out is counted in a line "log-omitted". Never blocks.
 */
void log_event (GLogLevelFlags level, const char *event, ...) G_GNUC_NULL_TERMINATED;

#endif
