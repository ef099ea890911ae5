#include <core/departures.h>

#include <core/target-starts.h>

/* Heartbeats are late by seconds, and a target may serve on for minutes after it has
   announced its end. */
#define KEPT_US (3600 * SECOND_US)

typedef struct
{
  char *start;
  gint64 noted_us;
} Departure;

struct Departures
{
  Clock *clock;
  GHashTable *by_vm; /* vm → GQueue of Departure, the latest first */
};

static void
departure_free (gpointer data)
{
  Departure *departure = data;

  g_free (departure->start);
  g_free (departure);
}

static void
queue_free (gpointer data)
{
  g_queue_free_full (data, departure_free);
}

Departures *
departures_create (Clock *clock)
{
  Departures *departures = g_new0 (Departures, 1);

  departures->clock = clock;
  departures->by_vm = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, queue_free);
  return departures;
}

void
departures_destroy (Departures *departures)
{
  if (!departures)
    return;
  g_hash_table_unref (departures->by_vm);
  g_free (departures);
}

static gboolean
is_expired (const Departures *departures, const Departure *departure)
{
  return clock_now (departures->clock) - departure->noted_us > KEPT_US;
}

static Departure *
find (const Departures *departures, const char *vm, const char *start)
{
  GQueue *queue = g_hash_table_lookup (departures->by_vm, vm);

  for (GList *item = queue ? queue->head : NULL; item; item = item->next)
    {
      Departure *departure = item->data;

      if (!is_expired (departures, departure) &&
          target_start_is_up_to (start, departure->start))
        return departure;
    }
  return NULL;
}

static gboolean
vm_is_expired (gpointer vm, gpointer queue, gpointer departures)
{
  const Departure *latest = g_queue_peek_head (queue);

  return is_expired (departures, latest);
}

static GQueue *
find_or_add_queue (Departures *departures, const char *vm)
{
  GQueue *queue = g_hash_table_lookup (departures->by_vm, vm);

  if (queue)
    return queue;
  /* VMs that have been replaced would otherwise stay for ever. */
  g_hash_table_foreach_remove (departures->by_vm, vm_is_expired, departures);
  queue = g_queue_new ();
  g_hash_table_insert (departures->by_vm, g_strdup (vm), queue);
  return queue;
}

static void
drop_included (GQueue *queue, const char *start)
{
  GList *next;

  for (GList *item = queue->head; item; item = next)
    {
      Departure *departure = item->data;

      next = item->next;
      if (!target_start_is_up_to (departure->start, start))
        continue;
      departure_free (departure);
      g_queue_delete_link (queue, item);
    }
}

gboolean
departures_add (Departures *departures, const char *vm, const char *start)
{
  Departure *departure;
  GQueue *queue;

  if (find (departures, vm, start))
    return FALSE;
  queue = find_or_add_queue (departures, vm);
  drop_included (queue, start);
  departure = g_new0 (Departure, 1);
  departure->start = g_strdup (start);
  departure->noted_us = clock_now (departures->clock);
  g_queue_push_head (queue, departure);
  if (g_queue_get_length (queue) > DEPARTURES_PER_VM_MAX)
    departure_free (g_queue_pop_tail (queue));
  return TRUE;
}

gboolean
departures_contains (const Departures *departures, const char *vm, const char *start)
{
  return find (departures, vm, start) != NULL;
}

guint
departures_of_vm (const Departures *departures,
                  const char *vm,
                  const char *starts[DEPARTURES_PER_VM_MAX])
{
  GQueue *queue = g_hash_table_lookup (departures->by_vm, vm);
  guint count = 0;

  for (GList *item = queue ? queue->head : NULL; item; item = item->next)
    {
      const Departure *departure = item->data;

      if (!is_expired (departures, departure))
        starts[count++] = departure->start;
    }
  return count;
}
