/*
 * Allowances over a simulated fleet: the decisions of core/allowance.h on each node, and
 * the messages between them with their delay. One account at a time.
 */
#ifndef BENCH_ALLOWANCE_NET_H
#define BENCH_ALLOWANCE_NET_H

#include <core/allowance.h>

typedef enum
{
  ALLOWANCE_EQUAL,   /* an equal part at each node, without a message */
  ALLOWANCE_NO_WAIT, /* lent by a few; what finds nothing at hand is refused at once */
  ALLOWANCE_LENT     /* lent by a few; it waits for one answer */
} AllowanceWay;
#define ALLOWANCE_WAYS 3u

typedef enum
{
  ALLOWANCE_STEADY,  /* 62 % of the allowance, by callers at a quarter of the nodes */
  ALLOWANCE_MOVING,  /* 62 %, all of it in another hall each second */
  ALLOWANCE_ONE,     /* five times the allowance, at one node */
  ALLOWANCE_ALL,     /* five times, at all nodes */
  ALLOWANCE_HALLS,   /* five times, in another hall each second */
  ALLOWANCE_CUT,     /* five times, at all nodes; a hall is cut off for 15 s */
  ALLOWANCE_RESTART, /* five times, at all nodes, which all start again in one second */
  ALLOWANCE_LOWERED, /* five times, at all nodes; the allowance is lowered to a tenth */
  ALLOWANCE_SMALL    /* one request a second is allowed, and 0.6 come, at any node */
} AllowancePattern;
#define ALLOWANCE_PATTERNS 9u

typedef struct
{
  AllowanceWay way;
  AllowancePattern pattern;
  guint nodes;
  guint seed;
} AllowanceCase;

typedef struct
{
  double worst;    /* the worst window over what is allowed in one; 1 at most */
  double refused;  /* share of what was asked */
  double own;      /* what was let through, over what one bucket for all lets through */
  double moved_ms; /* the longest that the first request of a hall waited, for
                      patterns that move */
  double bytes;    /* a second and node, each way */
} AllowanceResult;

const char *allowance_way_name (AllowanceWay way);
const char *allowance_pattern_name (AllowancePattern pattern);

AllowanceResult allowance_net_run (const AllowanceCase *it);

#endif
