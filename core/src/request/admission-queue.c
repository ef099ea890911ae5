#include "admission-queue.h"

typedef struct
{
  gpointer item;
  AdmissionParams order;
} Waiting;

struct AdmissionQueue
{
  GArray *waiting; /* of Waiting, sorted by priority and then by arrival */
};

AdmissionQueue *
admission_queue_create (void)
{
  AdmissionQueue *queue = g_new0 (AdmissionQueue, 1);

  queue->waiting = g_array_new (FALSE, FALSE, sizeof (Waiting));
  return queue;
}

void
admission_queue_destroy (AdmissionQueue *queue)
{
  if (!queue)
    return;
  g_array_unref (queue->waiting);
  g_free (queue);
}

guint
admission_queue_length (const AdmissionQueue *queue)
{
  return queue->waiting->len;
}

static const Waiting *
at (const AdmissionQueue *queue, guint place)
{
  return &g_array_index (queue->waiting, Waiting, place);
}

static gpointer
remove_at (AdmissionQueue *queue, guint place)
{
  gpointer item = at (queue, place)->item;

  g_array_remove_index (queue->waiting, place);
  return item;
}

/* Returns whether the answer will miss its objective even if the request starts now. */
static gboolean
is_late (const AdmissionParams *order, gint64 now_us)
{
  return order->on_time_by_us > 0 && order->on_time_by_us < now_us;
}

/* Returns whether a queued request starts before one that arrives now. */
static gboolean
goes_before (const AdmissionParams *waiting, const AdmissionParams *order, gint64 now_us)
{
  gboolean waiting_late = is_late (waiting, now_us);
  gboolean order_late = is_late (order, now_us);

  if (waiting_late != order_late)
    return order_late;
  return waiting->priority <= order->priority;
}

guint
admission_queue_ahead (const AdmissionQueue *queue,
                       const AdmissionParams *order,
                       gint64 now_us)
{
  guint ahead = 0;

  for (guint i = 0; i < queue->waiting->len; i++)
    if (goes_before (&at (queue, i)->order, order, now_us))
      ahead++;
  return ahead;
}

void
admission_queue_add (AdmissionQueue *queue, gpointer item, const AdmissionParams *order)
{
  Waiting waiting = { item, *order };
  guint place = queue->waiting->len;

  while (place > 0 && at (queue, place - 1)->order.priority > order->priority)
    place--;
  g_array_insert_val (queue->waiting, place, waiting);
}

gpointer
admission_queue_take (AdmissionQueue *queue, gint64 now_us)
{
  if (queue->waiting->len == 0)
    return NULL;
  for (guint i = 0; i < queue->waiting->len; i++)
    if (!is_late (&at (queue, i)->order, now_us))
      return remove_at (queue, i);
  return remove_at (queue, 0);
}

gpointer
admission_queue_displace (AdmissionQueue *queue,
                          const AdmissionParams *order,
                          gint64 now_us)
{
  guint last = queue->waiting->len;

  /* Late requests are displaced first, because they have missed their objective already;
     among them the last one with the lowest priority. */
  for (guint i = last; i-- > 0;)
    if (is_late (&at (queue, i)->order, now_us) &&
        !goes_before (&at (queue, i)->order, order, now_us))
      return remove_at (queue, i);
  if (last > 0 && !goes_before (&at (queue, last - 1)->order, order, now_us))
    return remove_at (queue, last - 1);
  return NULL;
}

/* Returns the time after which a request is not worth a slot: its latest start, or the
   moment when the rest of its deadline is shorter than the minimum service time. */
static gint64
expiry_us (const AdmissionParams *order, gint64 min_service_us)
{
  gint64 expiry = order->deadline_us - min_service_us;

  return order->start_by_us > 0 ? MIN (expiry, order->start_by_us) : expiry;
}

gpointer
admission_queue_take_expired (AdmissionQueue *queue, gint64 now_us, gint64 min_service_us)
{
  for (guint i = 0; i < queue->waiting->len; i++)
    if (expiry_us (&at (queue, i)->order, min_service_us) <= now_us)
      return remove_at (queue, i);
  return NULL;
}

gboolean
admission_queue_withdraw (AdmissionQueue *queue, gpointer item)
{
  for (guint i = 0; i < queue->waiting->len; i++)
    if (at (queue, i)->item == item)
      {
        remove_at (queue, i);
        return TRUE;
      }
  return FALSE;
}

gint64
admission_queue_first_deadline_us (const AdmissionQueue *queue)
{
  gint64 first = -1;

  for (guint i = 0; i < queue->waiting->len; i++)
    {
      gint64 due = at (queue, i)->order.deadline_us;

      if (first < 0 || due < first)
        first = due;
    }
  return first;
}
