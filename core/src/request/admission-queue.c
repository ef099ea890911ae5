#include "admission-queue.h"

/* Priorities whose offers are told apart; the lowest ones are counted together. */
#define PRIORITIES_MAX 32u
/* The counts are halved when their sum reaches this. */
#define OFFERS_MAX 256u
/* No place in the queue. */
#define NOWHERE G_MAXUINT

typedef struct
{
  gpointer item;
  AdmissionParams order;
} Waiting;

struct AdmissionQueue
{
  GArray *waiting; /* of Waiting, sorted by priority and then by arrival */
  guint turns;     /* starts since the last one of a lower priority */
  guint offers[PRIORITIES_MAX];
  guint offers_total;
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

void
admission_queue_note_offer (AdmissionQueue *queue, guint priority)
{
  queue->offers[MIN (priority, PRIORITIES_MAX - 1)]++;
  if (++queue->offers_total < OFFERS_MAX)
    return;
  queue->offers_total = 0;
  for (guint i = 0; i < PRIORITIES_MAX; i++)
    {
      queue->offers[i] /= 2;
      queue->offers_total += queue->offers[i];
    }
}

/* Returns how many starts there are for one of a priority lower than `top`. */
static guint
lower_turn (const AdmissionQueue *queue, guint top)
{
  guint lower = 0;
  guint all = 0;

  for (guint i = MIN (top, PRIORITIES_MAX - 1); i < PRIORITIES_MAX; i++)
    {
      all += queue->offers[i];
      lower += i > top ? queue->offers[i] : 0;
    }
  if (lower == 0)
    return ADMISSION_LOWER_TURN;
  return CLAMP (2 * all / lower, ADMISSION_LOWER_TURN, ADMISSION_LOWER_TURN_MAX);
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

/* Returns the place of the first request that is not late, NOWHERE if all are. */
static guint
first_on_time (const AdmissionQueue *queue, gint64 now_us)
{
  for (guint i = 0; i < queue->waiting->len; i++)
    if (!is_late (&at (queue, i)->order, now_us))
      return i;
  return NOWHERE;
}

/* Returns the latest start for an answer that is on time. */
static gint64
latest_start_us (const AdmissionParams *order)
{
  gint64 latest = order->deadline_us - order->service_us;

  return order->on_time_by_us > 0 ? MIN (latest, order->on_time_by_us) : latest;
}

/* Returns the place of the request that must start first among those that are not late
   and have a lower priority than `priority`; NOWHERE if there is none. */
static guint
first_lower (const AdmissionQueue *queue, guint priority, gint64 now_us)
{
  guint first = NOWHERE;

  for (guint i = 0; i < queue->waiting->len; i++)
    {
      const Waiting *waiting = at (queue, i);

      if (waiting->order.priority > priority && !is_late (&waiting->order, now_us) &&
          (first == NOWHERE || latest_start_us (&waiting->order) <
                                   latest_start_us (&at (queue, first)->order)))
        first = i;
    }
  return first;
}

/* Counts the requests that are not late, have a lower priority than `priority`, and must
   start by `before_us`. */
static guint
count_lower (const AdmissionQueue *queue, guint priority, gint64 before_us, gint64 now_us)
{
  guint count = 0;

  for (guint i = 0; i < queue->waiting->len; i++)
    count += at (queue, i)->order.priority > priority &&
             !is_late (&at (queue, i)->order, now_us) &&
             latest_start_us (&at (queue, i)->order) <= before_us;
  return count;
}

/* Returns the highest priority of a waiting request that is not late; G_MAXUINT if there
   is none. */
static guint
top_priority (const AdmissionQueue *queue, gint64 now_us)
{
  guint first = first_on_time (queue, now_us);

  return first == NOWHERE ? G_MAXUINT : at (queue, first)->order.priority;
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
  guint top = top_priority (queue, now_us);
  guint ahead = 0;
  guint turn;
  guint next; /* starts before the next one of a lower priority */

  for (guint i = 0; i < queue->waiting->len; i++)
    if (goes_before (&at (queue, i)->order, order, now_us))
      ahead++;
  if (order->priority <= top || is_late (order, now_us))
    return ahead;
  turn = lower_turn (queue, top);
  next = turn - MIN (queue->turns + 1, turn);
  return MIN (ahead,
              next + turn * count_lower (queue, top, latest_start_us (order), now_us));
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
  guint first = first_on_time (queue, now_us);
  guint top;
  guint lower;

  if (queue->waiting->len == 0)
    return NULL;
  if (first == NOWHERE)
    return remove_at (queue, 0);
  top = at (queue, first)->order.priority;
  lower = first_lower (queue, top, now_us);
  if (lower == NOWHERE || queue->turns + 1 < lower_turn (queue, top))
    {
      queue->turns = MIN (queue->turns + 1, ADMISSION_LOWER_TURN_MAX);
      return remove_at (queue, first);
    }
  queue->turns = 0;
  return remove_at (queue, lower);
}

/* Returns how many places more than their share the requests of a lower priority than
   `top` have in a full queue; negative while they have fewer. */
static gint
lower_excess (const AdmissionQueue *queue, guint top, gint64 now_us)
{
  guint share = MAX (queue->waiting->len / ADMISSION_LOWER_TURN, 1);

  return (gint)count_lower (queue, top, G_MAXINT64, now_us) - (gint)share;
}

/* Returns the place of the last request with a higher priority than `order`, which makes
   room for it within the share of lower priorities; NOWHERE if there is none. */
static guint
last_above_share (const AdmissionQueue *queue,
                  const AdmissionParams *order,
                  gint64 now_us)
{
  guint top = top_priority (queue, now_us);
  guint place = queue->waiting->len;

  if (is_late (order, now_us) || order->priority <= top ||
      lower_excess (queue, top, now_us) >= 0)
    return NOWHERE;
  while (place > 0 && at (queue, place - 1)->order.priority >= order->priority)
    place--;
  return place > 0 ? place - 1 : NOWHERE;
}

gpointer
admission_queue_displace (AdmissionQueue *queue,
                          const AdmissionParams *order,
                          gint64 now_us)
{
  guint last = queue->waiting->len;
  guint place;

  /* Late requests are displaced first, because they have missed their objective already;
     among them the last one with the lowest priority. */
  for (guint i = last; i-- > 0;)
    if (is_late (&at (queue, i)->order, now_us) &&
        !goes_before (&at (queue, i)->order, order, now_us))
      return remove_at (queue, i);
  if (last > 0 && !goes_before (&at (queue, last - 1)->order, order, now_us) &&
      lower_excess (queue, order->priority, now_us) > 0)
    return remove_at (queue, last - 1);
  place = last_above_share (queue, order, now_us);
  return place == NOWHERE ? NULL : remove_at (queue, place);
}

/* Returns the time after which a request is not worth a slot: its latest start, or the
   moment when the rest of its deadline is shorter than the minimum service time. */
static gint64
expiry_us (const AdmissionParams *order, gint64 min_service_us)
{
  gint64 expiry;

  if (order->service_us > 0)
    min_service_us = order->service_us * ADMISSION_MIN_SERVICE_PERCENT / 100;
  expiry = order->deadline_us - min_service_us;
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
