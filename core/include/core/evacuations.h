/*
 * The set of evacuated data halls. Targets in an evacuated hall get no new requests until
 * the hall is taken back.
 *
 * The set is a last-writer-wins register. Its version is the era of the store and then
 * the revision at which the store was read. Only a newer version replaces the set,
 * whichever node it comes from, so updates may be delayed, duplicated or reordered.
 */
#ifndef CORE_EVACUATIONS_H
#define CORE_EVACUATIONS_H

#include <glib.h>

/* Maximum number of halls in one message between nodes (SW_EVACUATED_MAX). */
#define EVACUATIONS_MAX 16u

typedef struct Evacuations Evacuations;

/* Creates an empty set with version 0. */
Evacuations *evacuations_create (void);
void evacuations_destroy (Evacuations *evacuations);

/*
 * Replaces the set by `halls` (of char *, copied) if the version is newer. Of more than
 * EVACUATIONS_MAX halls only the first by name are kept, the same ones on all nodes.
 * Returns whether the set has changed.
 */
gboolean evacuations_update (Evacuations *evacuations,
                             guint64 era,
                             guint64 revision,
                             const GPtrArray *halls);

gboolean evacuations_has (const Evacuations *evacuations, const char *hall);
/* Returns the halls (char *) sorted by name; valid until the set is replaced. */
const GPtrArray *evacuations_halls (const Evacuations *evacuations);
/* The version of the set; 0 if the store was never read. */
guint64 evacuations_era (const Evacuations *evacuations);
guint64 evacuations_revision (const Evacuations *evacuations);

#endif
