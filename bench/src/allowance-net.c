#include "allowance-net-private.h"

const AllowanceRule sim_rule = { WINDOW_S * SECOND_US, 0.1, 20 };

gint64
sim_now (const Sim *sim)
{
  return clock_now (sim->clock) - SETTLE_US;
}

/* Numbers of halls as in the users' fleets of about that size. */
static guint
halls_for_size (guint nodes)
{
  return nodes < 100 ? 3 : nodes < 500 ? 5 : 23;
}

static void
find_lenders (Sim *sim, guint view)
{
  const char *names[ALLOWANCE_LENDERS];

  sim->lender_counts[view] = allowance_select_lenders (sim->views[view], "acme", names);
  for (guint i = 0; i < sim->lender_counts[view]; i++)
    for (guint j = 0; j < sim->params->nodes; j++)
      if (sim->nodes[j].name == names[i])
        sim->lenders[view][i] = j;
}

void
sim_fill_view (Sim *sim, guint view)
{
  gboolean whole = !sim->cut;

  g_array_set_size (sim->views[view], 0);
  for (guint i = 0; i < sim->params->nodes; i++)
    {
      AllowanceNode node = { sim->nodes[i].name, sim->hall_names[sim->nodes[i].hall],
                             allowance_hash (sim->nodes[i].name) };

      if (whole || (sim->nodes[i].hall == 0) == (view == 0))
        g_array_append_val (sim->views[view], node);
    }
  sim->changed_us[view] = clock_now (sim->clock);
  find_lenders (sim, view);
}

void
sim_start_node (Sim *sim, SimNode *node)
{
  allowance_buckets_destroy (node->buckets);
  allowance_cache_destroy (node->cache);
  node->buckets = allowance_buckets_create (&sim_rule, sim->clock);
  node->cache = allowance_cache_create (sim->clock);
  node->started_us = clock_now (sim->clock);
  node->waiting = 0;
  node->due_us = 0;
}

static Sim *
sim_create (const AllowanceCase *params)
{
  double per_s = params->pattern == ALLOWANCE_SMALL ? 1 : LARGE_PER_S;
  Sim *sim = g_new0 (Sim, 1);

  sim->params = params;
  sim->clock = clock_create_manual (0);
  sim->rand = g_rand_new_with_seed (params->seed);
  sim->halls = halls_for_size (params->nodes);
  sim->terms = (AllowanceTerms){ per_s, per_s };
  sim->reference_level = per_s;
  sim->passed = g_new0 (guint, STEPS + 1);
  sim->nodes = g_new0 (SimNode, params->nodes);
  sim->hall_names = g_new0 (char *, sim->halls + 1);
  for (guint i = 0; i < sim->halls; i++)
    sim->hall_names[i] = g_strdup_printf ("hall-%u", i);
  for (guint i = 0; i < params->nodes; i++)
    {
      sim->nodes[i].name = g_strdup_printf ("vm-%u-%u", params->seed, i);
      sim->nodes[i].hall = i % sim->halls;
      sim->nodes[i].terms = sim->terms;
      sim_start_node (sim, &sim->nodes[i]);
    }
  for (guint i = 0; i < 2; i++)
    {
      sim->views[i] = g_array_new (FALSE, FALSE, sizeof (AllowanceNode));
      sim_fill_view (sim, i);
    }
  clock_advance (sim->clock, SETTLE_US);
  return sim;
}

static void
sim_destroy (Sim *sim)
{
  for (guint i = 0; i < sim->params->nodes; i++)
    {
      allowance_buckets_destroy (sim->nodes[i].buckets);
      allowance_cache_destroy (sim->nodes[i].cache);
      g_free (sim->nodes[i].name);
    }
  g_array_unref (sim->views[0]);
  g_array_unref (sim->views[1]);
  g_strfreev (sim->hall_names);
  g_free (sim->nodes);
  g_free (sim->passed);
  g_rand_free (sim->rand);
  clock_destroy (sim->clock);
  g_free (sim);
}

/* Fills `places` with the indices of the lenders that a node sees; a lender in its own
   hall comes first. Returns the number of lenders. */
static guint
fill_lenders (const Sim *sim, const SimNode *node, guint places[ALLOWANCE_LENDERS])
{
  guint view = node->hall != 0;
  guint count = sim->lender_counts[view];

  for (guint i = 0; i < count; i++)
    places[i] = sim->lenders[view][i];
  for (guint i = 1; i < count; i++)
    if (sim->nodes[places[i]].hall == node->hall)
      {
        guint first = places[0];

        places[0] = places[i];
        places[i] = first;
        break;
      }
  return count;
}

static double
seen_share (const Sim *sim, const SimNode *node)
{
  guint seen = sim->views[node->hall != 0]->len;

  if (clock_now (sim->clock) >= sim->fleet_size_until_us)
    return 1;
  return (double)seen / sim->params->nodes;
}

/* Lends out of the lender's bucket. Returns FALSE if the node is no lender in its own
   view or started less than STARTUP_US ago. */
static gboolean
lend (Sim *sim, SimNode *lender, guint wanted, AllowanceGrant *grant)
{
  guint places[ALLOWANCE_LENDERS];
  guint count = fill_lenders (sim, lender, places);
  gint64 since =
      MAX (sim->changed_us[lender->hall != 0], lender->started_us + STARTUP_US);
  gboolean own = FALSE;

  for (guint i = 0; i < count; i++)
    own |= &sim->nodes[places[i]] == lender;
  if (!own || clock_now (sim->clock) - lender->started_us < STARTUP_US)
    return FALSE;
  *grant = allowance_buckets_lend (lender->buckets, "acme", &lender->terms,
                                   seen_share (sim, lender) / count, since, wanted);
  return TRUE;
}

static void
let_through (Sim *sim, SimNode *node)
{
  gint64 waited = clock_now (sim->clock) - node->waits_since_us;

  sim->let++;
  sim->passed[sim_now (sim) / STEP_US]++;
  if (node->waiting > 0)
    sim->longest_wait_us = MAX (sim->longest_wait_us, waited);
}

static void
serve (Sim *sim, SimNode *node)
{
  while (node->waiting > 0 && allowance_cache_take (node->cache, "acme"))
    {
      let_through (sim, node);
      node->waiting--;
    }
}

/* Returns FALSE while the two nodes are on different sides of a cut. */
static gboolean
can_reach (const Sim *sim, const SimNode *from, const SimNode *to)
{
  gint64 now = sim_now (sim);
  gboolean apart = sim->params->pattern == ALLOWANCE_CUT && now >= FAULT_S * SECOND_US &&
                   now < (FAULT_S + CUT_S) * SECOND_US;

  return !apart || (from->hall == 0) == (to->hall == 0);
}

static void
serve_or_borrow (Sim *sim, SimNode *node)
{
  const char *names[ALLOWANCE_LENDERS];
  guint places[ALLOWANCE_LENDERS];
  gint64 wait_us;
  guint count;
  gint place;

  if (node->due_us > 0)
    return;
  serve (sim, node);
  node->wanted = node->waiting + allowance_cache_prefetch_count (node->cache, "acme");
  if (sim->params->scheme == ALLOWANCE_NO_WAIT)
    node->wanted = MAX (node->wanted, 1);
  if (node->wanted == 0)
    return;
  count = fill_lenders (sim, node, places);
  for (guint i = 0; i < count; i++)
    names[i] = sim->nodes[places[i]].name;
  place = allowance_cache_pick_lender (node->cache, "acme", names, count, &wait_us);
  if (place < 0)
    {
      sim->refused += node->waiting;
      node->waiting = 0;
      return;
    }
  node->lender = (gint)places[place];
  node->asked_us = clock_now (sim->clock);
  node->due_us = node->asked_us + STEP_US;
  if (!can_reach (sim, node, &sim->nodes[node->lender]))
    node->due_us = node->asked_us + TIMEOUT_US;
  sim->messages += &sim->nodes[node->lender] != node;
}

static void
handle_lend_answer (Sim *sim, SimNode *node)
{
  SimNode *lender = &sim->nodes[node->lender];
  AllowanceGrant grant = { 0 };
  gint64 pause = 0;

  node->due_us = 0;
  if (!can_reach (sim, node, lender))
    pause = LENDER_SILENT_SKIP_US;
  else if (!lend (sim, lender, node->wanted, &grant))
    pause = NOT_LENDER_SKIP_US;
  else if (grant.lent < node->wanted)
    pause = grant.retry_after_us;
  allowance_cache_add (node->cache, "acme", grant.lent, node->asked_us);
  if (pause > 0)
    allowance_cache_pause_lender (node->cache, "acme", lender->name, pause);
  serve (sim, node);
  if (node->waiting > 0)
    serve_or_borrow (sim, node);
}

static void
count_reference (Sim *sim)
{
  if (sim->reference_level < 1)
    return;
  sim->reference_level--;
  sim->ideal++;
}

static void
on_request (Sim *sim, SimNode *node)
{
  AllowanceGrant grant;

  sim->asked++;
  count_reference (sim);
  if (sim->params->scheme == ALLOWANCE_EQUAL)
    {
      grant = allowance_buckets_lend (node->buckets, "acme", &node->terms,
                                      1.0 / sim->params->nodes, node->started_us, 1);
      if (grant.lent)
        let_through (sim, node);
      else
        sim->refused++;
      return;
    }
  if (node->waiting == 0 && allowance_cache_take (node->cache, "acme"))
    let_through (sim, node);
  else if (sim->params->scheme == ALLOWANCE_NO_WAIT)
    sim->refused++;
  else if (node->waiting++ == 0)
    node->waits_since_us = clock_now (sim->clock);
  serve_or_borrow (sim, node);
}

AllowanceResult
allowance_net_run (const AllowanceCase *params)
{
  Sim *sim = sim_create (params);
  AllowanceResult result;

  for (guint step = 0; step < STEPS; step++)
    {
      double expected = sim_demand (sim) / STEPS_PER_S;

      sim_apply_faults (sim, step);
      sim->reference_level =
          MIN (sim->reference_level + sim->terms.per_s / STEPS_PER_S, sim->terms.burst);
      for (guint i = 0; i < params->nodes; i++)
        if (sim->nodes[i].due_us > 0 && clock_now (sim->clock) >= sim->nodes[i].due_us)
          handle_lend_answer (sim, &sim->nodes[i]);
      for (guint count = sim_arrivals (sim, expected); count > 0; count--)
        on_request (sim, sim_pick_node (sim));
      clock_advance (sim->clock, STEP_US);
    }
  result.worst = sim_worst_window (sim);
  result.refused = sim->asked ? (double)sim->refused / sim->asked : 0;
  result.own = sim->ideal ? (double)sim->let / sim->ideal : 0;
  result.longest_wait_ms = (double)sim->longest_wait_us / MS_US;
  result.bytes =
      sim->messages * (LEND_REQUEST_BYTES + ANSWER_BYTES) / 2 / RUN_S / params->nodes;
  sim_destroy (sim);
  return result;
}
