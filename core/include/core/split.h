/*
 * Routes that are shared out among services: each request goes to one of them, in turns
 * that follow the weights as closely as whole requests can.
 */
#ifndef CORE_SPLIT_H
#define CORE_SPLIT_H

#include <core/config.h>

typedef struct Splitter Splitter;

/* `rand` is borrowed, and decides at which turn a route begins. */
Splitter *splitter_create (GRand *rand);
void splitter_destroy (Splitter *splitter);

/* The service of the next request on a route; borrowed from the route. */
const char *splitter_pick (Splitter *splitter, const Route *route);

/* Forgets all turns: the routes have changed. */
void splitter_prune (Splitter *splitter);

#endif
