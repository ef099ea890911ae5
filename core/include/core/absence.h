/*
 * Nodes that the platform lists and nobody hears of: how long each has been missing, so
 * that one survivor removes what is left of those who do not come back.
 */
#ifndef CORE_ABSENCE_H
#define CORE_ABSENCE_H

#include <core/members.h>

typedef struct Absences Absences;

/* A node is gone for good after `patience_us` of being listed and missing. */
Absences *absences_create (gint64 patience_us, Clock *clock);
void absences_destroy (Absences *absences);

/* Notes that a list names a node; TRUE when it has been missing for long. */
gboolean absences_note (Absences *absences, const char *node, gboolean missing);

/*
 * Whether it is for `self` to remove what is left of a node: the same one of the living
 * comes out at every node that has the same view.
 */
gboolean absences_is_mine (Members *members, const char *node);

#endif
