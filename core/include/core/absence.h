/*
 * Nodes that the platform's list names although they are no live members. Records how
 * long each has been missing, so that one live node removes the list entries of nodes
 * that do not return.
 */
#ifndef CORE_ABSENCE_H
#define CORE_ABSENCE_H

#include <core/members.h>

typedef struct Absences Absences;

/* A node counts as gone after it has been listed and missing for `absence_limit_us`. */
Absences *absences_create (gint64 absence_limit_us, Clock *clock);
void absences_destroy (Absences *absences);

/* Notes that the list names a node and whether the node is missing. Returns TRUE when it
   has been missing for `absence_limit_us`. */
gboolean absences_note (Absences *absences, const char *node, gboolean missing);

/*
 * Returns TRUE when self is the live node that removes the list entry of `node`. Nodes
 * with equal views agree on exactly one.
 */
gboolean absences_is_responsible (Members *members, const char *node);

#endif
