#include "allowances-private.h"

#include <string.h>

#include <core/config.h>

#include "allowance-fleet.h"
#include "config-sync.h"
#include "log.h"
#include "peers.h"

/* A lender answers within one round trip, and within 20 ms when its node is slow. */
#define LEND_TIMEOUT_US (60 * MS_US)
#define OPEN_TIMEOUT_US (100 * MS_US)
/* How long a lender that did not answer is skipped. */
#define LENDER_SILENT_SKIP_US (500 * MS_US)
/* How long a node that answers that it is no lender is skipped. Its view of the fleet
   differs from ours, and the views converge within the time of one probe. */
#define NOT_LENDER_SKIP_US (50 * MS_US)
/* While no lender can be called, a request waits for half of its latency objective: the
   nodes of a fleet that has just started know each other within a second. */
#define UNKNOWN_WAIT_DIVISOR 2
#define UNKNOWN_WAIT_DEFAULT_US (250 * MS_US)
#define RECHECK_INTERVAL_US (25 * MS_US)
/* While the last answer of a lender is younger than this, the allowance counts as
   exceeded and not as unknown. */
#define ANSWER_FRESH_US (2 * SECOND_US)
/* Shortest retry time given to a caller, which needs some time to send again anyway. */
#define RETRY_MIN_US (20 * MS_US)
#define SWEEP_US (10 * SECOND_US)
#define UNKNOWN_RETRY_US (500 * MS_US)

static const RpcProcedure allow = { SW_ALLOW, (xdrproc_t)xdr_sw_allow_args,
                                    (xdrproc_t)xdr_sw_allow_res, sizeof (sw_allow_res) };

static void serve_or_borrow (Queue *queue);

static void
waiter_free (Waiter *waiter)
{
  http_request_unref (waiter->order.request);
  snapshot_unref (waiter->order.snapshot);
  g_free (waiter->id);
  g_free (waiter);
}

/* Ends a wait with a verdict. The order's references are released after the call. */
static void
settle (Waiter *waiter, AllowanceOutcome outcome, gint64 retry_after_us)
{
  Allowances *allowances = waiter->queue->allowances;
  AllowanceVerdict verdict = { outcome, retry_after_us };

  http_request_watch_gone (waiter->order.request, NULL, NULL);
  allowances->done (&waiter->order, &verdict, allowances->data);
  waiter_free (waiter);
}

static void
on_caller_gone (gpointer data)
{
  Waiter *waiter = data;

  http_request_drop (waiter->order.request);
  g_queue_remove (&waiter->queue->waiters, waiter);
  waiter_free (waiter);
}

static void
queue_free (gpointer data)
{
  Queue *queue = data;
  Waiter *waiter;

  while ((waiter = g_queue_pop_head (&queue->waiters)))
    {
      http_request_watch_gone (waiter->order.request, NULL, NULL);
      waiter_free (waiter);
    }
  loop_timer_destroy (queue->again);
  g_free (queue->lender);
  g_free (queue->account);
  g_free (queue);
}

static void
on_queue_timer (gpointer data)
{
  serve_or_borrow (data);
}

static Queue *
ensure_queue (Allowances *allowances, const Account *account)
{
  Queue *queue = g_hash_table_lookup (allowances->queues, account->id);

  if (!queue)
    {
      queue = g_new0 (Queue, 1);
      queue->allowances = allowances;
      queue->account = g_strdup (account->id);
      queue->again = loop_timer_create (allowances->node->loop, on_queue_timer, queue);
      g_queue_init (&queue->waiters);
      g_hash_table_insert (allowances->queues, queue->account, queue);
    }
  queue->terms = (AllowanceTerms){ account->per_s, account->burst };
  return queue;
}

/* Grants waiting requests, oldest first, while there is borrowed allowance. */
static void
serve (Queue *queue)
{
  Allowances *allowances = queue->allowances;

  while (queue->waiters.length > 0 &&
         allowance_cache_take (allowances->cache, queue->account))
    settle (g_queue_pop_head (&queue->waiters), ALLOWANCE_GRANTED, 0);
}

static void
refuse (Queue *queue, AllowanceOutcome outcome, gint64 retry_after_us)
{
  Waiter *waiter;

  while ((waiter = g_queue_pop_head (&queue->waiters)))
    settle (waiter, outcome, retry_after_us);
}

static gboolean
is_exceeded (const Queue *queue)
{
  gint64 now = clock_now (queue->allowances->node->clock);

  return queue->answered_us > 0 && now - queue->answered_us < ANSWER_FRESH_US;
}

static gboolean
may_keep_waiting (const Waiter *waiter, gint64 now_us)
{
  gint64 objective = waiter->order.route->objective_us;
  gint64 most =
      objective > 0 ? objective / UNKNOWN_WAIT_DIVISOR : UNKNOWN_WAIT_DEFAULT_US;

  return now_us - http_request_received_us (waiter->order.request) < most;
}

static void
refuse_overdue (Queue *queue, gint64 now_us)
{
  for (GList *item = queue->waiters.head; item;)
    {
      GList *next = item->next;
      Waiter *waiter = item->data;

      if (!may_keep_waiting (waiter, now_us))
        {
          g_queue_delete_link (&queue->waiters, item);
          settle (waiter, ALLOWANCE_UNKNOWN, UNKNOWN_RETRY_US);
        }
      item = next;
    }
}

/* Handles that no lender can be called for the next `wait_us`. Refuses all waiting
   requests as exceeded if a lender has answered lately, else those that have waited too
   long as unknown. */
static void
give_up (Queue *queue, gint64 wait_us)
{
  if (is_exceeded (queue))
    refuse (queue, ALLOWANCE_EXCEEDED, MAX (wait_us, RETRY_MIN_US));
  else
    refuse_overdue (queue, clock_now (queue->allowances->node->clock));
  if (queue->waiters.length > 0)
    loop_timer_start (queue->again, RECHECK_INTERVAL_US);
}

/* Handles a lender's answer; NULL when there was none. */
static void
handle_lend_answer (Queue *queue, const sw_allow_res *res)
{
  Allowances *allowances = queue->allowances;
  gint64 pause_us = 0;

  queue->asking = FALSE;
  if (!res)
    pause_us = LENDER_SILENT_SKIP_US;
  else if (!res->lender)
    pause_us = NOT_LENDER_SKIP_US;
  else if (res->lent < queue->wanted)
    pause_us = (gint64)res->retry_after_ms * MS_US;
  if (res && res->lender)
    {
      queue->answered_us = clock_now (allowances->node->clock);
      allowance_cache_add (allowances->cache, queue->account, res->lent, queue->asked_us);
    }
  if (pause_us > 0)
    allowance_cache_pause_lender (allowances->cache, queue->account, queue->lender,
                                  pause_us);
  serve_or_borrow (queue);
}

static void
on_lend_answer (RpcOutcome outcome, void *result, gpointer data)
{
  handle_lend_answer (data, outcome == RPC_OK ? result : NULL);
}

static void
fill_args (const Queue *queue, sw_allow_args *args)
{
  const Node *node = queue->allowances->node;

  args->account = queue->account;
  args->wanted = queue->wanted;
  args->generation = snapshot_generation (config_sync_snapshot (node->config));
  /* An allowance below a thousandth per second is rounded up: 0 would mean no limit. */
  args->per_s_milli = (u_int)CLAMP (queue->terms.per_s * 1000, 1, G_MAXUINT32);
  args->burst_milli = (u_int)MIN (queue->terms.burst * 1000, G_MAXUINT32);
}

static void
on_session (const PeerStamp *stamp, gpointer data)
{
  Queue *queue = data;
  sw_allow_args args = { 0 };

  if (!stamp)
    {
      handle_lend_answer (queue, NULL);
      return;
    }
  fill_args (queue, &args);
  metrics_add (queue->allowances->node->metrics, METRIC_ALLOWANCE_QUESTIONS, 1);
  peers_call (queue->allowances->node->peers, queue->lender, &allow, &args,
              LEND_TIMEOUT_US, on_lend_answer, queue);
}

static void
request_lease (Queue *queue, const char *lender)
{
  Node *node = queue->allowances->node;
  sw_allow_args args = { 0 };
  sw_allow_res res = { 0 };

  queue->asking = TRUE;
  queue->asked_us = clock_now (node->clock);
  g_free (queue->lender);
  queue->lender = g_strdup (lender);
  if (strcmp (lender, node->settings->node) != 0)
    {
      peers_open (node->peers, queue->lender, OPEN_TIMEOUT_US, on_session, queue);
      return;
    }
  fill_args (queue, &args);
  allowances_lend (queue->allowances, &args, &res);
  handle_lend_answer (queue, &res);
}

static void
serve_or_borrow (Queue *queue)
{
  Allowances *allowances = queue->allowances;
  const char *lenders[ALLOWANCE_LENDERS];
  gint64 wait_us = 0;
  guint count;
  gint place;

  if (queue->asking)
    return;
  serve (queue);
  queue->wanted = queue->waiters.length +
                  allowance_cache_prefetch_count (allowances->cache, queue->account);
  if (queue->wanted == 0)
    return;
  allowances_refresh (allowances);
  count = allowance_fleet_lenders (allowances->fleet, queue->account, lenders);
  place = allowance_cache_pick_lender (allowances->cache, queue->account, lenders, count,
                                       &wait_us);
  if (place >= 0)
    request_lease (queue, lenders[place]);
  else
    give_up (queue, wait_us);
}

static void
enqueue (Queue *queue, const ExchangeParams *order)
{
  Waiter *waiter = g_new0 (Waiter, 1);

  waiter->queue = queue;
  waiter->order = *order;
  waiter->id = g_strdup (order->id);
  waiter->order.id = waiter->id;
  http_request_ref (order->request);
  snapshot_ref (order->snapshot);
  http_request_watch_gone (order->request, on_caller_gone, waiter);
  g_queue_push_tail (&queue->waiters, waiter);
}

/* Every SWEEP_US, drops the queues without waiters, a pending call or a recent answer. */
static void
sweep (Allowances *allowances)
{
  gint64 now = clock_now (allowances->node->clock);
  GHashTableIter iter;
  gpointer value;

  if (now - allowances->swept_us < SWEEP_US)
    return;
  allowances->swept_us = now;
  g_hash_table_iter_init (&iter, allowances->queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Queue *queue = value;

      if (!queue->asking && queue->waiters.length == 0 && !is_exceeded (queue))
        g_hash_table_iter_remove (&iter);
    }
}

/* A new request goes behind those that already wait. */
void
allowances_check (Allowances *allowances, const ExchangeParams *order)
{
  static const AllowanceVerdict granted = { ALLOWANCE_GRANTED, 0 };
  ExchangeParams lent = *order;
  Queue *queue;

  if (!order->account || order->account->per_s <= 0)
    {
      allowances->done (&lent, &granted, allowances->data);
      return;
    }
  sweep (allowances);
  queue = ensure_queue (allowances, order->account);
  if (queue->waiters.length == 0 &&
      allowance_cache_take (allowances->cache, queue->account))
    allowances->done (&lent, &granted, allowances->data);
  else
    enqueue (queue, order);
  serve_or_borrow (queue);
}

guint
allowances_abort (Allowances *allowances)
{
  GHashTableIter iter;
  gpointer value;
  guint count = 0;

  g_hash_table_iter_init (&iter, allowances->queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Queue *queue = value;

      count += queue->waiters.length;
      refuse (queue, ALLOWANCE_UNKNOWN, UNKNOWN_RETRY_US);
    }
  return count;
}

Allowances *
allowances_create (Node *node)
{
  Allowances *allowances = g_new0 (Allowances, 1);

  allowances->node = node;
  allowances->buckets =
      allowance_buckets_create (&node->settings->allowance, node->clock);
  allowances->cache = allowance_cache_create (node->clock);
  allowances->fleet = allowance_fleet_create (node);
  allowances->queues = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, queue_free);
  return allowances;
}

void
allowances_set_done (Allowances *allowances, AllowanceDone done, gpointer data)
{
  allowances->done = done;
  allowances->data = data;
}

void
allowances_destroy (Allowances *allowances)
{
  if (!allowances)
    return;
  g_hash_table_unref (allowances->queues);
  allowance_fleet_destroy (allowances->fleet);
  allowance_cache_destroy (allowances->cache);
  allowance_buckets_destroy (allowances->buckets);
  g_free (allowances);
}
