/*
 * Retry budgets of the services whose targets a sidecar guards. Each sidecar enforces its
 * share of the fleet's budget. Budgets are kept here because there are fewer sidecars
 * than ingresses, all requests to a service pass through them, and a retry that one
 * sidecar has no budget for may be taken by another.
 */
#ifndef DAEMON_SIDECAR_BUDGET_H
#define DAEMON_SIDECAR_BUDGET_H

#include <core/retry.h>

#include "node.h"

typedef struct SidecarBudgets SidecarBudgets;

SidecarBudgets *sidecar_budgets_create (const Node *node);
void sidecar_budgets_destroy (SidecarBudgets *budgets);

/* Returns whether a service's budget allows an attempt. */
gboolean
sidecar_budgets_allow (SidecarBudgets *budgets, const char *service, RetryKind kind);
/* Counts an attempt that has been sent to a target. */
void sidecar_budgets_note (SidecarBudgets *budgets, const char *service, RetryKind kind);

#endif
