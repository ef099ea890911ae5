#include "peer-watch.h"

/* Time without a message from the node after which it is pinged. The first ping comes
   sooner, because many failed nodes failed before the request was sent, and no further
   requests must be sent to them. */
#define QUIET_FIRST_US (60 * MS_US)
#define QUIET_US (250 * MS_US)
/* A ping takes about 4 ms between halls, and 20 ms on a slow node. Without an answer in
   three times that, the path is marked as doubtful. */
#define DOUBT_US (60 * MS_US)
/* Least time-out: a lost packet is sent again twice (200 ms each) and answered. */
#define PING_TIMEOUT_US (540 * MS_US)

typedef struct
{
  PeerWatch *watch; /* NULL once the watch has been destroyed */
  gint64 began_us;
} Ping;

struct PeerWatch
{
  Node *node;
  char *vm;
  LoopTimer *timer;
  Ping *ping; /* in flight; NULL for none */
  PeerWatchLost lost;
  gpointer data;
};

static void
on_pinged (RpcOutcome outcome, void *result, gpointer data)
{
  Ping *ping = data;
  PeerWatch *watch = ping->watch;
  gint64 began = ping->began_us;

  g_free (ping);
  if (!watch)
    return;
  watch->ping = NULL;
  peers_note_ping (watch->node->peers, watch->vm, clock_now (watch->node->clock) - began);
  loop_timer_stop (watch->timer);
  /* A refusal shows that the node is reachable, too. */
  if (outcome == RPC_OK || outcome == RPC_DENIED)
    {
      balancer_note_path (watch->node->balancer, watch->vm, TRUE);
      loop_timer_start (watch->timer, QUIET_US);
    }
  else
    watch->lost (watch->data);
}

static gint64
quiet_us (const PeerWatch *watch)
{
  return clock_now (watch->node->clock) - peers_heard_us (watch->node->peers, watch->vm);
}

static void
on_timer (gpointer data)
{
  PeerWatch *watch = data;
  gint64 quiet = quiet_us (watch);

  if (watch->ping)
    {
      if (quiet >= DOUBT_US)
        peers_doubt (watch->node->peers, watch->vm);
      return;
    }
  if (quiet < QUIET_FIRST_US)
    {
      loop_timer_start (watch->timer, QUIET_FIRST_US - quiet);
      return;
    }
  loop_timer_start (watch->timer, DOUBT_US);
  watch->ping = g_new0 (Ping, 1);
  watch->ping->watch = watch;
  watch->ping->began_us = clock_now (watch->node->clock);
  peers_ping (watch->node->peers, watch->vm,
              peers_ping_timeout_us (watch->node->peers, watch->vm, PING_TIMEOUT_US),
              on_pinged, watch->ping);
}

PeerWatch *
peer_watch_create (Node *node, const char *vm, PeerWatchLost lost, gpointer data)
{
  PeerWatch *watch = g_new0 (PeerWatch, 1);

  watch->node = node;
  watch->vm = g_strdup (vm);
  watch->lost = lost;
  watch->data = data;
  watch->timer = loop_timer_create (node->loop, on_timer, watch);
  loop_timer_start (watch->timer, QUIET_FIRST_US);
  return watch;
}

void
peer_watch_destroy (PeerWatch *watch)
{
  if (!watch)
    return;
  if (watch->ping)
    watch->ping->watch = NULL;
  loop_timer_destroy (watch->timer);
  g_free (watch->vm);
  g_free (watch);
}
