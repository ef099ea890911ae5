/*
 * Simulates the allowance of one account on a fleet: core/allowance.h decides on each
 * node, and the messages between the nodes are delayed.
 */
#ifndef BENCH_ALLOWANCE_NET_H
#define BENCH_ALLOWANCE_NET_H

#include <core/allowance.h>

typedef enum
{
  ALLOWANCE_EQUAL,   /* each node has an equal share; no messages */
  ALLOWANCE_NO_WAIT, /* a few lenders; a node without a lent request refuses at once */
  ALLOWANCE_LENT /* a few lenders; a node without a lent request waits for an answer */
} AllowanceScheme;
#define ALLOWANCE_SCHEMES 3u

typedef enum
{
  ALLOWANCE_STEADY,  /* demand of 62 % of the allowance, at a quarter of the nodes */
  ALLOWANCE_MOVING,  /* 62 %, in a different hall each second */
  ALLOWANCE_ONE,     /* five times the allowance, at one node */
  ALLOWANCE_ALL,     /* five times, at all nodes */
  ALLOWANCE_HALLS,   /* five times, in a different hall each second */
  ALLOWANCE_CUT,     /* five times, at all nodes; one hall is cut off for 15 s */
  ALLOWANCE_RESTART, /* five times, at all nodes, which all restart within one second */
  ALLOWANCE_LOWERED, /* five times, at all nodes; the allowance is cut to a tenth */
  ALLOWANCE_SMALL /* an allowance of 1 request/s and a demand of 0.62/s, at all nodes */
} AllowancePattern;
#define ALLOWANCE_PATTERNS 9u

typedef struct
{
  AllowanceScheme scheme;
  AllowancePattern pattern;
  guint nodes;
  guint seed;
} AllowanceCase;

typedef struct
{
  double worst;   /* requests in the worst window, divided by the bound; should be <= 1 */
  double refused; /* refused share of all requests */
  double own;     /* requests let through, divided by those of one central token bucket */
  double longest_wait_ms; /* the longest wait of a request that was let through */
  double bytes;           /* per second and node, in each direction */
} AllowanceResult;

const char *allowance_scheme_name (AllowanceScheme scheme);
const char *allowance_pattern_name (AllowancePattern pattern);

AllowanceResult allowance_net_run (const AllowanceCase *it);

#endif
