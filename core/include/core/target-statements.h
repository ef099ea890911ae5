/*
 * What targets have stated about themselves, as an ingress remembers it. The sidecar of a
 * target decides; but it forgets when its node starts again, while the ingresses that
 * were told are still bound. An entry belongs to one start of a target.
 */
#ifndef CORE_TARGET_STATEMENTS_H
#define CORE_TARGET_STATEMENTS_H

#include <core/named-rate.h>

typedef struct TargetStatements TargetStatements;

/* `clock` is borrowed. */
TargetStatements *target_statements_create (Clock *clock);
void target_statements_destroy (TargetStatements *statements);

/* Takes the state of a named rate from a sidecar's report. NAMED_RATE_UNKNOWN changes
   nothing. */
void target_statements_note_rate (TargetStatements *statements,
                                  const char *target,
                                  NamedRateState state,
                                  double per_s);

/* Returns whether the target has named a rate, and stores it in `per_s`. */
gboolean target_statements_rate (const TargetStatements *statements,
                                 const char *target,
                                 double *per_s);

/* Notes that the target has said that it leaves. It does not come back under this name.
 */
void target_statements_note_leaving (TargetStatements *statements, const char *target);
gboolean target_statements_is_leaving (const TargetStatements *statements,
                                       const char *target);

#endif
