/*
 * Structured logs: GLib's, written as one JSON object a line on stderr.
 */
#ifndef DAEMON_LOG_H
#define DAEMON_LOG_H

#include <core/settings.h>

/* Sends all of GLib's logging through the writer. `node` stands in each line. */
void log_init (const char *node, LogThreshold threshold);

/*
 * One event with text fields: pairs of a name and a value, ended by NULL. A NULL value
 * leaves its pair out.
 */
void log_event (GLogLevelFlags level, const char *event, ...) G_GNUC_NULL_TERMINATED;

#endif
