#include "events.h"
#include <core/json-write.h>

#include "log.h"

#define EVENTS_KEPT 500u

typedef struct
{
  gint64 at_us;
  char *kind;
  char *subject;
  char *detail;
} Event;

struct Events
{
  Clock *clock;
  GQueue list; /* of Event */
};

static void
event_free (gpointer data)
{
  Event *event = data;

  g_free (event->kind);
  g_free (event->subject);
  g_free (event->detail);
  g_free (event);
}

Events *
events_create (Clock *clock)
{
  Events *events = g_new0 (Events, 1);

  events->clock = clock;
  g_queue_init (&events->list);
  return events;
}

void
events_destroy (Events *events)
{
  if (!events)
    return;
  g_queue_clear_full (&events->list, event_free);
  g_free (events);
}

void
events_add (Events *events, const char *kind, const char *subject, const char *detail)
{
  Event *event = g_new0 (Event, 1);

  event->at_us = clock_now (events->clock);
  event->kind = g_strdup (kind);
  event->subject = g_strdup (subject);
  event->detail = g_strdup (detail ? detail : "");
  g_queue_push_tail (&events->list, event);
  if (events->list.length > EVENTS_KEPT)
    event_free (g_queue_pop_head (&events->list));
  log_event (G_LOG_LEVEL_INFO, kind, "SUBJECT", subject, "DETAIL", detail, NULL);
}

void
events_write (const Events *events, JsonBuilder *builder)
{
  gint64 now = clock_now (events->clock);

  json_builder_begin_array (builder);
  for (GList *l = events->list.head; l; l = l->next)
    {
      const Event *event = l->data;

      json_builder_begin_object (builder);
      json_write_int (builder, "seconds_ago", (now - event->at_us) / SECOND_US);
      json_write_string (builder, "event", event->kind);
      json_write_string (builder, "subject", event->subject);
      json_write_string (builder, "detail", event->detail);
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
}
