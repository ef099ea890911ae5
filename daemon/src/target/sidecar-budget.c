#include "sidecar-budget.h"

#include "config-sync.h"

/* Budgets are counted in hundredths of a retry. */
#define RETRY_HUNDREDTHS 100u

typedef struct
{
  RetryBudget *retries;
  guint targets_seen_max; /* that the service has had in any configuration seen */
} Budget;

struct SidecarBudgets
{
  const Node *node;
  GHashTable *by_service; /* service → Budget */
  gint64 began_us;
};

static void
budget_free (gpointer data)
{
  Budget *budget = data;

  retry_budget_destroy (budget->retries);
  g_free (budget);
}

SidecarBudgets *
sidecar_budgets_create (const Node *node)
{
  SidecarBudgets *budgets = g_new0 (SidecarBudgets, 1);

  budgets->node = node;
  budgets->by_service =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, budget_free);
  budgets->began_us = clock_now (node->clock);
  return budgets;
}

void
sidecar_budgets_destroy (SidecarBudgets *budgets)
{
  if (!budgets)
    return;
  g_hash_table_unref (budgets->by_service);
  g_free (budgets);
}

/* Returns whether a burst of retries is allowed. Retries spent before a restart are not
   known here, so there is no burst in the first retry window, except on the first start
   of the whole fleet. */
static gboolean
may_burst (const SidecarBudgets *budgets)
{
  const Node *node = budgets->node;

  return node->settings->first_start ||
         clock_now (node->clock) - budgets->began_us >= node->defaults.retry_window_us;
}

/* Returns this sidecar's share of the burst in hundredths of a retry. It is divided by
   the largest number of targets seen, because each part of a partitioned fleet sees
   fewer. */
static guint
burst_share (const SidecarBudgets *budgets, Budget *budget, const Service *service)
{
  budget->targets_seen_max = MAX (budget->targets_seen_max, service->targets->len);
  if (!may_burst (budgets) || budget->targets_seen_max == 0)
    return 0;
  return service->retry_burst * RETRY_HUNDREDTHS / budget->targets_seen_max;
}

static RetryBudget *
budget_of (SidecarBudgets *budgets, const char *name)
{
  const Node *node = budgets->node;
  const Service *service = snapshot_service (config_sync_snapshot (node->config), name);
  Budget *budget = g_hash_table_lookup (budgets->by_service, name);

  if (!budget)
    {
      budget = g_new0 (Budget, 1);
      budget->retries =
          retry_budget_create (0, node->defaults.retry_window_us, node->clock);
      g_hash_table_insert (budgets->by_service, g_strdup (name), budget);
    }
  if (!service)
    return budget->retries;
  retry_budget_set_percent (budget->retries, service->retry_percent);
  if (service->retry_burst > 0)
    retry_budget_set_burst (budget->retries, burst_share (budgets, budget, service));
  return budget->retries;
}

gboolean
sidecar_budgets_allow (SidecarBudgets *budgets, const char *service, RetryKind kind)
{
  return retry_budget_allows (budget_of (budgets, service), kind);
}

void
sidecar_budgets_note (SidecarBudgets *budgets, const char *service, RetryKind kind)
{
  retry_budget_note (budget_of (budgets, service), kind);
}
