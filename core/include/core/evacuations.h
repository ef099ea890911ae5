/*
 * Which data halls are evacuated: their targets take nothing new until the hall is taken
 * back.
 *
 * The whole set is one value, as new as the moment at which the store was read: its era,
 * then its revision. The newer of two readings replaces the older, wherever it comes
 * from, so that news may come late, twice, or from a node that has heard less, and
 * nothing goes back.
 */
#ifndef CORE_EVACUATIONS_H
#define CORE_EVACUATIONS_H

#include <glib.h>

/* As many halls as one message between nodes names. */
#define EVACUATIONS_MAX 16u

typedef struct Evacuations Evacuations;

/* Nothing is evacuated, and nothing has been read. */
Evacuations *evacuations_create (void);
void evacuations_destroy (Evacuations *evacuations);

/*
 * A reading: `halls` of char *, all that are evacuated. Of more than EVACUATIONS_MAX the
 * first by name are taken, by all nodes alike. TRUE when the set has changed.
 */
gboolean evacuations_take (Evacuations *evacuations,
                           guint64 era,
                           guint64 revision,
                           const GPtrArray *halls);

gboolean evacuations_has (const Evacuations *evacuations, const char *hall);
/* Of char *, by name; borrowed until the next reading. */
const GPtrArray *evacuations_halls (const Evacuations *evacuations);
/* Of the newest reading; 0 for none. */
guint64 evacuations_era (const Evacuations *evacuations);
guint64 evacuations_revision (const Evacuations *evacuations);

#endif
