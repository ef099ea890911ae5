#include "balancer-private.h"

#include <string.h>

/* Load of the own hall's pick, in percent of its slots, above which it is compared with
   the pick of the other halls. */
#define SPILL_PERCENT 80u
#define LATENCY_UNKNOWN_US 1000u
/* Load of the best healthy target above which a slow target that is kept for the floor
   may be chosen instead. */
#define FULL_LOAD 1.5
#define RETRY_AFTER_US SECOND_US
/* Longest time for which a target counts as full after a report. */
#define FULL_MAX_US SECOND_US
/* Minimum number of targets that fail abruptly for a conclusion about the service. */
#define ABRUPT_MIN 3u

typedef struct
{
  const Target *target;
  TargetView *view;
  gboolean local;
} Candidate;

static gboolean
was_tried (const GPtrArray *tried, const char *name)
{
  for (guint i = 0; tried && i < tried->len; i++)
    if (strcmp (g_ptr_array_index (tried, i), name) == 0)
      return TRUE;
  return FALSE;
}

/* Returns whether a trial of a sick target is due; if so, schedules the next one. */
static gboolean
trial_is_due (Balancer *balancer, const Target *target, TargetView *view)
{
  gint64 now = clock_now (balancer->clock);
  gint64 interval_us = balancer_trial_every_us (balancer, target->hall);

  if (now < view->trial_due_us)
    return FALSE;
  view->trial_due_us =
      now + (gint64)(interval_us * g_rand_double_range (balancer->rand, 0.5, 1.5));
  return TRUE;
}

static double
load_of (const Candidate *candidate)
{
  const TargetView *view = candidate->view;
  guint slots =
      view->known && view->report.limit ? view->report.limit : candidate->target->slots;

  return (double)(MAX (view->report.in_use, view->outstanding) + view->report.queued +
                  1) /
         slots;
}

/* Returns the target's mean latency, or a default if it is shorter or unknown. */
static double
service_time_of (const Candidate *candidate)
{
  return MAX (candidate->view->report.latency_us, LATENCY_UNKNOWN_US);
}

/* Estimates the time until the target has finished its current work. */
static double
score_of (const Candidate *candidate)
{
  return load_of (candidate) * service_time_of (candidate);
}

/* Returns the better of two random candidates of the own hall or of the others (power of
   two choices), or NULL if there are none. */
static const Candidate *
pick_two_choices (Balancer *balancer, const GArray *candidates, gboolean local)
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

/* Returns the candidate of the own hall with the shortest wait, or NULL. */
static const Candidate *
pick_local_best (const GArray *candidates)
{
  const Candidate *best = NULL;

  for (guint i = 0; i < candidates->len; i++)
    {
      const Candidate *candidate = &g_array_index (candidates, Candidate, i);

      if (candidate->local && (!best || score_of (candidate) < score_of (best)))
        best = candidate;
    }
  return best;
}

/* Returns the candidate of the own hall with the shortest wait, or one of another hall
   whose wait is shorter by more than the local latency. For a smaller gain a move between
   halls does not pay. */
static const Candidate *
pick_shortest_wait (Balancer *balancer, const GArray *candidates)
{
  const Candidate *local = pick_local_best (candidates);
  const Candidate *other = pick_two_choices (balancer, candidates, FALSE);

  if (!local || !other)
    return local ? local : other;
  return score_of (other) + service_time_of (local) < score_of (local) ? other : local;
}

static const Candidate *
pick (Balancer *balancer, const GArray *candidates, BalancerHalls halls)
{
  const Candidate *local = NULL;
  const Candidate *other = NULL;

  if (halls == BALANCER_OWN_BEST)
    return pick_local_best (candidates);
  if (halls == BALANCER_SHORTEST_WAIT)
    return pick_shortest_wait (balancer, candidates);
  local = pick_two_choices (balancer, candidates, TRUE);
  other = pick_two_choices (balancer, candidates, FALSE);
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
 * Prefers healthy candidates to sick ones that are kept for the floor. A slow target is
 * chosen when the healthy ones are full or have no candidate left. A failing target is
 * chosen only if the service has no healthy one: a failed request may not be repeatable,
 * while a refusal tells the caller when to retry.
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
  Candidate candidate = { target, balancer_view (balancer, target->name),
                          strcmp (target->hall, balancer->hall) == 0 };

  g_array_append_val (candidates, candidate);
}

/*
 * Adds the targets on nodes that the membership considers alive, for use when no target
 * is available: wrongly tripped circuit breakers must not stop the whole service.
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

      const TargetView *view = balancer_view (balancer, target->name);
      const Path *path = balancer_path (balancer, target->vm);

      if (target->state == TARGET_SERVING && !path->dead &&
          !balancer_is_leaving (balancer, target->name, view, path) &&
          !was_tried (tried, target->name))
        add_candidate (balancer, candidates, target);
    }
}

/* The candidates of one choice, by their condition. */
typedef struct
{
  GArray *steady; /* of Candidate, as the others */
  GArray *shedding;
  GArray *doubtful; /* on a node that did not answer promptly */
  GArray *sick;     /* not ejected, to keep the floor */
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

/*
 * Returns whether a target that was full by its last report may have a free slot by now.
 * Each request that was at work or waiting there takes the mean latency, divided by the
 * slots; half of that must have passed. While most requests are refused, asking full
 * targets again would take the processor time of the nodes beside them.
 */
static gboolean
may_have_slot (const Balancer *balancer, const TargetView *view)
{
  const TargetReport *report = &view->report;
  gint64 age = clock_now (balancer->clock) - view->reported_us;
  gint64 full;

  if (!view->known || report->limit == 0 || report->in_use < report->limit)
    return TRUE;
  full = (gint64)(report->queued + 1) * report->latency_us / report->limit / 2;
  return age >= MIN (full, FULL_MAX_US);
}

static void
pools_add (Balancer *balancer,
           Pools *pools,
           const Target *target,
           const EjectItem *item,
           gboolean needs_slot)
{
  const TargetView *view = balancer_view (balancer, target->name);
  const Path *path = balancer_path (balancer, target->vm);
  GArray *pool = pools->steady;

  if (item->ejected || (needs_slot && !may_have_slot (balancer, view)))
    return;
  if (item->severity > 0)
    pool = pools->sick;
  else if (path_is_doubtful (path, clock_now (balancer->clock)))
    pool = pools->doubtful;
  else if (balancer_is_current (view, path) && view->report.shedding)
    pool = pools->shedding;
  add_candidate (balancer, pool, target);
}

/*
 * Returns whether most sick targets of a service close connections at once without an
 * answer. A target that has kept a request open for a short time is then healthy, which
 * does not follow when sick targets hang.
 */
static gboolean
mostly_abrupt (Balancer *balancer, const Service *service, const EjectItem *items)
{
  guint sick = 0;
  guint abrupt = 0;

  for (guint i = 0; i < service->targets->len; i++)
    {
      const Target *target = g_ptr_array_index (service->targets, i);

      if (!items[i].available || items[i].severity == 0)
        continue;
      sick++;
      abrupt += balancer_view (balancer, target->name)->report.abrupt;
    }
  return abrupt >= ABRUPT_MIN && 2 * abrupt > sick;
}

/* Returns the pool of healthy candidates to choose from; it may be empty. */
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
  const TargetView *view = balancer_view (balancer, target->name);

  return balancer_is_current (view, balancer_path (balancer, target->vm))
             ? view->report.severity
             : 0;
}

BalancerChoice
balancer_choose (Balancer *balancer,
                 const Service *service,
                 const BalancerCriteria *criteria)
{
  BalancerChoice choice = { .retry_after_us = RETRY_AFTER_US };
  guint count = service->targets->len;
  g_autofree EjectItem *items = g_new0 (EjectItem, count + 1);
  gboolean any_available = FALSE;
  gboolean any_healthy = FALSE;
  Pools pools;

  pools_init (&pools);
  balancer_apply_ejections (balancer, service, items);
  choice.abrupt = mostly_abrupt (balancer, service, items);
  for (guint i = 0; i < count; i++)
    {
      const Target *target = g_ptr_array_index (service->targets, i);

      any_available |= items[i].available;
      any_healthy |= items[i].available && items[i].severity == 0;
      if (!items[i].available || was_tried (criteria->tried, target->name))
        continue;
      pools_add (balancer, &pools, target, &items[i], criteria->needs_slot);
      if (items[i].severity > 0 && criteria->trial != BALANCER_NO_TRIAL &&
          !criteria->tried &&
          trial_is_due (balancer, target, balancer_view (balancer, target->name)))
        {
          choice.target = target;
          choice.trial = TRUE;
          choice.local = strcmp (target->hall, balancer->hall) == 0;
          choice.sick = TRUE;
          pools_clear (&pools);
          return choice;
        }
    }
  if (!any_available)
    add_last_resorts (balancer, service, criteria->tried, pools.steady);
  if (criteria->shedding != BALANCER_SHEDDING_ONLY || pools.shedding->len > 0)
    choice.target =
        pick_healthy_first (balancer, pools_healthy (&pools, criteria->shedding),
                            pools.sick, criteria->halls, any_healthy);
  pools_clear (&pools);
  choice.local = choice.target && strcmp (choice.target->hall, balancer->hall) == 0;
  choice.sick = choice.target && severity_of (balancer, choice.target) > 0;
  return choice;
}
