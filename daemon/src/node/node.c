#include "node-run.h"

#include <apr_general.h>
#include <core/stop.h>
#include <string.h>

#include "account-stats.h"
#include "adapter.h"
#include "allowances.h"
#include "calls.h"
#include "config-sync.h"
#include "gossip.h"
#include "ingress.h"
#include "log.h"
#include "metrics-listener.h"
#include "operators.h"
#include "path-probe.h"
#include "peer-reads.h"
#include "peers.h"
#include "platform-era.h"
#include "quarantine-node.h"
#include "readiness.h"
#include "registry.h"
#include "sidecar.h"
#include "vm-list.h"

#define PEER_CONNECTIONS_MAX 4096u
#define PEER_IDLE_US (300 * SECOND_US)
/* Shortest duration of a planned stop, so that gossip can announce it to the fleet. */
#define STOP_LINGER_US (1500 * MS_US)
#define STOP_CHECK_US (50 * MS_US)
/* A check that comes this late finds requests that arrived meanwhile still unread. */
#define STOP_LATE_US (50 * MS_US)
/* The sidecar stops accepting work this long before the lingering ends, so that gossip
   can announce this. Until then its target, which is healthy and stays, is useful to the
   fleet. */
#define STOP_DRAIN_LEAD_US (500 * MS_US)
/* Time for the last answers to go out when a stop aborts requests; also how long after
   the end of the stop's time the process may still wait for them, and how long it waits
   for other nodes, which may be gone, to receive theirs. */
#define STOP_FLUSH_US (200 * MS_US)
/* Time for requests to arrive on the last connections that were accepted. */
#define STOP_LAST_READ_US (50 * MS_US)
/* Bounds the wait for callers that read their answers slowly. */
#define STOP_FLUSH_MAX_US (2 * SECOND_US)
#define STOP_FLUSH_CHECK_US (5 * MS_US)

struct NodeRun
{
  Node node;
  RpcServer *rpc;
  LoopTimer *stop;
  gint64 check_due_us; /* of the stop */
  gboolean check_late; /* the last one was */
  guint cut;
  gboolean leaving_before_stop; /* the target was leaving before the stop began */
  gboolean callers_aborted;     /* callers' requests were aborted as the target leaves */
  gboolean drained;             /* the sidecar accepts no new work */
  gboolean stop_at_once;
  gboolean ending;
  gint64 ending_us;      /* when `ending` began */
  gint64 flush_until_us; /* while `ending` */
};

static gint64
stop_age (const NodeRun *run)
{
  return clock_now (run->node.clock) - run->node.stop_began_us;
}

static guint
in_flight (const NodeRun *run)
{
  return ingress_active (run->node.ingress) + sidecar_active (run->node.sidecar);
}

/* Returns until when the process waits for the last answers to be written: a little
   longer than the stop may take, but not for long if that is far. */
static gint64
flush_end_us (const NodeRun *run)
{
  gint64 now = clock_now (run->node.clock);
  gint64 end = run->node.stop_began_us + run->node.settings->stop_us + STOP_FLUSH_US;

  return CLAMP (end, now + STOP_CHECK_US, now + STOP_FLUSH_MAX_US);
}

static void
drain_sidecar (NodeRun *run)
{
  run->drained = TRUE;
  sidecar_drain (run->node.sidecar);
}

static gint64
flush_left_us (const NodeRun *run)
{
  return run->flush_until_us - clock_now (run->node.clock);
}

/* Announces the leave to the fleet, and aborts the remaining requests. The loop keeps
   running, so that the last answers go out. */
static void
abort_remaining (NodeRun *run)
{
  members_leave (run->node.members);
  gossip_push (run->node.gossip);
  run->cut += ingress_abort (run->node.ingress) + sidecar_log_cut (run->node.sidecar);
  ingress_drain (run->node.ingress);
  ingress_stop_listening (run->node.ingress);
  if (!run->drained)
    drain_sidecar (run);
  run->ending = TRUE;
  run->ending_us = clock_now (run->node.clock);
  run->flush_until_us = flush_end_us (run);
  loop_timer_start (
      run->stop, MIN (run->cut ? STOP_FLUSH_US : STOP_LAST_READ_US, flush_left_us (run)));
}

/* Whether another node has still to receive an answer. The kernel drops what it has not
   sent if the process ends while calls lie unread on the connection. */
static gboolean
is_sending_to_nodes (const NodeRun *run)
{
  gint64 waited = clock_now (run->node.clock) - run->ending_us;

  return rpc_server_is_sending (run->rpc) ||
         (waited < STOP_FLUSH_US && rpc_server_has_unsent (run->rpc));
}

/* Whether a caller or another node has still to receive an answer. */
static gboolean
is_sending (const NodeRun *run)
{
  return ingress_active (run->node.ingress) > 0 ||
         ingress_is_sending (run->node.ingress) || is_sending_to_nodes (run);
}

static gboolean
waits_for_answers (const NodeRun *run)
{
  return is_sending (run) && flush_left_us (run) > 0;
}

static void
end (NodeRun *run)
{
  g_autofree char *cut = g_strdup_printf ("%u", run->cut);
  g_autofree char *unsent = g_strdup_printf ("%u", ingress_active (run->node.ingress));
  g_autofree char *age = g_strdup_printf ("%" G_GINT64_FORMAT, stop_age (run) / MS_US);

  traffic_log (run->node.traffic);
  log_event (run->cut ? G_LOG_LEVEL_WARNING : G_LOG_LEVEL_INFO, "stopped", "REQUESTS_CUT",
             cut, "ANSWERS_UNSENT", unsent, "STOP_MS", age, NULL);
  loop_quit (run->node.loop);
}

/*
 * A supervisor that removes a VM stops the VM's node once the target there has ended,
 * even if an earlier order is stopping the node already. It kills the node by the
 * deadline of the first order, but counts the grace period from the last one: requests
 * aborted after the last order count as aborted without need. Therefore a node whose
 * target begins to leave during the stop aborts its callers' requests as soon as
 * `cut_after_us` allows. Work at its own target, which belongs to other callers,
 * continues.
 */
static gboolean
may_abort_callers (const NodeRun *run)
{
  return !run->callers_aborted && !run->leaving_before_stop &&
         registry_is_leaving (run->node.registry) &&
         stop_age (run) >= run->node.settings->cut_after_us;
}

static void
abort_callers (NodeRun *run)
{
  log_event (G_LOG_LEVEL_INFO, "callers-aborted", NULL);
  run->callers_aborted = TRUE;
  run->cut += ingress_abort (run->node.ingress);
}

/* Returns the time until the next check. A check falls on the moment from which the node
   may abort its callers' requests, rather than up to STOP_CHECK_US later. */
static gint64
next_check_us (const NodeRun *run)
{
  gint64 until_abort = run->node.settings->cut_after_us - stop_age (run);

  return until_abort > 0 ? MIN (until_abort, STOP_CHECK_US) : STOP_CHECK_US;
}

static void
start_check_timer (NodeRun *run, gint64 wait_us)
{
  run->check_due_us = clock_now (run->node.clock) + wait_us;
  loop_timer_start (run->stop, wait_us);
}

/* Returns whether the check has to wait until the loop has read what arrived while the
   process did not run. Past the end of the stop that is granted once. */
static gboolean
defers_check (NodeRun *run)
{
  gboolean was_late = run->check_late;

  run->check_late = clock_now (run->node.clock) - run->check_due_us > STOP_LATE_US;
  return run->check_late && !(was_late && stop_age (run) >= run->node.settings->stop_us);
}

static void
on_stop_check (gpointer data)
{
  NodeRun *run = data;
  const Settings *settings = run->node.settings;
  gboolean quiet = in_flight (run) == 0 && !ingress_is_sending (run->node.ingress) &&
                   stop_age (run) >= MAX (STOP_LINGER_US, settings->linger_us);

  if (!run->ending && defers_check (run))
    {
      start_check_timer (run, STOP_CHECK_US);
      return;
    }
  if (stop_age (run) >= settings->linger_us - STOP_DRAIN_LEAD_US && !run->drained)
    drain_sidecar (run);
  if (stop_age (run) >= settings->linger_us)
    ingress_drain (run->node.ingress);
  if (may_abort_callers (run))
    abort_callers (run);
  if (run->ending && waits_for_answers (run))
    loop_timer_start (run->stop, STOP_FLUSH_CHECK_US);
  else if (run->ending)
    end (run);
  else if (quiet || run->stop_at_once || stop_age (run) >= run->node.settings->stop_us)
    abort_remaining (run);
  else
    start_check_timer (run, next_check_us (run));
}

void
node_run_stop (NodeRun *run)
{
  Node *node = &run->node;

  if (node->stopping)
    {
      log_event (G_LOG_LEVEL_INFO, "stopping-already", NULL);
      return;
    }
  node->stopping = TRUE;
  node->stop_began_us = clock_now (node->clock);
  node->work_until_us = node->stop_began_us + node->settings->stop_us - STOP_ANSWER_US;
  run->leaving_before_stop = registry_is_leaving (node->registry);
  log_event (G_LOG_LEVEL_INFO, "stopping", "TARGET_LEAVING",
             run->leaving_before_stop ? "yes" : "no", NULL);
  sidecar_close_queues (node->sidecar);
  if (node->settings->linger_us <= STOP_DRAIN_LEAD_US)
    drain_sidecar (run);
  ingress_begin_stop (node->ingress);
  if (node->settings->linger_us == 0)
    ingress_drain (node->ingress);
  start_check_timer (run, STOP_CHECK_US);
}

void
node_run_interrupt (NodeRun *run)
{
  if (run->node.stopping)
    run->stop_at_once = TRUE;
  else
    node_run_stop (run);
}

/* Returns a changed setting that takes effect only after a restart, or NULL. */
static const char *
needs_restart (const Settings *held, const Settings *fresh)
{
  if (strcmp (held->node, fresh->node) != 0 || strcmp (held->hall, fresh->hall) != 0)
    return "node or hall";
  if (strcmp (held->callers_address, fresh->callers_address) != 0 ||
      strcmp (held->nodes_address, fresh->nodes_address) != 0 ||
      strcmp (held->operators_address, fresh->operators_address) != 0)
    return "listen";
  if (strcmp (held->platform_address, fresh->platform_address) != 0)
    return "platform";
  return NULL;
}

static void
apply_defaults (Node *node, const Settings *settings)
{
  node->defaults = settings->defaults;
  if (node->adapter->apply_contracts)
    node->adapter->apply_contracts ((const char *const *)settings->platform_contracts,
                                    &node->defaults);
}

void
node_run_reload (NodeRun *run, const Settings *settings)
{
  Node *node = &run->node;

  apply_defaults (node, settings);
  log_set_threshold (settings->log);
  log_event (G_LOG_LEVEL_INFO, "reload", "NEEDS_RESTART",
             needs_restart (node->settings, settings), NULL);
}

static guint64
new_incarnation (void)
{
  guint64 number = 0;

  /* Random and not a counter, because a node stores nothing across restarts. */
  while (number == 0)
    apr_generate_random_bytes ((unsigned char *)&number, sizeof number);
  return number;
}

static void
on_quarantine_updates (gpointer data)
{
  gossip_schedule_quarantine_updates (((Node *)data)->gossip);
}

static gboolean
create_listeners (NodeRun *run, GError **error)
{
  Node *node = &run->node;
  RpcLimits limits = { PEER_CONNECTIONS_MAX, PEER_IDLE_US, node->memory };

  node->worker = worker_create (node->loop, error);
  if (!node->worker)
    return FALSE;
  node->gossip = gossip_create (node, error);
  if (!node->gossip)
    return FALSE;
  quarantine_node_set_notify (node->quarantine, on_quarantine_updates, node);
  run->rpc = rpc_server_create (node->loop, node->settings->nodes_address, &limits,
                                calls_handle, node, error);
  if (!run->rpc)
    return FALSE;
  node->ingress = ingress_create (node, error);
  if (!node->ingress)
    return FALSE;
  node->operators = operators_create (node, error);
  return node->operators != NULL;
}

/* Creates the listeners that only some deployments configure. */
static gboolean
create_optional_listeners (Node *node, GError **error)
{
  if (node->settings->registration_address)
    {
      node->registry = registry_create (node, error);
      if (!node->registry)
        return FALSE;
    }
  if (node->settings->metrics_address)
    {
      node->metrics_listener = metrics_listener_create (node, error);
      if (!node->metrics_listener)
        return FALSE;
    }
  if (!node->settings->readiness_address)
    return TRUE;
  node->readiness = readiness_create (node, error);
  return node->readiness != NULL;
}

/* Starts the parts that call the platform on their own. */
static void
start_platform (Node *node)
{
  if (node->adapter->vm_list)
    node->vm_list = vm_list_create (node);
  if (node->adapter->discovery_create)
    node->discovery = node->adapter->discovery_create (node);
  if (node->adapter->halls_create && node->settings->evacuations)
    node->halls = node->adapter->halls_create (node);
}

/* Counts and logs a long turn of the loop, because no request was served during it. */
static void
on_long_iteration (const LoopIteration *turn, gpointer data)
{
  Node *node = data;
  g_autofree char *cpu = g_strdup_printf ("%" G_GINT64_FORMAT, turn->cpu_us);
  g_autofree char *took = g_strdup_printf ("%" G_GINT64_FORMAT, turn->took_us);

  metrics_add (node->metrics, METRIC_LONG_TURNS, 1);
  metrics_raise (node->metrics, METRIC_LONGEST_TURN_US, (guint64)turn->cpu_us);
  log_event (G_LOG_LEVEL_INFO, "turn-long", "CPU_US", cpu, "TOOK_US", took, NULL);
}

NodeRun *
node_run_create (const Settings *settings,
                 const Adapter *adapter,
                 Clock *clock,
                 Loop *loop,
                 GError **error)
{
  NodeRun *run = g_new0 (NodeRun, 1);
  Node *node = &run->node;
  Member self = { .node = settings->node, .hall = settings->hall };

  node->settings = settings;
  node->adapter = adapter;
  apply_defaults (node, settings);
  node->clock = clock;
  node->loop = loop;
  node->rand = g_rand_new ();
  node->incarnation = new_incarnation ();
  node->started_us = clock_now (clock);
  node->fingerprints = fingerprint_key_create (settings->fleet_token);
  node->memory = mem_account_create (settings->held_max);
  node->metrics = metrics_create ();
  node->traffic = traffic_create (loop);
  node->events = events_create (clock);
  node->http = http_client_create (loop);
  self.address = settings->advertise_address;
  self.incarnation = node->incarnation;
  node->members = members_create (&self, (const char *const *)settings->peers,
                                  &members_timing_default, node->rand, clock);
  node->departures = departures_create (clock);
  node->list = fleet_list_create ();
  node->account_stats = account_stats_create (clock);
  node->allowances = allowances_create (node);
  node->balancer = balancer_create (settings->hall, node->rand, clock);
  node->peers = peers_create (node);
  node->reads = peer_reads_create (node);
  node->paths = path_probes_create (node);
  node->quarantine = quarantine_node_create (node);
  node->sidecar = sidecar_create (node);
  node->era = platform_era_create (node);
  node->config = config_sync_create (node);
  run->stop = loop_timer_create (loop, on_stop_check, run);
  if (create_listeners (run, error) && create_optional_listeners (node, error))
    {
      start_platform (node);
      loop_set_iteration_func (loop, on_long_iteration, node);
      return run;
    }
  node_run_destroy (run);
  return NULL;
}

void
node_run_destroy (NodeRun *run)
{
  Node *node = &run->node;

  loop_set_iteration_func (node->loop, NULL, NULL);
  /* Parts that run callbacks are destroyed before the parts that the callbacks use. */
  worker_destroy (node->worker);
  if (node->adapter->discovery_destroy)
    node->adapter->discovery_destroy (node->discovery);
  if (node->halls)
    node->adapter->halls_destroy (node->halls);
  readiness_destroy (node->readiness);
  metrics_listener_destroy (node->metrics_listener);
  operators_destroy (node->operators);
  rpc_server_destroy (run->rpc);
  peer_reads_destroy (node->reads);
  peers_destroy (node->peers);
  if (node->config)
    config_sync_unwatch (node->config);
  /* Calls that end when their peers are destroyed may still call the platform. */
  http_client_destroy (node->http);
  path_probes_destroy (node->paths);
  gossip_destroy (node->gossip);
  ingress_destroy (node->ingress);
  allowances_destroy (node->allowances);
  account_stats_destroy (node->account_stats);
  vm_list_destroy (node->vm_list);
  config_sync_destroy (node->config);
  platform_era_destroy (node->era);
  sidecar_destroy (node->sidecar);
  quarantine_node_destroy (node->quarantine);
  registry_destroy (node->registry);
  balancer_destroy (node->balancer);
  fleet_list_destroy (node->list);
  members_destroy (node->members);
  departures_destroy (node->departures);
  events_destroy (node->events);
  metrics_destroy (node->metrics);
  mem_account_unref (node->memory);
  traffic_destroy (node->traffic);
  fingerprint_key_destroy (node->fingerprints);
  loop_timer_destroy (run->stop);
  g_rand_free (node->rand);
  g_free (run);
}

guint
node_run_aborted (const NodeRun *run)
{
  return run->cut;
}
