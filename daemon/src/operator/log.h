/*
 * Structured logging through GLib, written to standard output as one JSON object a line.
 */
#ifndef DAEMON_LOG_H
#define DAEMON_LOG_H

#include <core/clock.h>
#include <core/settings.h>

/* Installs the writer for all logging through GLib. Each line carries the name `node`;
   the clock is borrowed, and times the limit of lines a second. */
void log_init (const char *node, LogThreshold threshold, Clock *clock);

void log_set_threshold (LogThreshold threshold);

/*
 * Logs an event with text fields, given as pairs of a name and a value and ended by NULL.
 * A pair whose value is NULL is left out.
 *
 * The lines of each kind of event are limited per second, so that failures are not lost
 * among successes. A line "log-omitted" gives the number of lines left out, before the
 * next line of that kind. Never blocks.
 */
void log_event (GLogLevelFlags level, const char *event, ...) G_GNUC_NULL_TERMINATED;

#endif
