/*
 * Intents and plans: an operator says what is wanted, a plan says what that would
 * change, and nothing changes before the plan is confirmed.
 */
#ifndef CORE_PLAN_H
#define CORE_PLAN_H

#include <core/config.h>

typedef struct Plan Plan;

/* Whether a target is healthy now, by the names in the running configuration. */
typedef gboolean (*PlanHealthy) (const char *service, const char *target, gpointer data);

/*
 * Works an intent out against `base`. NULL, with faults noted by JSON path, when the
 * intent is not valid. The id depends on the base generation and the result alone.
 */
Plan *plan_create (const Snapshot *base,
                   const char *intent,
                   gssize len,
                   PlanHealthy healthy,
                   gpointer data,
                   JsonFaults *faults);
void plan_destroy (Plan *plan);

const char *plan_id (const Plan *plan);
guint64 plan_base_generation (const Plan *plan);
/* Whether the intent leaves everything as it is. */
gboolean plan_is_empty (const Plan *plan);
/* Whether it takes the healthy capacity of a service below its floor. */
gboolean plan_is_refused (const Plan *plan);
/* The parts to write, of ConfigPart, and the head that names them. */
const GPtrArray *plan_parts (const Plan *plan);
const ConfigHead *plan_head (const Plan *plan);
/* The plan for an operator, as JSON. */
char *plan_text (const Plan *plan);

#endif
