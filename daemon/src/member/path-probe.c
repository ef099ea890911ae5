#include "path-probe.h"

#include "log.h"
#include "peers.h"

/* Interval between pings, and about the time in which a path's recovery is detected. */
#define PROBE_EVERY_US (400 * MS_US)
/* Long enough for a lost packet to be sent again (200 ms) and answered. */
#define PROBE_TIMEOUT_US (350 * MS_US)

typedef struct
{
  PathProbes *probes;
  char *vm;
  LoopTimer *timer;
  gboolean busy; /* a ping is in flight */
  gboolean over; /* to be freed when the ping ends */
  gint64 began_us;
} Probe;

struct PathProbes
{
  Node *node;
  GHashTable *by_vm; /* vm → Probe */
};

static void
probe_free (gpointer data)
{
  Probe *probe = data;

  /* A ping in flight still uses the probe; its callback frees it. */
  probe->over = TRUE;
  loop_timer_stop (probe->timer);
  if (probe->busy)
    return;
  loop_timer_destroy (probe->timer);
  g_free (probe->vm);
  g_free (probe);
}

static void
log_path (const Probe *probe, const char *event)
{
  gint64 age = clock_now (probe->probes->node->clock) - probe->began_us;
  g_autofree char *text = g_strdup_printf ("%" G_GINT64_FORMAT, age);

  log_event (G_LOG_LEVEL_INFO, event, "SUBJECT", probe->vm, "AGE_US", text, NULL);
}

static void
on_answer (RpcOutcome outcome, void *result, gpointer data)
{
  Probe *probe = data;
  PathProbes *probes = probe->probes;

  probe->busy = FALSE;
  if (probe->over)
    {
      probe_free (probe);
      return;
    }
  if (outcome != RPC_OK && outcome != RPC_DENIED)
    {
      peers_disconnect (probes->node->peers, probe->vm);
      loop_timer_start (probe->timer, PROBE_EVERY_US);
      return;
    }
  log_path (probe, "path-open");
  balancer_set_path (probes->node->balancer, probe->vm, TRUE);
  g_hash_table_remove (probes->by_vm, probe->vm);
}

static void
on_timer (gpointer data)
{
  Probe *probe = data;
  PathProbes *probes = probe->probes;
  const Member *member = members_find (probes->node->members, probe->vm);

  /* A dead node needs no probe: the membership reports when it is back. */
  if (!member || !members_is_alive (member))
    {
      balancer_set_path (probes->node->balancer, probe->vm, TRUE);
      g_hash_table_remove (probes->by_vm, probe->vm);
      return;
    }
  probe->busy = TRUE;
  peers_ping (probes->node->peers, probe->vm, PROBE_TIMEOUT_US, on_answer, probe);
}

void
path_probes_start (PathProbes *probes, const char *vm)
{
  Probe *probe;

  if (g_hash_table_contains (probes->by_vm, vm))
    return;
  probe = g_new0 (Probe, 1);
  probe->probes = probes;
  probe->vm = g_strdup (vm);
  probe->began_us = clock_now (probes->node->clock);
  probe->timer = loop_timer_create (probes->node->loop, on_timer, probe);
  g_hash_table_insert (probes->by_vm, probe->vm, probe);
  balancer_set_path (probes->node->balancer, vm, FALSE);
  log_path (probe, "path-closed");
  loop_timer_start (probe->timer, PROBE_EVERY_US);
}

static void
on_unanswered (const char *vm, gpointer data)
{
  path_probes_start (data, vm);
}

PathProbes *
path_probes_create (Node *node)
{
  PathProbes *probes = g_new0 (PathProbes, 1);

  probes->node = node;
  probes->by_vm = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, probe_free);
  peers_set_unanswered (node->peers, on_unanswered, probes);
  return probes;
}

void
path_probes_destroy (PathProbes *probes)
{
  if (!probes)
    return;
  g_hash_table_unref (probes->by_vm);
  g_free (probes);
}
