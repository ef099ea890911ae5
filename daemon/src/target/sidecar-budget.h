/*
 * The retry budgets of the services whose targets a sidecar guards. Each sidecar holds
 * its share of what the fleet may retry: there are fewer of them than ingresses, all that
 * a service receives comes by them, and what one has no room for another may take.
 */
#ifndef DAEMON_SIDECAR_BUDGET_H
#define DAEMON_SIDECAR_BUDGET_H

#include <core/retry.h>

#include "node.h"

typedef struct SidecarBudgets SidecarBudgets;

SidecarBudgets *sidecar_budgets_create (const Node *node);
void sidecar_budgets_destroy (SidecarBudgets *budgets);

/* Whether a service has room for an attempt, and that it has been sent to a target. */
gboolean
sidecar_budgets_allow (SidecarBudgets *budgets, const char *service, RetryKind kind);
void sidecar_budgets_note (SidecarBudgets *budgets, const char *service, RetryKind kind);

#endif
