#include <core/balancer.h>

#include <string.h>

#include <core/eject.h>
#include "path.h"

/* Each ejected target is offered about one trial in so long, by all ingresses together.
 */
#define TRIAL_EVERY_US (SECOND_US / 2)
/* Above this share of its slots in use, a hall's pick is weighed against other halls. */
#define SPILL_PERCENT 80u
/* Of trials that could not be repeated should they fail, this share is made. */
#define LATE_SHARE 0.5
#define LATENCY_UNKNOWN_US 1000u
/* Slow targets that stay for the floor help out when the others are loaded so far. */
#define FULL_LOAD 1.5
#define RETRY_AFTER_US SECOND_US
#define MEDIAN_SAMPLES_MIN 10u

typedef struct
{
  TargetReport report; /* `target` unused */
  gboolean known;
  guint outstanding; /* this ingress's own, on their way */
  gint64 trial_due_us;
} View;

struct Balancer
{
  char *hall;
  GRand *rand;
  Clock *clock;
  GHashTable *views; /* target → View */
  GHashTable *paths; /* node → Path */
  guint ingresses;
};

/* One target of the service being chosen from. */
typedef struct
{
  const Target *target;
  View *view;
  gboolean local;
} Candidate;

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
  return balancer;
}

void
balancer_destroy (Balancer *balancer)
{
  if (!balancer)
    return;
  g_hash_table_unref (balancer->views);
  g_hash_table_unref (balancer->paths);
  g_free (balancer->hall);
  g_free (balancer);
}

static View *
view_of (Balancer *balancer, const char *target)
{
  View *view = g_hash_table_lookup (balancer->views, target);

  if (view)
    return view;
  view = g_new0 (View, 1);
  g_hash_table_insert (balancer->views, g_strdup (target), view);
  return view;
}

static Path *
path_of (Balancer *balancer, const char *vm)
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
    if (((View *)value)->outstanding == 0 && !g_hash_table_contains (named, key))
      g_hash_table_iter_remove (&iter);
}

/*
 * A target has just been found sick: most ingresses hear of it at once, so that each
 * takes a place of its own in the order of first trials.
 */
static void
note_severity (Balancer *balancer, View *view, guint severity)
{
  gint64 every = TRIAL_EVERY_US * balancer->ingresses;

  if (severity == 0 || view->report.severity > 0)
    return;
  view->trial_due_us = clock_now (balancer->clock) +
                       (gint64)(every * g_rand_double_range (balancer->rand, 0, 1));
}

void
balancer_note_report (Balancer *balancer, const TargetReport *report)
{
  View *view = view_of (balancer, report->target);

  /* Incarnations have no order: another one's report stands for itself. */
  if (view->known && report->incarnation == view->report.incarnation &&
      report->serial < view->report.serial)
    return;
  note_severity (balancer, view, report->severity);
  view->report = *report;
  view->report.target = NULL;
  view->known = TRUE;
}

void
balancer_note_verdict (Balancer *balancer,
                       const char *target,
                       const TargetVerdict *verdict)
{
  View *view = view_of (balancer, target);
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
}

void
balancer_set_member (Balancer *balancer,
                     const char *vm,
                     guint64 incarnation,
                     gboolean alive)
{
  Path *path = path_of (balancer, vm);

  /* A node that came anew, or back, starts with a clean path. */
  if (alive && (path->dead || path->incarnation != incarnation))
    *path = (Path){ 0 };
  path->incarnation = incarnation;
  path->dead = !alive;
}

/* Whether what is held of a target comes from its sidecar's present incarnation. */
static gboolean
is_current (const View *view, const Path *path)
{
  return path->incarnation == 0 || view->report.incarnation == path->incarnation;
}

void
balancer_set_ingresses (Balancer *balancer, guint count)
{
  balancer->ingresses = MAX (count, 1);
}

void
balancer_note_path (Balancer *balancer, const char *vm, gboolean answered)
{
  path_note (path_of (balancer, vm), answered, clock_now (balancer->clock));
}

void
balancer_set_path (Balancer *balancer, const char *vm, gboolean open)
{
  Path *path = path_of (balancer, vm);

  path->closed = !open;
  if (open)
    path_note (path, TRUE, clock_now (balancer->clock));
}

void
balancer_doubt_path (Balancer *balancer, const char *vm)
{
  path_of (balancer, vm)->doubtful = TRUE;
}

static void
fill_items (Balancer *balancer, const Service *service, EjectItem *items)
{
  gint64 now = clock_now (balancer->clock);

  for (guint i = 0; i < service->targets->len; i++)
    {
      const Target *target = g_ptr_array_index (service->targets, i);
      const View *view = view_of (balancer, target->name);
      const Path *path = path_of (balancer, target->vm);
      gboolean current = is_current (view, path);
      gboolean weigh = current && service->detection != DETECTION_OFF;

      items[i].name = target->name;
      items[i].slots = target->slots;
      items[i].severity = weigh ? view->report.severity : 0;
      items[i].available = target->state == TARGET_SERVING &&
                           !(current && view->report.draining) && path_usable (path, now);
    }
}

/* Slots that ejections must leave: the operator's number, or share of what serves. */
static guint
floor_of (const Service *service)
{
  guint share = (service_slots (service) * service->floor_percent + 99) / 100;

  return MAX (service->floor_slots, share);
}

static gboolean
was_tried (const GPtrArray *tried, const char *name)
{
  for (guint i = 0; tried && i < tried->len; i++)
    if (strcmp (g_ptr_array_index (tried, i), name) == 0)
      return TRUE;
  return FALSE;
}

/* Takes an ejected target's turn for a trial, and sets the next. */
static gboolean
trial_is_due (Balancer *balancer, View *view, BalancerTrial trial)
{
  gint64 now = clock_now (balancer->clock);
  gint64 every = TRIAL_EVERY_US * balancer->ingresses;

  if (now < view->trial_due_us)
    return FALSE;
  view->trial_due_us =
      now + (gint64)(every * g_rand_double_range (balancer->rand, 0.5, 1.5));
  return trial == BALANCER_TRIAL_DUE || g_rand_double (balancer->rand) < LATE_SHARE;
}

static double
load_of (const Candidate *candidate)
{
  const View *view = candidate->view;
  guint slots =
      view->known && view->report.limit ? view->report.limit : candidate->target->slots;

  return (double)(MAX (view->report.in_use, view->outstanding) + view->report.queued +
                  1) /
         slots;
}

static double
score_of (const Candidate *candidate)
{
  guint latency = MAX (candidate->view->report.latency_us, LATENCY_UNKNOWN_US);

  return load_of (candidate) * latency;
}

/* The better of two taken at random, among those that are (not) of this hall. */
static const Candidate *
pick_two (Balancer *balancer, const GArray *candidates, gboolean local)
{
  const Candidate *best = NULL;
  guint seen = 0;
  guint first;
  guint second;
  guint count = 0;

  for (guint i = 0; i < candidates->len; i++)
    if (g_array_index (candidates, Candidate, i).local == local)
      count++;
  if (count == 0)
    return NULL;
  first = (guint)g_rand_int_range (balancer->rand, 0, (gint32)count);
  second = (guint)g_rand_int_range (balancer->rand, 0, (gint32)count);
  for (guint i = 0; i < candidates->len; i++)
    {
      const Candidate *candidate = &g_array_index (candidates, Candidate, i);

      if (candidate->local != local)
        continue;
      if ((seen == first || seen == second) &&
          (!best || score_of (candidate) < score_of (best)))
        best = candidate;
      seen++;
    }
  return best;
}

static const Candidate *
pick (Balancer *balancer, const GArray *candidates, BalancerHalls halls)
{
  const Candidate *local = pick_two (balancer, candidates, TRUE);
  const Candidate *other = pick_two (balancer, candidates, FALSE);

  if (!local && !other)
    return NULL;
  if (!other)
    return local;
  if (!local || halls == BALANCER_OTHERS_FIRST)
    return other;
  if (halls == BALANCER_OWN_FIRST)
    return local;
  if (load_of (local) * 100 <= SPILL_PERCENT || load_of (local) <= load_of (other))
    return local;
  return other;
}

/*
 * A slow target that stays for the floor takes what would have to wait at the others. One
 * that fails helps nobody: what fails may not be repeated, while a refusal tells the
 * caller when to come back.
 */
static const Target *
pick_healthy_first (Balancer *balancer,
                    const GArray *healthy,
                    const GArray *sick,
                    BalancerHalls halls,
                    gboolean any_healthy)
{
  const Candidate *best = pick (balancer, healthy, halls);
  const Candidate *spare = pick (balancer, sick, halls);

  if (!spare && !best)
    return NULL;
  if (!best)
    return !any_healthy || spare->view->report.slow ? spare->target : NULL;
  if (spare && spare->view->report.slow && load_of (best) > FULL_LOAD &&
      load_of (spare) < load_of (best))
    return spare->target;
  return best->target;
}

static void
add_candidate (Balancer *balancer, GArray *candidates, const Target *target)
{
  Candidate candidate = { target, view_of (balancer, target->name),
                          strcmp (target->hall, balancer->hall) == 0 };

  g_array_append_val (candidates, candidate);
}

/*
 * With every path broken, the ones that the membership still holds alive are tried:
 * a breaker that is wrong must not answer for the whole service.
 */
static void
add_last_resorts (Balancer *balancer,
                  const Service *service,
                  const GPtrArray *tried,
                  GArray *candidates)
{
  for (guint i = 0; i < service->targets->len; i++)
    {
      const Target *target = g_ptr_array_index (service->targets, i);

      const View *view = view_of (balancer, target->name);
      const Path *path = path_of (balancer, target->vm);

      if (target->state == TARGET_SERVING && !path->dead &&
          !(is_current (view, path) && view->report.draining) &&
          !was_tried (tried, target->name))
        add_candidate (balancer, candidates, target);
    }
}

/* The targets of one choice, by what is held of them. */
typedef struct
{
  GArray *steady; /* of Candidate, as the others */
  GArray *shedding;
  GArray *doubtful; /* behind a node that has not answered at once */
  GArray *sick;     /* and kept for the floor */
} Pools;

static void
pools_init (Pools *pools)
{
  pools->steady = g_array_new (FALSE, FALSE, sizeof (Candidate));
  pools->shedding = g_array_new (FALSE, FALSE, sizeof (Candidate));
  pools->doubtful = g_array_new (FALSE, FALSE, sizeof (Candidate));
  pools->sick = g_array_new (FALSE, FALSE, sizeof (Candidate));
}

static void
pools_clear (Pools *pools)
{
  g_array_unref (pools->steady);
  g_array_unref (pools->shedding);
  g_array_unref (pools->doubtful);
  g_array_unref (pools->sick);
}

static void
pools_add (Balancer *balancer, Pools *pools, const Target *target, const EjectItem *item)
{
  const View *view = view_of (balancer, target->name);
  const Path *path = path_of (balancer, target->vm);
  GArray *pool = pools->steady;

  if (item->ejected)
    return;
  if (item->severity > 0)
    pool = pools->sick;
  else if (path->doubtful)
    pool = pools->doubtful;
  else if (is_current (view, path) && view->report.shedding)
    pool = pools->shedding;
  add_candidate (balancer, pool, target);
}

/* The pool of healthy targets that a wish is for; sick ones may stand in for the steady.
 */
static const GArray *
pools_healthy (const Pools *pools, BalancerShedding shedding)
{
  if (shedding == BALANCER_SHEDDING_ONLY)
    return pools->shedding;
  if (shedding == BALANCER_SHEDDING_NEVER || pools->steady->len > 0)
    return pools->steady;
  return pools->shedding->len > 0 ? pools->shedding : pools->doubtful;
}

static guint
severity_of (Balancer *balancer, const Target *target)
{
  const View *view = view_of (balancer, target->name);

  return is_current (view, path_of (balancer, target->vm)) ? view->report.severity : 0;
}

BalancerChoice
balancer_choose (Balancer *balancer, const Service *service, const BalancerWish *wish)
{
  BalancerChoice choice = { .retry_after_us = RETRY_AFTER_US };
  guint count = service->targets->len;
  g_autofree EjectItem *items = g_new0 (EjectItem, count + 1);
  gboolean any_available = FALSE;
  gboolean any_healthy = FALSE;
  Pools pools;

  pools_init (&pools);
  fill_items (balancer, service, items);
  eject_apply (items, count, floor_of (service));
  for (guint i = 0; i < count; i++)
    {
      const Target *target = g_ptr_array_index (service->targets, i);

      any_available |= items[i].available;
      any_healthy |= items[i].available && items[i].severity == 0;
      if (!items[i].available || was_tried (wish->tried, target->name))
        continue;
      pools_add (balancer, &pools, target, &items[i]);
      if (items[i].severity > 0 && wish->trial != BALANCER_NO_TRIAL && !wish->tried &&
          trial_is_due (balancer, view_of (balancer, target->name), wish->trial))
        {
          choice.target = target;
          choice.trial = TRUE;
          choice.sick = TRUE;
          pools_clear (&pools);
          return choice;
        }
    }
  if (!any_available)
    add_last_resorts (balancer, service, wish->tried, pools.steady);
  if (wish->shedding != BALANCER_SHEDDING_ONLY || pools.shedding->len > 0)
    choice.target = pick_healthy_first (balancer, pools_healthy (&pools, wish->shedding),
                                        pools.sick, wish->halls, any_healthy);
  pools_clear (&pools);
  choice.local = choice.target && strcmp (choice.target->hall, balancer->hall) == 0;
  choice.sick = choice.target && severity_of (balancer, choice.target) > 0;
  return choice;
}

void
balancer_begin (Balancer *balancer, const char *target)
{
  view_of (balancer, target)->outstanding++;
}

void
balancer_end (Balancer *balancer, const char *target)
{
  View *view = view_of (balancer, target);

  if (view->outstanding > 0)
    view->outstanding--;
}

static gint
compare_uints (gconstpointer a, gconstpointer b)
{
  guint x = *(const guint *)a;
  guint y = *(const guint *)b;

  return (x > y) - (x < y);
}

static guint
median (GArray *values)
{
  if (values->len == 0)
    return 0;
  g_array_sort (values, compare_uints);
  return g_array_index (values, guint, (values->len - 1) / 2);
}

SiblingMedians
balancer_medians (Balancer *balancer, const Service *service)
{
  g_autoptr (GArray) latencies = g_array_new (FALSE, FALSE, sizeof (guint));
  g_autoptr (GArray) failures = g_array_new (FALSE, FALSE, sizeof (guint));
  SiblingMedians medians = { 0 };

  for (guint i = 0; i < service->targets->len; i++)
    {
      const Target *target = g_ptr_array_index (service->targets, i);
      const View *view = view_of (balancer, target->name);

      if (!view->known || view->report.samples < MEDIAN_SAMPLES_MIN)
        continue;
      g_array_append_val (latencies, view->report.latency_us);
      g_array_append_val (failures, view->report.failures_ppm);
    }
  /* One target is no measure for itself, nor is one other: which of two is the slow one?
   */
  if (latencies->len < 2)
    return medians;
  medians.latency_us = median (latencies);
  medians.failures_ppm = median (failures);
  return medians;
}

TargetStatus
balancer_status (Balancer *balancer, const Service *service, const Target *target)
{
  guint count = service->targets->len;
  g_autofree EjectItem *items = g_new0 (EjectItem, count + 1);
  const View *view = view_of (balancer, target->name);
  const Path *path = path_of (balancer, target->vm);
  TargetStatus status = { view->report, view->known, !path->dead, FALSE, FALSE };

  status.path_open = path_usable (path, clock_now (balancer->clock));
  status.report.target = target->name;
  fill_items (balancer, service, items);
  eject_apply (items, count, floor_of (service));
  for (guint i = 0; i < count; i++)
    if (strcmp (items[i].name, target->name) == 0)
      status.ejected = items[i].ejected;
  return status;
}

guint
balancer_slots_in_service (Balancer *balancer, const Service *service)
{
  g_autofree EjectItem *items = g_new0 (EjectItem, service->targets->len + 1);

  fill_items (balancer, service, items);
  return eject_apply (items, service->targets->len, floor_of (service));
}
