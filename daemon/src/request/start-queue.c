#include "start-queue.h"

#include "config-sync.h"

/* How long after its start a node queues requests. When 353 nodes start at once, each has
   its configuration within 0.4 s; a store that does not answer is queried again every
   half second. */
#define OPEN_US SECOND_US
/* Interval at which the queue checks whether the configuration has arrived or OPEN_US is
   over. */
#define CHECK_INTERVAL_US (10 * MS_US)

typedef struct
{
  StartQueue *queue;
  HttpRequest *request;
} Waiting;

struct StartQueue
{
  Node *node;
  HttpHandler handler;
  gpointer data;
  LoopTimer *timer;
  GPtrArray *waiting; /* of Waiting */
};

static void
waiting_free (gpointer data)
{
  Waiting *waiting = data;

  http_request_watch_gone (waiting->request, NULL, NULL);
  http_request_unref (waiting->request);
  g_free (waiting);
}

static void
on_caller_gone (gpointer data)
{
  Waiting *waiting = data;

  http_request_drop (waiting->request);
  g_ptr_array_remove (waiting->queue->waiting, waiting);
}

gboolean
start_queue_is_open (const StartQueue *queue)
{
  return !config_sync_ready (queue->node->config) &&
         clock_now (queue->node->clock) - queue->node->started_us < OPEN_US;
}

static void
on_timer (gpointer data)
{
  StartQueue *queue = data;
  g_autoptr (GPtrArray) over = NULL;

  if (start_queue_is_open (queue))
    {
      loop_timer_start (queue->timer, CHECK_INTERVAL_US);
      return;
    }
  over = g_steal_pointer (&queue->waiting);
  queue->waiting = g_ptr_array_new_with_free_func (waiting_free);
  for (guint i = 0; i < over->len; i++)
    {
      Waiting *waiting = g_ptr_array_index (over, i);

      http_request_watch_gone (waiting->request, NULL, NULL);
      queue->handler (waiting->request, queue->data);
    }
}

StartQueue *
start_queue_create (Node *node, HttpHandler handler, gpointer data)
{
  StartQueue *queue = g_new0 (StartQueue, 1);

  queue->node = node;
  queue->handler = handler;
  queue->data = data;
  queue->timer = loop_timer_create (node->loop, on_timer, queue);
  queue->waiting = g_ptr_array_new_with_free_func (waiting_free);
  return queue;
}

void
start_queue_destroy (StartQueue *queue)
{
  if (!queue)
    return;
  loop_timer_destroy (queue->timer);
  g_ptr_array_unref (queue->waiting);
  g_free (queue);
}

void
start_queue_add (StartQueue *queue, HttpRequest *request)
{
  Waiting *waiting = g_new0 (Waiting, 1);

  waiting->queue = queue;
  waiting->request = http_request_ref (request);
  g_ptr_array_add (queue->waiting, waiting);
  http_request_watch_gone (request, on_caller_gone, waiting);
  loop_timer_start (queue->timer, CHECK_INTERVAL_US);
}
