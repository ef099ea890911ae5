/*
 * The last events of a node, for operators who ask afterwards.
 */
#ifndef DAEMON_EVENTS_H
#define DAEMON_EVENTS_H

#include <core/clock.h>
#include <json-glib/json-glib.h>

typedef struct Events Events;

Events *events_create (Clock *clock);
void events_destroy (Events *events);

/* Notes and logs one event about `subject` (a target, a node, a plan). */
void
events_add (Events *events, const char *kind, const char *subject, const char *detail);

/* Appends them as an array, oldest first. */
void events_write (const Events *events, JsonBuilder *builder);

#endif
