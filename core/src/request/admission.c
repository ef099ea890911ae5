#include "admission-queue.h"

/* Divisors of the running means of the recent and of the normal latency: a new latency
   enters a mean with the weight 1 / divisor. */
#define RECENT_DIVISOR 8
#define NORMAL_DIVISOR 256
/* The limit falls while the recent latency is above this multiple of the normal one. */
#define SLOW_FACTOR 2
/* The limit is at least the number of slots divided by this. */
#define LIMIT_FLOOR_DIVISOR 4
/* Number of answers between two changes of the limit. */
#define LIMIT_STEP_ANSWERS 8
#define SERVICE_TIME_DEFAULT_US (10 * MS_US)
#define RETRY_AFTER_MIN_US (100 * MS_US)

struct Admission
{
  Clock *clock;
  guint slots;
  guint limit;
  guint queue_max;
  guint in_use;
  StartLimit *start_limit; /* borrowed; NULL for no limit on starts */
  AdmissionQueue *queue;
  gpointer displaced;
  gint64 recent_us;
  gint64 normal_us;
  guint answers;
  gboolean adaptive;
};

Admission *
admission_create (guint slots, guint queue_max, Clock *clock)
{
  Admission *admission = g_new0 (Admission, 1);

  admission->clock = clock;
  admission->slots = slots;
  admission->limit = slots;
  admission->queue_max = queue_max;
  admission->adaptive = TRUE;
  admission->queue = admission_queue_create ();
  return admission;
}

void
admission_destroy (Admission *admission)
{
  if (!admission)
    return;
  admission_queue_destroy (admission->queue);
  g_free (admission);
}

void
admission_resize (Admission *admission, guint slots, guint queue_max)
{
  admission->queue_max = queue_max;
  if (slots == admission->slots)
    return;
  admission->slots = slots;
  admission->limit = slots;
}

void
admission_set_adaptive (Admission *admission, gboolean adaptive)
{
  admission->adaptive = adaptive;
  if (!adaptive)
    admission->limit = admission->slots;
}

void
admission_set_start_limit (Admission *admission, StartLimit *start_limit)
{
  admission->start_limit = start_limit;
}

/* Returns whether the limit on starts allows one more start. */
static gboolean
may_start (const Admission *admission)
{
  return !admission->start_limit || start_limit_allows (admission->start_limit);
}

static void
take_slot (Admission *admission)
{
  admission->in_use++;
  if (admission->start_limit)
    start_limit_count (admission->start_limit);
}

static gint64
took_us (const Admission *admission)
{
  return admission->recent_us ? admission->recent_us : SERVICE_TIME_DEFAULT_US;
}

/* Returns the minimum service time; requests with less time left are not started. */
static gint64
min_service_us (const Admission *admission)
{
  return admission->recent_us * ADMISSION_MIN_SERVICE_PERCENT / 100;
}

/* Estimates how long a request with `ahead` others before it has to wait. */
static gint64
expected_wait_us (const Admission *admission, guint ahead)
{
  gint64 slots_us = (gint64)(ahead + 1) * took_us (admission) / MAX (admission->limit, 1);

  if (!admission->start_limit)
    return slots_us;
  return MAX (slots_us, start_limit_wait_us (admission->start_limit, ahead));
}

/* Makes room in a full queue by removing an item that would start after the new one. */
static gboolean
displace (Admission *admission, const AdmissionParams *order)
{
  admission->displaced =
      admission_queue_displace (admission->queue, order, clock_now (admission->clock));
  return admission->displaced != NULL;
}

gboolean
admission_is_free (const Admission *admission)
{
  return admission->in_use < admission->limit && may_start (admission) &&
         admission_queue_length (admission->queue) == 0;
}

gboolean
admission_hold (Admission *admission)
{
  if (!admission_is_free (admission))
    return FALSE;
  take_slot (admission);
  return TRUE;
}

gboolean
admission_force (Admission *admission)
{
  if (!may_start (admission))
    return FALSE;
  take_slot (admission);
  return TRUE;
}

/* Returns whether a request that waits for `wait_us` would miss its latest start or
   deadline. */
static gboolean
would_be_late (const Admission *admission, const AdmissionParams *order, gint64 wait_us)
{
  gint64 start = clock_now (admission->clock) + wait_us;
  gint64 service_us = order->service_us > 0 ? order->service_us : took_us (admission);

  if (order->start_by_us > 0 && start > order->start_by_us)
    return TRUE;
  /* A request that cannot finish by its deadline would only waste the slot. */
  return start + service_us > order->deadline_us;
}

AdmissionAnswer
admission_offer (Admission *admission, gpointer item, const AdmissionParams *order)
{
  guint ahead;

  if (order->deadline_us <= clock_now (admission->clock))
    return ADMISSION_REFUSED;
  if (admission_is_free (admission))
    {
      take_slot (admission);
      return ADMISSION_START;
    }
  admission_queue_note_offer (admission->queue, order->priority);
  ahead = admission_queue_ahead (admission->queue, order, clock_now (admission->clock));
  if (would_be_late (admission, order, expected_wait_us (admission, ahead)))
    return ADMISSION_REFUSED;
  if (admission_queue_length (admission->queue) >= admission->queue_max &&
      !displace (admission, order))
    return ADMISSION_REFUSED;
  admission_queue_add (admission->queue, item, order);
  return ADMISSION_QUEUED;
}

gpointer
admission_displaced (Admission *admission)
{
  return g_steal_pointer (&admission->displaced);
}

static void
adapt_limit (Admission *admission)
{
  guint floor = MAX (1, admission->slots / LIMIT_FLOOR_DIVISOR);

  if (++admission->answers % LIMIT_STEP_ANSWERS != 0)
    return;
  if (admission->recent_us > SLOW_FACTOR * admission->normal_us)
    admission->limit = MAX (floor, admission->limit - MAX (1, admission->limit / 8));
  else
    admission->limit = MIN (admission->slots, admission->limit + 1);
}

void
admission_release (Admission *admission, gint64 took)
{
  g_return_if_fail (admission->in_use > 0);
  admission->in_use--;
  if (took < 0)
    return;
  if (admission->normal_us == 0)
    {
      admission->recent_us = MAX (took, 1);
      admission->normal_us = MAX (took, 1);
    }
  admission->recent_us += (took - admission->recent_us) / RECENT_DIVISOR;
  /* The normal latency rises slowly and falls quickly, so slow periods stand out. */
  if (took < admission->normal_us)
    admission->normal_us += (took - admission->normal_us) / RECENT_DIVISOR;
  else
    admission->normal_us += (took - admission->normal_us) / NORMAL_DIVISOR;
  admission->normal_us = MAX (admission->normal_us, 1);
  if (admission->adaptive)
    adapt_limit (admission);
}

gpointer
admission_next (Admission *admission)
{
  gpointer item;

  if (admission->in_use >= admission->limit || !may_start (admission))
    return NULL;
  item = admission_queue_take (admission->queue, clock_now (admission->clock));
  if (item)
    take_slot (admission);
  return item;
}

gpointer
admission_expired (Admission *admission)
{
  return admission_queue_take_expired (admission->queue, clock_now (admission->clock),
                                       min_service_us (admission));
}

gboolean
admission_withdraw (Admission *admission, gpointer item)
{
  return admission_queue_withdraw (admission->queue, item);
}

guint
admission_in_use (const Admission *admission)
{
  return admission->in_use;
}

guint
admission_queued (const Admission *admission)
{
  return admission_queue_length (admission->queue);
}

guint
admission_limit (const Admission *admission)
{
  if (may_start (admission))
    return admission->limit;
  return CLAMP (admission->in_use, 1, admission->limit);
}

gint64
admission_retry_after_us (const Admission *admission)
{
  return MAX (expected_wait_us (admission, admission_queue_length (admission->queue)),
              RETRY_AFTER_MIN_US);
}

gint64
admission_next_expiry_us (const Admission *admission)
{
  return admission_queue_first_deadline_us (admission->queue);
}
