#include "config-sync-private.h"

#include <string.h>

#include "gossip.h"
#include "log.h"
#include "sidecar.h"

/* A read from another node that takes longer is logged. */
#define READ_LATE_US (250 * MS_US)
/* Bytes of replaced parts that are kept for nodes which still fetch them. */
#define HISTORY_BYTES_MAX (2u * 1024 * 1024)
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

void
config_sync_apply_reading (ConfigSync *sync, const ConfigReading *reading)
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
      config_watch_has_settled (sync))
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
  config_sync_apply_reading (sync, reading);
  config_delegate_note_answer (sync->delegate, reading->outcome != CONFIG_READ_FAILED);
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
  sync->holders = g_ptr_array_new_with_free_func (g_free);
  sync->announcers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  sync->poll = loop_timer_create (node->loop, on_poll_timer, sync);
  sync->watch = loop_timer_create (node->loop, config_watch_check, sync);
  sync->far = loop_timer_create (node->loop, config_request_far_head, sync);
  sync->start = loop_timer_create (node->loop, config_start_round, sync);
  sync->fetch = loop_timer_create (node->loop, config_fetch_batch, sync);
  sync->compose = loop_timer_create (node->loop, on_compose, sync);
  sync->delegate = config_delegate_create (sync);
  loop_timer_start (sync->start, 0);
  config_watch_start (sync);
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
  config_delegate_destroy (sync->delegate);
  config_fetch_destroy (sync);
  part_history_destroy (sync->history);
  g_hash_table_unref (sync->parts);
  g_hash_table_unref (sync->announcers);
  g_ptr_array_unref (sync->holders);
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
