#include "allowance-net-private.h"

#include <math.h>

const char *
allowance_scheme_name (AllowanceScheme scheme)
{
  static const char *const names[] = { "equal", "no-wait", "lent" };

  return names[scheme];
}

const char *
allowance_pattern_name (AllowancePattern pattern)
{
  static const char *const names[] = { "steady", "moving",  "one",     "all",  "halls",
                                       "cut",    "restart", "lowered", "small" };

  return names[pattern];
}

SimNode *
sim_pick_node (Sim *sim)
{
  guint nodes = sim->params->nodes;
  guint second = (guint)(sim_now (sim) / SECOND_US);
  guint i = (guint)g_rand_int_range (sim->rand, 0, (gint32)nodes);

  switch (sim->params->pattern)
    {
    case ALLOWANCE_STEADY:
      return &sim->nodes[i - i % 4];
    case ALLOWANCE_ONE:
      return &sim->nodes[0];
    case ALLOWANCE_MOVING:
    case ALLOWANCE_HALLS:
      while (sim->nodes[i].hall != second % sim->halls)
        i = (guint)g_rand_int_range (sim->rand, 0, (gint32)nodes);
      return &sim->nodes[i];
    default:
      return &sim->nodes[i];
    }
}

double
sim_demand (const Sim *sim)
{
  gboolean usual = sim->params->pattern == ALLOWANCE_STEADY ||
                   sim->params->pattern == ALLOWANCE_MOVING ||
                   sim->params->pattern == ALLOWANCE_SMALL;

  return (sim->params->pattern == ALLOWANCE_SMALL ? 1 : LARGE_PER_S) *
         (usual ? NORMAL_DEMAND : HIGH_DEMAND);
}

void
sim_apply_faults (Sim *sim, guint step)
{
  guint begin = FAULT_S * STEPS_PER_S;
  gint64 now = clock_now (sim->clock);

  if (sim->params->pattern == ALLOWANCE_CUT && step == begin + DETECT_S * STEPS_PER_S)
    {
      sim->cut = TRUE;
      sim->fleet_size_until_us = now + FLEET_SIZE_KEPT_US;
      sim_fill_view (sim, 0);
      sim_fill_view (sim, 1);
    }
  if (sim->params->pattern == ALLOWANCE_CUT &&
      step == begin + (CUT_S + HEAL_S) * STEPS_PER_S)
    {
      sim->cut = FALSE;
      sim_fill_view (sim, 0);
      sim_fill_view (sim, 1);
    }
  for (guint i = 0; sim->params->pattern == ALLOWANCE_RESTART && i < sim->params->nodes;
       i++)
    if (step == begin + (i * 7919u) % STEPS_PER_S)
      sim_start_node (sim, &sim->nodes[i]);
  if (sim->params->pattern == ALLOWANCE_LOWERED && step == begin)
    {
      sim->terms.per_s /= 10;
      sim->terms.burst /= 10;
      for (guint i = 0; i < sim->params->nodes; i++)
        sim->nodes[i].config_us =
            now + g_rand_int_range (sim->rand, 0, CONFIG_S * (gint32)SECOND_US);
    }
  for (guint i = 0; i < sim->params->nodes; i++)
    if (sim->nodes[i].config_us > 0 && now >= sim->nodes[i].config_us)
      sim->nodes[i].terms = sim->terms;
}

static double
window_bound (const AllowanceTerms *terms)
{
  return (terms->per_s * WINDOW_S + terms->burst) * (1 + sim_rule.overage) +
         sim_rule.slack;
}

/* A lowered allowance applies to windows that begin after all nodes have received it. */
double
sim_worst_window (const Sim *sim)
{
  guint span = WINDOW_S * STEPS_PER_S + 1;
  guint lower = (FAULT_S + CONFIG_S) * STEPS_PER_S + span;
  double high = window_bound (&sim->nodes[0].terms);
  double worst = 0;
  guint sum = 0;

  if (sim->params->pattern == ALLOWANCE_LOWERED)
    high = window_bound (&(AllowanceTerms){ LARGE_PER_S, LARGE_PER_S });
  for (guint i = 0; i < STEPS; i++)
    {
      gboolean lowered = sim->params->pattern == ALLOWANCE_LOWERED && i >= lower;

      sum += sim->passed[i] - (i >= span ? sim->passed[i - span] : 0);
      worst = MAX (worst, sum / (lowered ? window_bound (&sim->terms) : high));
    }
  return worst;
}

/* Knuth's algorithm, which is fast enough for the means here, which are below ten. */
guint
sim_arrivals (Sim *sim, double mean)
{
  double limit = exp (-mean);
  double product = g_rand_double (sim->rand);
  guint count = 0;

  for (; product > limit; count++)
    product *= g_rand_double (sim->rand);
  return count;
}
