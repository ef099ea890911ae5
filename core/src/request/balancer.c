#include "balancer-private.h"

#include <string.h>

Balancer *
balancer_create (const char *hall, GRand *rand, Clock *clock)
{
  Balancer *balancer = g_new0 (Balancer, 1);

  balancer->hall = g_strdup (hall);
  balancer->rand = rand;
  balancer->clock = clock;
  balancer->ingresses = 1;
  balancer->views = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  balancer->paths = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  balancer->statements = target_statements_create (clock);
  return balancer;
}

void
balancer_destroy (Balancer *balancer)
{
  if (!balancer)
    return;
  g_hash_table_unref (balancer->views);
  g_hash_table_unref (balancer->paths);
  target_statements_destroy (balancer->statements);
  g_free (balancer->hall);
  g_free (balancer);
}

TargetView *
balancer_view (Balancer *balancer, const char *target)
{
  TargetView *view = g_hash_table_lookup (balancer->views, target);

  if (view)
    return view;
  view = g_new0 (TargetView, 1);
  g_hash_table_insert (balancer->views, g_strdup (target), view);
  return view;
}

Path *
balancer_path (Balancer *balancer, const char *vm)
{
  Path *path = g_hash_table_lookup (balancer->paths, vm);

  if (path)
    return path;
  path = g_new0 (Path, 1);
  g_hash_table_insert (balancer->paths, g_strdup (vm), path);
  return path;
}

void
balancer_prune (Balancer *balancer, const Snapshot *snapshot)
{
  g_autoptr (GHashTable) named = g_hash_table_new (g_str_hash, g_str_equal);
  const GPtrArray *services = snapshot_services (snapshot);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  for (guint i = 0; i < services->len; i++)
    {
      const Service *service = g_ptr_array_index (services, i);

      for (guint j = 0; j < service->targets->len; j++)
        g_hash_table_add (named,
                          ((Target *)g_ptr_array_index (service->targets, j))->name);
    }
  g_hash_table_iter_init (&iter, balancer->views);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (((TargetView *)value)->outstanding == 0 && !g_hash_table_contains (named, key))
      g_hash_table_iter_remove (&iter);
}

gint64
balancer_trial_every_us (const Balancer *balancer, const char *hall)
{
  if (strcmp (hall, balancer->hall) == 0)
    return BALANCER_TRIAL_LOCAL_US;
  return BALANCER_TRIAL_OTHER_US * balancer->ingresses;
}

/*
 * Delays the first trial of a target that just became sick by a random time, because most
 * ingresses learn of it at the same moment.
 */
static void
note_severity (Balancer *balancer, TargetView *view, guint severity)
{
  gint64 interval_us = BALANCER_TRIAL_OTHER_US * balancer->ingresses;

  if (severity == 0 || view->report.severity > 0)
    return;
  view->trial_due_us = clock_now (balancer->clock) +
                       (gint64)(interval_us * g_rand_double_range (balancer->rand, 0, 1));
}

/* Remembers what the target has stated. An outdated report may come with an answer that
   is passed on now, so it counts unless it says that the target names no rate. */
static void
note_statements (Balancer *balancer, const TargetReport *report, gboolean outdated)
{
  if (!outdated || report->rate_state == NAMED_RATE_IN_FORCE)
    target_statements_note_rate (balancer->statements, report->target, report->rate_state,
                                 report->rate_per_s);
  if (report->announced_leaving)
    target_statements_note_leaving (balancer->statements, report->target);
}

void
balancer_note_report (Balancer *balancer, const TargetReport *report)
{
  TargetView *view = balancer_view (balancer, report->target);
  gboolean outdated = view->known && report->incarnation == view->report.incarnation &&
                      report->serial < view->report.serial;

  note_statements (balancer, report, outdated);
  /* Incarnations have no order, so a report of another incarnation replaces the view. */
  if (outdated)
    return;
  note_severity (balancer, view, report->severity);
  view->report = *report;
  view->report.target = NULL;
  view->known = TRUE;
  view->reported_us = clock_now (balancer->clock);
}

gboolean
balancer_named_rate (const Balancer *balancer, const char *target, double *per_s)
{
  return target_statements_rate (balancer->statements, target, per_s);
}

void
balancer_note_verdict (Balancer *balancer,
                       const char *target,
                       const TargetVerdict *verdict)
{
  TargetView *view = balancer_view (balancer, target);
  gboolean same = view->report.incarnation == verdict->incarnation;

  if (same && verdict->serial < view->report.serial)
    return;
  if (!same)
    view->report = (TargetReport){ .incarnation = verdict->incarnation };
  note_severity (balancer, view, verdict->severity);
  view->report.serial = verdict->serial;
  view->report.severity = verdict->severity;
  view->report.draining = verdict->draining;
  view->report.shedding = verdict->shedding;
  view->report.abrupt = verdict->abrupt;
}

void
balancer_set_member (Balancer *balancer,
                     const char *vm,
                     guint64 incarnation,
                     gboolean alive)
{
  Path *path = balancer_path (balancer, vm);

  /* A node that is new, restarted or back from the dead starts with a reset path. */
  if (alive && (path->dead || path->incarnation != incarnation))
    *path = (Path){ 0 };
  path->incarnation = incarnation;
  path->dead = !alive;
}

void
balancer_set_ingresses (Balancer *balancer, guint count)
{
  balancer->ingresses = MAX (count, 1);
}

void
balancer_note_path (Balancer *balancer, const char *vm, gboolean answered)
{
  path_note (balancer_path (balancer, vm), answered, clock_now (balancer->clock));
}

void
balancer_set_path (Balancer *balancer, const char *vm, gboolean open)
{
  Path *path = balancer_path (balancer, vm);

  path->closed = !open;
  if (open)
    path_note (path, TRUE, clock_now (balancer->clock));
}

void
balancer_doubt_path (Balancer *balancer, const char *vm)
{
  path_doubt (balancer_path (balancer, vm), clock_now (balancer->clock));
}

gboolean
balancer_is_current (const TargetView *view, const Path *path)
{
  return path->incarnation == 0 || view->report.incarnation == path->incarnation;
}

gboolean
balancer_is_leaving (const Balancer *balancer,
                     const char *target,
                     const TargetView *view,
                     const Path *path)
{
  return (balancer_is_current (view, path) && view->report.draining) ||
         target_statements_is_leaving (balancer->statements, target);
}

static void
fill_items (Balancer *balancer, const Service *service, EjectItem *items)
{
  gint64 now = clock_now (balancer->clock);

  for (guint i = 0; i < service->targets->len; i++)
    {
      const Target *target = g_ptr_array_index (service->targets, i);
      const TargetView *view = balancer_view (balancer, target->name);
      const Path *path = balancer_path (balancer, target->vm);
      gboolean current = balancer_is_current (view, path);
      gboolean use_severity = current && service->detection != DETECTION_OFF;

      items[i].name = target->name;
      items[i].slots = target->slots;
      items[i].severity = use_severity ? view->report.severity : 0;
      items[i].available = target->state == TARGET_SERVING &&
                           !balancer_is_leaving (balancer, target->name, view, path) &&
                           path_usable (path, now);
    }
}

/* Returns the number of slots that ejections must leave: the larger of the configured
   number and the configured percentage of the serving targets' slots. */
static guint
floor_of (const Service *service)
{
  guint share = (service_slots (service) * service->floor_percent + 99) / 100;

  return MAX (service->floor_slots, share);
}

guint
balancer_apply_ejections (Balancer *balancer, const Service *service, EjectItem *items)
{
  fill_items (balancer, service, items);
  return eject_apply (items, service->targets->len, floor_of (service));
}

void
balancer_attempt_started (Balancer *balancer, const char *target)
{
  balancer_view (balancer, target)->outstanding++;
}

void
balancer_attempt_ended (Balancer *balancer, const char *target)
{
  TargetView *view = balancer_view (balancer, target);

  if (view->outstanding > 0)
    view->outstanding--;
}
