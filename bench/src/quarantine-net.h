/*
 * Simulates the quarantine on a fleet. Measures the time until the last reachable node
 * quarantines a request that has crashed three targets, and the bytes that nodes send for
 * it. Compares two protocols:
 *
 * - spread: each crash is disseminated to all nodes by gossip, as in
 *   daemon/src/member/gossip.c, and every node counts for itself;
 * - home: each crash is reported to two home nodes of the request, which are found by
 *   hashing over the members; they count and disseminate only what is quarantined.
 */
#ifndef BENCH_QUARANTINE_NET_H
#define BENCH_QUARANTINE_NET_H

#include <core/quarantine.h>

typedef enum
{
  QUARANTINE_SCHEME_SPREAD,
  QUARANTINE_SCHEME_HOME,
  QUARANTINE_SCHEMES
} QuarantineScheme;

typedef enum
{
  QUARANTINE_PLAIN, /* three crashes, seen by three nodes, each with three other requests
                       running at the target */
  QUARANTINE_LOSS,  /* PLAIN with one message in twenty lost */
  QUARANTINE_GONE,  /* PLAIN with one node in ten, and a home node, stopped unnoticed */
  QUARANTINE_RACK,  /* PLAIN while 30 targets crash at once with ten requests each */
  QUARANTINE_JOIN,  /* PLAIN; one node starts afterwards and learns by its first probe */
  QUARANTINE_PATTERNS
} QuarantinePattern;

typedef struct
{
  QuarantineScheme scheme;
  QuarantinePattern pattern;
  guint nodes;
  guint halls;
  guint32 seed;
} QuarantineCase;

typedef struct
{
  gint64 last_us;     /* from the third crash until the last running node quarantines the
                         request; -1 if one has not by the end of the simulation */
  double mean_bytes;  /* sent by a node during the simulated QUARANTINE_SPAN_US */
  double worst_bytes; /* sent by the node that sends most */
  guint innocent;     /* other requests quarantined, summed over the nodes */
} QuarantineResult;

#define QUARANTINE_SPAN_US (5 * SECOND_US)

const char *quarantine_scheme_name (QuarantineScheme scheme);
const char *quarantine_pattern_name (QuarantinePattern pattern);

QuarantineResult quarantine_net_run (const QuarantineCase *params);

#endif
