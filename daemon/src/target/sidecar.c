#include "sidecar-private.h"

#include <string.h>
#include <unistd.h>

#include "adapter.h"
#include "attempt-id.h"
#include "log.h"
#include "registry.h"
#include "verdicts.h"

/* Interval between checks of verdicts, waiting requests and overdue requests. */
#define SWEEP_US (50 * MS_US)

void
sidecar_stamp (const Sidecar *sidecar, sw_stamp *stamp)
{
  stamp->node = sidecar->node->settings->node;
  stamp->incarnation = fence_incarnation (sidecar->fence);
  stamp->clock_us = (guint64)clock_now (sidecar->node->clock);
}

void
sidecar_publish (Sidecar *sidecar)
{
  verdicts_publish (sidecar->node, sidecar->targets, sidecar->draining);
}

/* Returns why the requests waiting at a target must be refused now, so that they can go
   elsewhere; SW_REASON_NONE if they may go on waiting. */
static sw_reason
queue_refusal_reason (const Sidecar *sidecar, const SidecarTarget *target)
{
  if (sidecar->queues_closed || sidecar_target_is_leaving (target, sidecar->draining))
    return SW_REASON_DRAINING;
  return target->state == TARGET_EVACUATED ? SW_REASON_EVACUATED : SW_REASON_NONE;
}

/* Returns why a submission that waits must be refused: `reason` at `target`, elsewhere by
   the state of its target. */
static sw_reason
waiting_refusal_reason (const Submission *submission,
                        const SidecarTarget *target,
                        sw_reason reason)
{
  return submission->target == target
             ? reason
             : queue_refusal_reason (submission->sidecar, submission->target);
}

void
sidecar_refuse_queued (Sidecar *sidecar, const SidecarTarget *target, sw_reason reason)
{
  g_autoptr (GPtrArray) waiting = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, sidecar->submissions);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const Submission *submission = key;

      if (!submission->running &&
          waiting_refusal_reason (submission, target, reason) != SW_REASON_NONE)
        g_ptr_array_add (waiting, key);
    }
  for (guint i = 0; i < waiting->len; i++)
    {
      Submission *submission = g_ptr_array_index (waiting, i);

      admission_withdraw (submission->target->admission, submission);
      submission_refuse (submission, waiting_refusal_reason (submission, target, reason));
    }
}

static void
refuse_queued (Sidecar *sidecar)
{
  sidecar_refuse_queued (sidecar, NULL, SW_REASON_NONE);
}

static void
on_sweep (gpointer data)
{
  Sidecar *sidecar = data;
  gint64 now = clock_now (sidecar->node->clock);
  g_autoptr (GList) running = NULL;
  GHashTableIter iter;
  gpointer value;

  /* Iterates over a copy of the keys, so that the set may change during the checks. */
  running = g_hash_table_get_keys (sidecar->submissions);
  for (GList *item = running; item; item = item->next)
    {
      if (!g_hash_table_contains (sidecar->submissions, item->data))
        continue;
      submission_expire_waiters (item->data, now);
      submission_check_overdue (item->data, now);
    }
  sidecar_holds_expire (sidecar->holds);
  quarantine_node_tick (sidecar->node->quarantine);
  g_hash_table_iter_init (&iter, sidecar->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      SidecarTarget *target = value;

      submission_start_queued (target);
      target_calls_tick (target->calls,
                         sidecar_target_is_leaving (target, sidecar->draining));
    }
  sidecar_publish (sidecar);
  loop_timer_start (sidecar->sweep, SWEEP_US);
}

static gboolean
has_older_request (const char *target, gint64 before_us, gpointer data)
{
  const Sidecar *sidecar = data;
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, sidecar->submissions);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const Submission *submission = key;

      if (submission->running && submission->started_us < before_us &&
          strcmp (submission->target->name, target) == 0)
        return TRUE;
    }
  return FALSE;
}

static void
on_target_crashed (const char *service, const GArray *requests, gpointer data)
{
  const Node *node = ((Sidecar *)data)->node;

  quarantine_node_note_end (node->quarantine, service, registry_version (node->registry),
                            requests);
}

static void
on_trial_broken (const Fingerprints *prints, gpointer data)
{
  quarantine_node_trial_undecided (((Sidecar *)data)->node->quarantine, prints);
}

static void
on_connected (const char *target, int fd, gpointer data)
{
  const Sidecar *sidecar = data;
  const SidecarTarget *held = g_hash_table_lookup (sidecar->targets, target);

  if (held)
    target_calls_adopt (held->calls, fd);
  else
    close (fd);
}

static const CrashWatchOwner crash_watch_owner = { has_older_request, on_connected,
                                                   on_target_crashed, on_trial_broken };

Sidecar *
sidecar_create (Node *node)
{
  const Settings *settings = node->settings;
  FenceLimits limits = { settings->fence_window_us, settings->fence_entries_max,
                         settings->fence_answers_max };
  Sidecar *sidecar = g_new0 (Sidecar, 1);

  sidecar->node = node;
  sidecar->fence = fence_create (&limits, node->incarnation, node->clock);
  sidecar->targets = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                            (GDestroyNotify)sidecar_target_destroy);
  sidecar->submissions = g_hash_table_new (NULL, NULL);
  sidecar->latencies = latency_stats_create ();
  sidecar->budgets = sidecar_budgets_create (node);
  sidecar->holds = sidecar_holds_create (node->clock);
  sidecar->ends = crash_watches_create (node, &crash_watch_owner, sidecar);
  sidecar->sweep = loop_timer_create (node->loop, on_sweep, sidecar);
  loop_timer_start (sidecar->sweep, SWEEP_US);
  return sidecar;
}

void
sidecar_destroy (Sidecar *sidecar)
{
  GHashTableIter iter;
  gpointer key;

  if (!sidecar)
    return;
  loop_timer_destroy (sidecar->sweep);
  for (;;)
    {
      g_hash_table_iter_init (&iter, sidecar->submissions);
      if (!g_hash_table_iter_next (&iter, &key, NULL))
        break;
      submission_free (key);
    }
  g_hash_table_unref (sidecar->submissions);
  sidecar_holds_destroy (sidecar->holds);
  crash_watches_destroy (sidecar->ends);
  g_hash_table_unref (sidecar->targets);
  latency_stats_destroy (sidecar->latencies);
  sidecar_budgets_destroy (sidecar->budgets);
  fence_destroy (sidecar->fence);
  g_free (sidecar);
}

static void
apply_target (Sidecar *sidecar, const Service *service, const Target *config)
{
  SidecarTarget *target = g_hash_table_lookup (sidecar->targets, config->name);

  if (target)
    {
      sidecar_target_update (target, service, config, sidecar->node->clock);
      return;
    }
  target = sidecar_target_create (sidecar->node, service, config);
  g_hash_table_insert (sidecar->targets, target->name, target);
}

void
sidecar_apply (Sidecar *sidecar, const Snapshot *snapshot)
{
  const GPtrArray *services = snapshot_services (snapshot);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, sidecar->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((SidecarTarget *)value)->present = FALSE;
  for (guint i = 0; i < services->len; i++)
    {
      const Service *service = g_ptr_array_index (services, i);

      for (guint j = 0; j < service->targets->len; j++)
        {
          const Target *target = g_ptr_array_index (service->targets, j);

          if (strcmp (target->vm, sidecar->node->settings->node) == 0)
            apply_target (sidecar, service, target);
        }
    }
  /* A target removed from the configuration is kept while requests run or wait there. */
  g_hash_table_iter_init (&iter, sidecar->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      SidecarTarget *target = value;

      if (!target->present && admission_in_use (target->admission) == 0 &&
          admission_queued (target->admission) == 0)
        g_hash_table_iter_remove (&iter);
    }
  refuse_queued (sidecar);
  sidecar_publish (sidecar);
}

void
sidecar_note_cold (Sidecar *sidecar, const char *target, gint64 cold_us)
{
  SidecarTarget *held = g_hash_table_lookup (sidecar->targets, target);

  if (held)
    sidecar_target_note_cold (held, cold_us);
}

sw_reason
sidecar_no_room (SidecarTarget *target, const Sidecar *sidecar)
{
  Metrics *metrics = sidecar->node->metrics;

  if (start_limit_named_is_used_up (target->start_limit))
    {
      shedding_note (target->shedding);
      metrics_add (metrics, METRIC_NAMED_RATE_REFUSED, 1);
      return SW_REASON_RATE_LIMITED;
    }
  if (start_limit_is_cold (target->start_limit))
    metrics_add (metrics, METRIC_COLD_REFUSED, 1);
  return SW_REASON_OVERLOAD;
}

/* Returns whether a target may already have received this request, or the request for
   which it is made. */
static gboolean
is_repeat (const Submission *submission)
{
  return submission->args.retry == RETRY_FURTHER_ATTEMPT ||
         submission->args.retry == RETRY_INHERITED;
}

SidecarCallContext
sidecar_call_context (const Sidecar *sidecar, const char *id)
{
  const Dialect *dialect = sidecar->node->adapter->dialect;
  SidecarCallContext terms = { FALSE, CONFIG_ACCOUNT_PRIORITIES - 1 };
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, sidecar->submissions);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const Submission *submission = key;

      if (!submission->running || !dialect->carries (&submission->args, id))
        continue;
      terms.repeat |= is_repeat (submission);
      terms.account_priority =
          MIN (terms.account_priority, submission->args.priority / CONFIG_PRIORITIES);
    }
  return terms;
}

void
sidecar_states (Sidecar *sidecar, sw_hello_res *res)
{
  GHashTableIter iter;
  gpointer value;

  res->states.states_val = g_new0 (sw_target_state, SW_STATES_MAX);
  g_hash_table_iter_init (&iter, sidecar->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value) &&
         res->states.states_len < SW_STATES_MAX)
    sidecar_target_state (value, sidecar->draining,
                          &res->states.states_val[res->states.states_len++]);
}

void
sidecar_close_queues (Sidecar *sidecar)
{
  sidecar->queues_closed = TRUE;
  refuse_queued (sidecar);
}

void
sidecar_drain (Sidecar *sidecar)
{
  sidecar->draining = TRUE;
  refuse_queued (sidecar);
  sidecar_publish (sidecar);
}

guint
sidecar_active (const Sidecar *sidecar)
{
  return g_hash_table_size (sidecar->submissions);
}

guint
sidecar_log_cut (const Sidecar *sidecar)
{
  gint64 now = clock_now (sidecar->node->clock);
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, sidecar->submissions);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const Submission *submission = key;
      g_autofree char *attempt = attempt_id_text (&submission->args.attempt);
      g_autofree char *ran =
          submission->running
              ? g_strdup_printf ("%" G_GINT64_FORMAT, now - submission->started_us)
              : NULL;

      log_event (G_LOG_LEVEL_WARNING, "attempt-cut", "ATTEMPT", attempt, "TARGET",
                 submission->target->name, "RAN_US", ran, NULL);
    }
  return sidecar_active (sidecar);
}

void
sidecar_write_status (Sidecar *sidecar, JsonBuilder *builder)
{
  verdicts_write (sidecar->targets, sidecar->draining, builder);
}
