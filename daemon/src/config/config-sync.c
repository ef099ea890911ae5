#include "config-sync-private.h"

#include <string.h>

#include "gossip.h"
#include "log.h"
#include "sidecar.h"

/* A read from another node that takes longer is logged. */
#define READ_LATE_US (250 * MS_US)
/* Bytes of replaced parts that are kept for nodes which still fetch them. */
#define HISTORY_BYTES_MAX (2u * 1024 * 1024)
/* Interval at which a node that does not watch checks whether it has to. */
#define WATCHER_CHECK_INTERVAL_US (1 * SECOND_US)
/* Interval at which a node that watches checks whether it still has to. It must end
   before a newly started node, which waits for WATCH_SETTLE_US, takes its place. */
#define WATCHING_CHECK_INTERVAL_US (200 * MS_US)
/* A starting node knows no other members and would rank itself as a watcher; after this
   time gossip has named the members of its hall. Changes made meanwhile are not missed,
   because the watch starts after the revision that the node has read. */
#define WATCH_SETTLE_US (1500 * MS_US)
/* The same for a fleet's first start, until the platform's list names the other nodes. */
#define WATCH_SETTLE_FIRST_US (10 * SECOND_US)
/* A node that has heard no other for this time watches whatever its rank is: nodes hear
   others every second, and those that outrank it by the platform's list may be gone. */
#define UNHEARD_US (2 * SECOND_US)
/* Minimum numbers of nodes that watch the store, in each hall and in the whole fleet.
   If a third of the nodes lose the store, all of nine watchers are among them in one of
   12,000 cases. The other nodes hear of changes by gossip, within a second at 30 nodes.
   With a watch at each of 353 nodes, a quiet 40 s took 2,859 calls, most of them for
   changes and renewals. */
#define WATCHERS_PER_HALL 2u
#define WATCHERS_MIN 9u
/* Backoff of failed watches: 125 ms, doubled up to one second. */
#define WATCH_BACKOFF_FIRST_US (125 * MS_US)
#define WATCH_DOUBLINGS_MAX 3u
/* Every node polls the head at this interval, in case gossip has not reached it. */
#define POLL_INTERVAL_MIN_US (60 * SECOND_US)
/* Minimum mean interval between the polls of all nodes together, so that the load on the
   store does not grow with the fleet. */
#define FLEET_POLL_INTERVAL_US (500 * MS_US)

Snapshot *
config_sync_snapshot (const ConfigSync *sync)
{
  return sync->snapshot;
}

gint64
config_sync_age_us (const ConfigSync *sync)
{
  return clock_now (sync->node->clock) - sync->applied_us;
}

gboolean
config_sync_ready (const ConfigSync *sync)
{
  return sync->ready;
}

void
config_sync_note_read (ConfigSync *sync, const ConfigPeerRead *read)
{
  gint64 took_us = clock_now (sync->node->clock) - read->began_us;
  g_autofree char *took = NULL;
  g_autofree char *held = NULL;
  g_autofree char *wanted = NULL;

  if (read->outcome == RPC_OK && took_us < READ_LATE_US)
    return;
  took = g_strdup_printf ("%" G_GINT64_FORMAT, took_us);
  held = g_strdup_printf ("%" G_GUINT64_FORMAT, snapshot_generation (sync->snapshot));
  wanted = g_strdup_printf ("%" G_GUINT64_FORMAT,
                            sync->wanted ? sync->wanted->generation : (guint64)0);
  metrics_add (sync->node->metrics, METRIC_CONFIG_READS_LATE, 1);
  log_event (G_LOG_LEVEL_INFO, read->event, "SUBJECT", read->subject, "VM", read->vm,
             "OUTCOME", rpc_outcome_name (read->outcome), "TOOK_US", took, "HELD", held,
             "WANTED", wanted, NULL);
}

gint64
config_sync_patience_us (const ConfigSync *sync, gint64 most_us)
{
  return MIN (most_us, sync->node->settings->apply_us / 2);
}

void
config_sync_compose (ConfigSync *sync)
{
  Node *node = sync->node;
  Snapshot *snapshot = snapshot_with_targets (
      sync->base, directory_targets (sync->directory), sync->evacuations);

  snapshot_unref (sync->snapshot);
  sync->snapshot = snapshot;
  balancer_prune (node->balancer, snapshot);
  sidecar_apply (node->sidecar, snapshot);
}

void
config_sync_set_registration (ConfigSync *sync,
                              const char *vm,
                              const char *hall,
                              const Registration *registration)
{
  if (!directory_set (sync->directory, vm, hall, registration))
    return;
  if (strcmp (vm, sync->node->settings->node) == 0)
    config_sync_compose (sync);
  else
    loop_timer_start (sync->compose, 0);
}

/* A joining node receives thousands of registrations in one message. They are applied in
   one rebuild, because the cost of each rebuild grows with their number: for 1,200 nodes,
   one rebuild for each took 324 ms. */
static void
on_compose (gpointer data)
{
  config_sync_compose (data);
}

static void
keep_replaced_parts (ConfigSync *sync, const Snapshot *fresh)
{
  g_autoptr (GPtrArray) replaced = snapshot_replaced_parts (sync->base, fresh);

  for (guint i = 0; i < replaced->len; i++)
    {
      ConfigPart *part = g_ptr_array_index (replaced, i);

      part_history_add (sync->history, config_part_digest (part),
                        config_part_packed (part));
    }
}

void
config_sync_apply (ConfigSync *sync)
{
  Node *node = sync->node;
  Snapshot *base = snapshot_create (sync->wanted, sync->parts);
  g_autofree char *generation = NULL;

  if (!base)
    return;
  keep_replaced_parts (sync, base);
  snapshot_unref (sync->base);
  sync->base = base;
  g_free (sync->head_text);
  sync->head_text = g_steal_pointer (&sync->wanted_text);
  g_hash_table_remove_all (sync->parts);
  config_fetch_reset (sync);
  sync->ready = TRUE;
  sync->applied_us = clock_now (node->clock);
  config_sync_compose (sync);
  metrics_add (node->metrics, METRIC_CONFIG_APPLIED, 1);
  metrics_set (node->metrics, METRIC_CONFIG_GENERATION, snapshot_generation (base));
  generation = g_strdup_printf ("%" G_GUINT64_FORMAT, snapshot_generation (base));
  events_add (node->events, "config-applied", generation, NULL);
  gossip_push (node->gossip);
  config_fetch_next (sync);
}

static gboolean
has_settled (const ConfigSync *sync)
{
  const Node *node = sync->node;
  gint64 age = clock_now (node->clock) - sync->created_us;

  if (node->settings->first_start && !fleet_list_is_read (node->list) &&
      age < WATCH_SETTLE_FIRST_US)
    return FALSE;
  return age >= WATCH_SETTLE_US;
}

static void
apply_reading (ConfigSync *sync, const ConfigReading *reading)
{
  for (guint i = 0; reading->parts && i < reading->parts->len; i++)
    {
      ConfigPart *part = g_ptr_array_index (reading->parts, i);

      g_hash_table_insert (sync->parts, g_strdup (config_part_digest (part)),
                           config_part_ref (part));
    }
  if (reading->outcome == CONFIG_READ_HEAD)
    config_fetch_start_if_newer (sync, reading->head, reading->head_len, NULL);
  if (!sync->wanted)
    g_hash_table_remove_all (sync->parts);
  /* From here on a watch reports changes sooner than the next poll would. */
  if ((reading->outcome == CONFIG_READ_HEAD || reading->outcome == CONFIG_READ_NONE) &&
      has_settled (sync))
    loop_timer_start (sync->watch, 0);
  if ((reading->outcome == CONFIG_READ_NONE && sync->kind->serves_empty) ||
      (reading->outcome == CONFIG_READ_HEAD && !sync->wanted))
    sync->ready = TRUE;
}

static void
on_polled (const ConfigReading *reading, gpointer data)
{
  ConfigSync *sync = data;

  sync->polling = FALSE;
  apply_reading (sync, reading);
}

void
config_sync_poll (ConfigSync *sync)
{
  if (sync->polling)
    return;
  sync->polling = TRUE;
  sync->kind->read (sync->source_data, on_polled, sync);
}

/* Returns the mean interval between a node's polls for the fleet size that it knows. */
static gint64
poll_interval_us (const ConfigSync *sync)
{
  return MAX (POLL_INTERVAL_MIN_US,
              FLEET_POLL_INTERVAL_US * (gint64)members_count_alive (sync->node->members));
}

/* The first delay is jittered too: 79 nodes that had started together read 400 KB each in
   the same second, and 111 of 189 requests of that second were late. */
static void
start_poll_timer (ConfigSync *sync)
{
  double jitter = g_rand_double_range (sync->node->rand, 0.5, 1.5);

  loop_timer_start (sync->poll, (gint64)((double)poll_interval_us (sync) * jitter));
}

/* Skips the poll if the delay was drawn while few other nodes were known, and draws a new
   delay for the present fleet size. */
static void
on_poll_timer (gpointer data)
{
  ConfigSync *sync = data;
  gint64 now = clock_now (sync->node->clock);
  gboolean due = now - sync->polled_us >= poll_interval_us (sync) / 2;

  start_poll_timer (sync);
  if (!due)
    return;
  sync->polled_us = now;
  config_sync_poll (sync);
}

/* What decides whether this node watches, in its view of the members. */
typedef struct
{
  guint rank;  /* of this node in its hall */
  guint halls; /* in the fleet */
} WatchRank;

/* Nodes are ranked by a hash of their names (rendezvous hashing), so that those with the
   same view of the members agree on the watchers of each hall. */
static WatchRank
watch_rank (const ConfigSync *sync)
{
  const Members *members = sync->node->members;
  const FleetList *list = sync->node->list;
  guint halls = members_count_halls (members);
  guint rank = members_rank_in_hall (members);

  /* When 981 nodes start at once, each of them knows only a few members. The rank and the
     halls by the platform's list as well make them agree on the watchers. */
  if (members_is_starting_up (members))
    {
      halls = MAX (halls, fleet_list_count_halls (list));
      rank = MAX (rank, fleet_list_rank_in_hall (list, members_self (members)->node,
                                                 members_self (members)->hall));
    }
  return (WatchRank){ rank, halls };
}

static guint
watchers_per_hall (WatchRank own)
{
  return MAX (WATCHERS_PER_HALL, (WATCHERS_MIN + own.halls - 1) / own.halls);
}

static gboolean
is_among_watchers (WatchRank own)
{
  return own.rank < watchers_per_hall (own);
}

static gboolean
hears_no_other (const ConfigSync *sync)
{
  return clock_now (sync->node->clock) - sync->heard_us > UNHEARD_US;
}

gboolean
config_sync_is_watcher (const ConfigSync *sync)
{
  return has_settled (sync) &&
         (is_among_watchers (watch_rank (sync)) || hears_no_other (sync));
}

/* The watchers take turns hall by hall: first the first of each hall, then the second. A
   change is in force at all nodes at about the same time, which is their common moment.
 */
WatchTimes
config_sync_watch_times (const ConfigSync *sync)
{
  const Node *node = sync->node;
  WatchRank own = watch_rank (sync);
  WatchBounds bounds = { node->settings->apply_us, sync->kind->watch_most_us };
  WatchPlace place = { .watchers = MIN (watchers_per_hall (own) * own.halls,
                                        members_count_alive (node->members)),
                       .place = own.rank * own.halls +
                                members_count_halls_before (node->members),
                       .since_us = sync->applied_us };

  return watch_times_next (&place, &bounds, clock_now (node->clock));
}

/* Logs when this node begins or ceases to be a watcher, and what its view of the members
   was. */
static void
log_watcher (const ConfigSync *sync, gboolean is_watcher)
{
  WatchRank own = watch_rank (sync);
  g_autofree char *rank = g_strdup_printf ("%u", own.rank);
  g_autofree char *halls = g_strdup_printf ("%u", own.halls);
  g_autofree char *alive =
      g_strdup_printf ("%u", members_count_alive (sync->node->members));

  log_event (G_LOG_LEVEL_INFO, is_watcher ? "watcher-begins" : "watcher-ends", "RANK",
             rank, "HALLS", halls, "ALIVE", alive, NULL);
}

gint64
config_sync_watch_backoff_us (const ConfigSync *sync, guint failures)
{
  double jitter = g_rand_double_range (sync->node->rand, 0.5, 1.5);
  gint64 pause;

  if (failures == 0)
    return 0;
  pause = WATCH_BACKOFF_FIRST_US << MIN (failures - 1, WATCH_DOUBLINGS_MAX);
  return (gint64)((double)pause * jitter);
}

static void
on_watched (const ConfigReading *reading, gpointer data)
{
  ConfigSync *sync = data;
  /* The platform answers at once for a missing object, so that a watch without a delay
     would spin. */
  gboolean failed =
      reading->outcome == CONFIG_READ_FAILED || reading->outcome == CONFIG_READ_NONE;

  sync->watching = FALSE;
  apply_reading (sync, reading);
  sync->watch_failures = failed ? sync->watch_failures + 1 : 0;
  loop_timer_start (sync->watch,
                    config_sync_watch_backoff_us (sync, sync->watch_failures));
}

void
config_sync_unwatch (ConfigSync *sync)
{
  if (sync->watching && sync->kind->unwatch (sync->source_data))
    sync->watching = FALSE;
}

static void
on_watch_timer (gpointer data)
{
  ConfigSync *sync = data;
  gboolean is_watcher = config_sync_is_watcher (sync);
  WatchTimes times;

  /* Until the others are known, nobody can be heard. */
  if (!has_settled (sync))
    sync->heard_us = clock_now (sync->node->clock);
  if (is_watcher != sync->is_watcher)
    log_watcher (sync, is_watcher);
  sync->is_watcher = is_watcher;
  if (!is_watcher)
    {
      config_sync_unwatch (sync);
      loop_timer_start (sync->watch, WATCHER_CHECK_INTERVAL_US);
      return;
    }
  loop_timer_start (sync->watch, WATCHING_CHECK_INTERVAL_US);
  if (sync->watching)
    return;
  sync->watching = TRUE;
  times = config_sync_watch_times (sync);
  sync->kind->watch (sync->source_data, &times, on_watched, sync);
}

ConfigSync *
config_sync_create (Node *node)
{
  ConfigSync *sync = g_new0 (ConfigSync, 1);

  sync->node = node;
  sync->kind = node->adapter->config;
  sync->source_data = sync->kind->create (node);
  sync->base = snapshot_create_empty ();
  sync->snapshot = snapshot_create_empty ();
  sync->directory = directory_create ();
  sync->evacuations = evacuations_create ();
  sync->created_us = clock_now (node->clock);
  sync->polled_us = sync->created_us;
  sync->heard_us = sync->created_us;
  sync->parts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                       (GDestroyNotify)config_part_unref);
  sync->history =
      part_history_create (node->clock, node->settings->apply_us, HISTORY_BYTES_MAX);
  sync->announcers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  sync->poll = loop_timer_create (node->loop, on_poll_timer, sync);
  sync->watch = loop_timer_create (node->loop, on_watch_timer, sync);
  sync->far = loop_timer_create (node->loop, config_request_far_head, sync);
  sync->start = loop_timer_create (node->loop, config_start_round, sync);
  sync->fetch = loop_timer_create (node->loop, config_fetch_batch, sync);
  sync->compose = loop_timer_create (node->loop, on_compose, sync);
  loop_timer_start (sync->start, 0);
  loop_timer_start (sync->watch, WATCH_SETTLE_US);
  start_poll_timer (sync);
  return sync;
}

void
config_sync_destroy (ConfigSync *sync)
{
  if (!sync)
    return;
  loop_timer_destroy (sync->poll);
  loop_timer_destroy (sync->watch);
  loop_timer_destroy (sync->start);
  loop_timer_destroy (sync->far);
  g_free (sync->far_source);
  loop_timer_destroy (sync->fetch);
  loop_timer_destroy (sync->compose);
  config_fetch_destroy (sync);
  part_history_destroy (sync->history);
  g_hash_table_unref (sync->parts);
  g_hash_table_unref (sync->announcers);
  snapshot_unref (sync->snapshot);
  snapshot_unref (sync->base);
  directory_destroy (sync->directory);
  evacuations_destroy (sync->evacuations);
  sync->kind->destroy (sync->source_data);
  g_free (sync->head_text);
  g_free (sync);
}

void
config_sync_answer_head (ConfigSync *sync, sw_head_res *res)
{
  res->generation = snapshot_generation (sync->snapshot);
  res->head.head_val = sync->head_text ? sync->head_text : "";
  res->head.head_len = (u_int)strlen (res->head.head_val);
}

void
config_sync_answer_part (ConfigSync *sync, const sw_part_args *args, sw_part_res *res)
{
  ConfigPart *part = snapshot_part_by_digest (sync->snapshot, args->digest);
  GBytes *packed =
      part ? config_part_packed (part) : part_history_find (sync->history, args->digest);
  gsize len = 0;

  if (!packed)
    return;
  res->found = TRUE;
  res->part.part_val = (char *)g_bytes_get_data (packed, &len);
  res->part.part_len = (u_int)len;
}
