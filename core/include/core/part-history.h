/*
 * The parts that newer ones have replaced lately. A node that is still fetching an
 * earlier head finds its parts here, so that changes which follow each other faster than
 * it fetches do not keep it from putting any in force.
 */
#ifndef CORE_PART_HISTORY_H
#define CORE_PART_HISTORY_H

#include <core/clock.h>

typedef struct PartHistory PartHistory;

/* Keeps parts for `keep_us`, and at most `bytes_max` bytes of them. The clock is
   borrowed. */
PartHistory *part_history_create (Clock *clock, gint64 keep_us, gsize bytes_max);
void part_history_destroy (PartHistory *history);

/* Adds a packed part, of which it takes a reference. */
void part_history_add (PartHistory *history, const char *digest, GBytes *packed);

/* Returns the packed part, which is valid until the next call; NULL if it is not kept. */
GBytes *part_history_find (PartHistory *history, const char *digest);

#endif
