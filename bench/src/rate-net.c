#include "rate-net.h"

#include <core/admission.h>
#include <core/balancer.h>
#include <core/placement.h>
#include <core/shedding.h>

#define STEP_US (5 * MS_US)
#define WINDOW_US (4 * SECOND_US)
#define HALLS 4u
#define SLOTS 3u
#define WORK_US (200 * MS_US)
#define DEADLINE_US (2 * SECOND_US)
/* Gossip reaches most nodes of a large fleet within this time. */
#define GOSSIP_MAX_US (400 * MS_US)

typedef struct
{
  Target config;
  char *name;
  char *vm;
  char *hall;
  Admission *admission;
  StartLimit *limit;
  Shedding *shedding;
  GQueue ends; /* of gint64: when running requests end */
  GArray *starts;
  guint serial;
  guint refused;
  gboolean published;
} Sidecar;

/* A verdict on its way to one ingress. */
typedef struct
{
  gint64 due_us;
  Sidecar *sidecar;
  TargetVerdict verdict;
} News;

typedef struct
{
  Balancer *balancer;
  GQueue news;
} Ingress;

typedef struct
{
  const RateNetParams *params;
  Clock *clock;
  GRand *rand;
  Service service;
  Sidecar *sidecars;
  Ingress *ingresses;
  RateNetFigures figures;
  guint verdicts;
  gboolean measuring;
} Net;

static void
sidecar_init (Net *net, guint i)
{
  Sidecar *sidecar = &net->sidecars[i];

  sidecar->name = g_strdup_printf ("i-%u", i);
  sidecar->vm = g_strdup_printf ("vm-%u", i);
  sidecar->hall = g_strdup_printf ("hall-%u", i % HALLS);
  sidecar->config = (Target){
    .name = sidecar->name, .vm = sidecar->vm, .hall = sidecar->hall, .slots = SLOTS
  };
  sidecar->limit = start_limit_create (net->clock);
  start_limit_note_cold (sidecar->limit, 0);
  sidecar->admission = admission_create (SLOTS, 0, net->clock);
  admission_set_adaptive (sidecar->admission, FALSE);
  admission_set_start_limit (sidecar->admission, sidecar->limit);
  sidecar->shedding = shedding_create (net->clock);
  sidecar->starts = g_array_new (FALSE, FALSE, sizeof (gint64));
  g_queue_init (&sidecar->ends);
  g_ptr_array_add (net->service.targets, &sidecar->config);
}

static void
sidecar_clear (Sidecar *sidecar)
{
  admission_destroy (sidecar->admission);
  start_limit_destroy (sidecar->limit);
  shedding_destroy (sidecar->shedding);
  g_queue_clear_full (&sidecar->ends, g_free);
  g_array_unref (sidecar->starts);
  g_free (sidecar->name);
  g_free (sidecar->vm);
  g_free (sidecar->hall);
}

static TargetReport
report_of (Sidecar *sidecar)
{
  return (TargetReport){ .target = sidecar->name,
                         .incarnation = 1,
                         .serial = ++sidecar->serial,
                         .in_use = admission_in_use (sidecar->admission),
                         .limit = admission_limit (sidecar->admission),
                         .latency_us = WORK_US,
                         .shedding = shedding_is_on (sidecar->shedding) };
}

/* Offers a request to a sidecar; FALSE if it is refused. */
static gboolean
offer (Net *net, Sidecar *sidecar)
{
  gint64 now = clock_now (net->clock);
  AdmissionParams order = { .deadline_us = now + DEADLINE_US };
  gint64 *end;

  net->figures.tries += net->measuring;
  if (admission_offer (sidecar->admission, sidecar, &order) == ADMISSION_START)
    {
      end = g_new (gint64, 1);
      *end = now + (gint64)(WORK_US * g_rand_double_range (net->rand, 0.5, 1.5));
      g_queue_push_tail (&sidecar->ends, end);
      g_array_append_val (sidecar->starts, now);
      return TRUE;
    }
  if (start_limit_named_is_used_up (sidecar->limit))
    {
      shedding_note (sidecar->shedding);
      sidecar->refused += net->measuring;
    }
  return FALSE;
}

static const Target *
choose (Net *net, Ingress *ingress, PlacementStep step, const GPtrArray *tried)
{
  static const BalancerHalls halls[PLACEMENT_EXHAUSTED] = {
    [PLACEMENT_OWN_FREE] = BALANCER_OWN_FIRST,
    [PLACEMENT_OWN_QUEUE] = BALANCER_OWN_BEST,
    [PLACEMENT_OTHER_FREE] = BALANCER_OTHERS_FIRST,
    [PLACEMENT_SHEDDING] = BALANCER_OWN_FIRST,
    [PLACEMENT_LAST_QUEUE] = BALANCER_SHORTEST_WAIT,
  };
  BalancerCriteria criteria = { BALANCER_NO_TRIAL, halls[step], BALANCER_SHEDDING_NEVER,
                                tried->len ? tried : NULL };

  if (step == PLACEMENT_SHEDDING)
    criteria.shedding = BALANCER_SHEDDING_ONLY;
  if (step == PLACEMENT_LAST_QUEUE)
    criteria.shedding = BALANCER_SHEDDING_LAST;
  return balancer_choose (ingress->balancer, &net->service, &criteria).target;
}

/* Sends one request from an ingress, by the steps of placement.h. */
static void
request (Net *net, Ingress *ingress)
{
  g_autoptr (GPtrArray) tried = g_ptr_array_new ();
  Placement placement = { 0 };
  gboolean served = FALSE;
  PlacementStep step;

  while (!served &&
         (step = placement_next (&placement, WORK_US, 0)) != PLACEMENT_EXHAUSTED)
    {
      const Target *target = choose (net, ingress, step, tried);
      Sidecar *sidecar = (Sidecar *)target; /* its first member */
      TargetReport report;

      if (!target)
        {
          placement_skip (&placement);
          continue;
        }
      g_ptr_array_add (tried, sidecar->name);
      served = offer (net, sidecar);
      report = report_of (sidecar);
      balancer_note_report (ingress->balancer, &report);
      if (!served)
        placement_refused (&placement, REASON_OVERLOAD);
    }
  net->figures.requests += net->measuring;
  net->figures.served += net->measuring && served;
}

static void
end_requests (Net *net, Sidecar *sidecar)
{
  gint64 now = clock_now (net->clock);

  for (guint i = g_queue_get_length (&sidecar->ends); i-- > 0;)
    {
      gint64 *end = g_queue_pop_head (&sidecar->ends);

      if (*end > now)
        {
          g_queue_push_tail (&sidecar->ends, end);
          continue;
        }
      admission_release (sidecar->admission, WORK_US);
      g_free (end);
    }
}

/* Spreads a change of a sidecar's verdict to all ingresses. */
static void
publish (Net *net, Sidecar *sidecar)
{
  gboolean shedding = shedding_is_on (sidecar->shedding);
  TargetVerdict verdict = { .incarnation = 1, .shedding = shedding };

  if (shedding == sidecar->published)
    return;
  sidecar->published = shedding;
  verdict.serial = ++sidecar->serial;
  net->verdicts += net->measuring;
  for (guint i = 0; i < net->params->ingresses; i++)
    {
      News *news = g_new0 (News, 1);

      news->due_us =
          clock_now (net->clock) + g_rand_int_range (net->rand, 0, GOSSIP_MAX_US);
      news->sidecar = sidecar;
      news->verdict = verdict;
      g_queue_push_tail (&net->ingresses[i].news, news);
    }
}

static void
take_news (Net *net, Ingress *ingress)
{
  gint64 now = clock_now (net->clock);

  for (guint i = g_queue_get_length (&ingress->news); i-- > 0;)
    {
      News *news = g_queue_pop_head (&ingress->news);

      if (news->due_us > now)
        {
          g_queue_push_tail (&ingress->news, news);
          continue;
        }
      balancer_note_verdict (ingress->balancer, news->sidecar->name, &news->verdict);
      g_free (news);
    }
}

/* Runs the load for `seconds`. */
static void
run (Net *net, guint seconds)
{
  const RateNetParams *params = net->params;
  double per_step = params->load_per_s * STEP_US / SECOND_US;
  gint64 until = clock_now (net->clock) + seconds * SECOND_US;

  while (clock_now (net->clock) < until)
    {
      for (guint i = 0; i < params->targets; i++)
        {
          end_requests (net, &net->sidecars[i]);
          publish (net, &net->sidecars[i]);
        }
      /* The fraction is a request with that probability. */
      for (guint left = (guint)(per_step + g_rand_double (net->rand)); left > 0; left--)
        {
          Ingress *ingress =
              &net->ingresses[g_rand_int_range (net->rand, 0, (gint32)params->ingresses)];

          take_news (net, ingress);
          request (net, ingress);
        }
      clock_advance (net->clock, STEP_US);
    }
}

static guint
worst_window (const GArray *starts, gint64 from_us)
{
  guint most = 0;
  guint first = 0;

  for (guint i = 0; i < starts->len; i++)
    {
      gint64 at = g_array_index (starts, gint64, i);

      while (g_array_index (starts, gint64, first) < from_us ||
             at - g_array_index (starts, gint64, first) >= WINDOW_US)
        {
          if (first == i)
            break;
          first++;
        }
      if (at >= from_us)
        most = MAX (most, i - first + 1);
    }
  return most;
}

static void
measure (Net *net, gint64 from_us)
{
  const RateNetParams *params = net->params;
  RateNetFigures *figures = &net->figures;

  for (guint i = 0; i < params->limited; i++)
    {
      const Sidecar *sidecar = &net->sidecars[i];
      guint starts = 0;

      for (guint j = 0; j < sidecar->starts->len; j++)
        starts += g_array_index (sidecar->starts, gint64, j) >= from_us;
      figures->worst_window =
          MAX (figures->worst_window, worst_window (sidecar->starts, from_us));
      figures->starts_per_s += (double)starts / params->seconds / params->limited;
      figures->refused_per_s +=
          (double)sidecar->refused / params->seconds / params->limited;
    }
  figures->verdicts_per_s = (double)net->verdicts / params->seconds;
}

static void
net_init (Net *net, const RateNetParams *params)
{
  net->params = params;
  net->clock = clock_create_manual (1000 * SECOND_US);
  net->rand = g_rand_new_with_seed (params->seed);
  net->service.name = (char *)"s";
  net->service.targets = g_ptr_array_new ();
  net->sidecars = g_new0 (Sidecar, params->targets);
  for (guint i = 0; i < params->targets; i++)
    sidecar_init (net, i);
  net->ingresses = g_new0 (Ingress, params->ingresses);
  for (guint i = 0; i < params->ingresses; i++)
    {
      g_autofree char *hall = g_strdup_printf ("hall-%u", i % HALLS);

      net->ingresses[i].balancer = balancer_create (hall, net->rand, net->clock);
      g_queue_init (&net->ingresses[i].news);
    }
}

static void
net_clear (Net *net)
{
  for (guint i = 0; i < net->params->ingresses; i++)
    {
      balancer_destroy (net->ingresses[i].balancer);
      g_queue_clear_full (&net->ingresses[i].news, g_free);
    }
  for (guint i = 0; i < net->params->targets; i++)
    sidecar_clear (&net->sidecars[i]);
  g_ptr_array_unref (net->service.targets);
  g_free (net->ingresses);
  g_free (net->sidecars);
  g_rand_free (net->rand);
  clock_destroy (net->clock);
}

RateNetFigures
rate_net_run (const RateNetParams *params)
{
  Net net = { 0 };
  gint64 from_us;

  net_init (&net, params);
  run (&net, RATE_NET_LEAD_S);
  for (guint i = 0; i < params->limited; i++)
    start_limit_set_named_rate (net.sidecars[i].limit, params->rate_per_s);
  run (&net, RATE_NET_LEAD_S);
  net.measuring = TRUE;
  from_us = clock_now (net.clock);
  run (&net, params->seconds);
  measure (&net, from_us);
  net_clear (&net);
  return net.figures;
}
