/*
 * Weighted traffic split of a route among services. Each request goes to one service, by
 * smooth weighted round robin.
 */
#ifndef CORE_SPLIT_H
#define CORE_SPLIT_H

#include <core/config.h>

typedef struct Splitter Splitter;

/* `rand` is borrowed; it selects the turn at which each route begins. */
Splitter *splitter_create (GRand *rand);
void splitter_destroy (Splitter *splitter);

/* Returns the service for the next request on a route; the route owns the string. */
const char *splitter_pick (Splitter *splitter, const Route *route);

/* Discards the state of all routes; call it when the routes have changed. */
void splitter_reset (Splitter *splitter);

#endif
