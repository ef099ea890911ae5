#include "admission-queue.h"

#include <string.h>

/* Priorities that are told apart; the lowest ones are counted together. */
#define PRIORITIES_MAX 64u
/* The counts are halved when their sum reaches this. */
#define OFFERS_MAX 256u
/* Credits and shares of starts are counted in parts of one start. */
#define ONE_START 65536u
#define SHARE_RARE (ONE_START / ADMISSION_LOWER_TURN_RARE)
#define SHARES_MAX (ONE_START / ADMISSION_LOWER_TURN)
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
  guint offers[PRIORITIES_MAX];
  guint offers_total;
  guint credits[PRIORITIES_MAX]; /* at most ONE_START */
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

static guint
rank_of (guint priority)
{
  return MIN (priority, PRIORITIES_MAX - 1);
}

void
admission_queue_note_offer (AdmissionQueue *queue, guint priority)
{
  queue->offers[rank_of (priority)]++;
  if (++queue->offers_total < OFFERS_MAX)
    return;
  queue->offers_total = 0;
  for (guint i = 0; i < PRIORITIES_MAX; i++)
    {
      queue->offers[i] /= 2;
      queue->offers_total += queue->offers[i];
    }
}

/* Stores in `shares` the share of the starts of each priority lower than `top`, and 0 for
   the others. Returns their sum. */
static guint
lower_shares (const AdmissionQueue *queue, guint top, guint shares[PRIORITIES_MAX])
{
  guint first = rank_of (top);
  guint all = 1;
  guint lower = 0; /* the offers of all lower ones, as shares */
  guint sum = 0;
  guint most;

  memset (shares, 0, PRIORITIES_MAX * sizeof *shares);
  for (guint i = first; i < PRIORITIES_MAX; i++)
    all += queue->offers[i];
  for (guint i = first + 1; i < PRIORITIES_MAX; i++)
    {
      guint offered = queue->offers[i] * ONE_START / all;

      shares[i] = MAX (offered / 2, MIN (offered, SHARE_RARE));
      lower += offered;
      sum += shares[i];
    }
  most = MIN (lower / 2 + SHARE_RARE / 2, SHARES_MAX);
  if (sum <= most)
    return sum;
  for (guint i = first + 1; i < PRIORITIES_MAX; i++)
    shares[i] = (guint)((guint64)shares[i] * most / sum);
  return most;
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

/* Returns the place of the request that must start first among those that are not late,
   have a lower priority than `priority`, and whose priority has credit for a start;
   NOWHERE if there is none. */
static guint
first_with_credit (const AdmissionQueue *queue, guint priority, gint64 now_us)
{
  guint first = NOWHERE;

  for (guint i = 0; i < queue->waiting->len; i++)
    {
      const Waiting *waiting = at (queue, i);

      if (waiting->order.priority > priority &&
          queue->credits[rank_of (waiting->order.priority)] >= ONE_START &&
          !is_late (&waiting->order, now_us) &&
          (first == NOWHERE || latest_start_us (&waiting->order) <
                                   latest_start_us (&at (queue, first)->order)))
        first = i;
    }
  return first;
}

/* Counts the requests that are not late, have this rank, and must start by `before_us`.
 */
static guint
count_rank (const AdmissionQueue *queue, guint rank, gint64 before_us, gint64 now_us)
{
  guint count = 0;

  for (guint i = 0; i < queue->waiting->len; i++)
    count += rank_of (at (queue, i)->order.priority) == rank &&
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

/* Returns how many starts there are before that of a new request of a lower priority than
   `top`, if only the credit of its priority lets it start. */
static guint
starts_before (const AdmissionQueue *queue,
               const AdmissionParams *order,
               guint top,
               gint64 now_us)
{
  guint rank = rank_of (order->priority);
  guint shares[PRIORITIES_MAX];
  guint needed = ONE_START;

  lower_shares (queue, top, shares);
  if (shares[rank] == 0)
    return G_MAXUINT;
  needed *= 1 + count_rank (queue, rank, latest_start_us (order), now_us);
  if (needed <= queue->credits[rank])
    return 0;
  return (needed - queue->credits[rank] - 1) / shares[rank];
}

guint
admission_queue_ahead (const AdmissionQueue *queue,
                       const AdmissionParams *order,
                       gint64 now_us)
{
  guint top = top_priority (queue, now_us);
  guint ahead = 0;

  for (guint i = 0; i < queue->waiting->len; i++)
    if (goes_before (&at (queue, i)->order, order, now_us))
      ahead++;
  if (order->priority <= top || is_late (order, now_us))
    return ahead;
  return MIN (ahead, starts_before (queue, order, top, now_us));
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

/* Adds one start's credit to the priorities lower than `top`. */
static void
add_credits (AdmissionQueue *queue, guint top)
{
  guint shares[PRIORITIES_MAX];

  lower_shares (queue, top, shares);
  for (guint i = rank_of (top) + 1; i < PRIORITIES_MAX; i++)
    queue->credits[i] = MIN (queue->credits[i] + shares[i], ONE_START);
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
  add_credits (queue, top);
  lower = first_with_credit (queue, top, now_us);
  if (lower == NOWHERE)
    return remove_at (queue, first);
  queue->credits[rank_of (at (queue, lower)->order.priority)] -= ONE_START;
  return remove_at (queue, lower);
}

/* Returns how many places of a full queue the requests of a rank lower than `top` have
   for themselves: at least one, and together one in ADMISSION_LOWER_TURN. */
static guint
places_of (const AdmissionQueue *queue, guint rank, guint top)
{
  guint shares[PRIORITIES_MAX];
  guint sum = lower_shares (queue, top, shares);
  guint places = queue->waiting->len / ADMISSION_LOWER_TURN;

  return sum > 0 ? MAX (places * shares[rank] / sum, 1) : 1;
}

/* Whether the request at this place has to make room for another one's share: it has the
   highest priority, or its priority has more places than its share. */
static gboolean
is_above_share (const AdmissionQueue *queue, guint place, guint top, gint64 now_us)
{
  guint priority = at (queue, place)->order.priority;
  guint rank = rank_of (priority);

  return priority <= top ||
         count_rank (queue, rank, G_MAXINT64, now_us) > places_of (queue, rank, top);
}

/* Returns the place of the last request that makes room for one that arrives with `order`
   within the share of its priority; NOWHERE if there is none. */
static guint
last_above_share (const AdmissionQueue *queue,
                  const AdmissionParams *order,
                  gint64 now_us)
{
  guint top = top_priority (queue, now_us);
  guint rank = rank_of (order->priority);

  if (is_late (order, now_us) || order->priority <= top ||
      count_rank (queue, rank, G_MAXINT64, now_us) >= places_of (queue, rank, top))
    return NOWHERE;
  for (guint i = queue->waiting->len; i-- > 0;)
    if (rank_of (at (queue, i)->order.priority) != rank &&
        is_above_share (queue, i, top, now_us))
      return i;
  return NOWHERE;
}

/* Returns the place of the last request of a lower priority than `order` which is not
   within the share of its own; NOWHERE if there is none. */
static guint
last_lower (const AdmissionQueue *queue, const AdmissionParams *order, gint64 now_us)
{
  for (guint i = queue->waiting->len; i-- > 0;)
    if (at (queue, i)->order.priority > order->priority &&
        !goes_before (&at (queue, i)->order, order, now_us) &&
        is_above_share (queue, i, order->priority, now_us))
      return i;
  return NOWHERE;
}

gpointer
admission_queue_displace (AdmissionQueue *queue,
                          const AdmissionParams *order,
                          gint64 now_us)
{
  guint place;

  /* Late requests are displaced first, because they have missed their objective already;
     among them the last one with the lowest priority. */
  for (guint i = queue->waiting->len; i-- > 0;)
    if (is_late (&at (queue, i)->order, now_us) &&
        !goes_before (&at (queue, i)->order, order, now_us))
      return remove_at (queue, i);
  place = last_lower (queue, order, now_us);
  if (place == NOWHERE)
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
