/*
 * The most recent events of a node, kept for operators.
 */
#ifndef DAEMON_EVENTS_H
#define DAEMON_EVENTS_H

#include <core/clock.h>
#include <json-glib/json-glib.h>

typedef struct Events Events;

Events *events_create (Clock *clock);
void events_destroy (Events *events);

/* Records and logs an event about `subject` (a target, a node, a plan); `detail` may be
   NULL. */
void
events_add (Events *events, const char *kind, const char *subject, const char *detail);

/* Writes the events as an array, oldest first. */
void events_write (const Events *events, JsonBuilder *builder);

#endif
