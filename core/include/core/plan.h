/*
 * Plans: an operator submits an intent, and the plan lists what it would change. The
 * configuration changes only when the operator confirms the plan.
 */
#ifndef CORE_PLAN_H
#define CORE_PLAN_H

#include <core/config.h>

typedef struct Plan Plan;

/* Returns whether a target is healthy now. Called with names from the running
   configuration and from the plan. It must return TRUE for unknown targets. */
typedef gboolean (*PlanHealthyFunc) (const char *service,
                                     const char *target,
                                     gpointer data);

/*
 * Applies the intent, a JSON text, to `base`. Returns NULL and adds faults with their
 * JSON paths if the intent is not valid. The plan's id depends only on the base
 * generation and the result.
 */
Plan *plan_create (const Snapshot *base,
                   const char *intent,
                   gssize len,
                   PlanHealthyFunc healthy,
                   gpointer data,
                   JsonFaults *faults);
void plan_destroy (Plan *plan);

const char *plan_id (const Plan *plan);
guint64 plan_base_generation (const Plan *plan);
/* Returns whether the plan lists no changes. */
gboolean plan_is_empty (const Plan *plan);
/* Returns whether the plan takes the healthy slots of a service below its floor. */
gboolean plan_is_refused (const Plan *plan);
/* The changed parts (ConfigPart), to be written, and the head that lists all parts. */
const GPtrArray *plan_parts (const Plan *plan);
const ConfigHead *plan_head (const Plan *plan);
/* Returns the plan as JSON, as operators get it; the caller frees it. */
char *plan_text (const Plan *plan);

#endif
