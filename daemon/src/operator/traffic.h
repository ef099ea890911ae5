/*
 * Counts the bytes that this node sends to other nodes, by purpose and by whether they
 * leave its data hall, because links between halls are expensive. Each byte is counted
 * once, by its sender; headers of TCP, UDP and IP are not counted.
 */
#ifndef DAEMON_TRAFFIC_H
#define DAEMON_TRAFFIC_H

#include <core/clock.h>
#include <io/loop.h>

typedef struct Traffic Traffic;

typedef enum
{
  TRAFFIC_PROBES,     /* membership probes and answers, without the updates on them */
  TRAFFIC_RUMOURS,    /* updates on members, their targets and the quarantine */
  TRAFFIC_VIEWS,      /* comparisons of membership views */
  TRAFFIC_SESSIONS,   /* connection handshakes, and pings */
  TRAFFIC_CONFIG,     /* heads and parts of the configuration */
  TRAFFIC_REQUESTS,   /* requests to sidecars that did not refuse them */
  TRAFFIC_REFUSED,    /* requests to sidecars that refused them */
  TRAFFIC_ANSWERS,    /* a sidecar's answers, refusals included */
  TRAFFIC_CONTROL,    /* queries on attempts, cancellations, notices of leaving VMs */
  TRAFFIC_ALLOWANCES, /* lending calls for client accounts, and their answers */
  TRAFFIC_COUNT
} TrafficKind;

/* Logs the counts every minute; `loop` is borrowed. */
Traffic *traffic_create (Loop *loop);
void traffic_destroy (Traffic *traffic);

void traffic_add (Traffic *traffic, TrafficKind kind, gboolean own_hall, gsize bytes);

/* Moves bytes counted before to another kind, once their kind is known. */
void traffic_recount (
    Traffic *traffic, TrafficKind from, TrafficKind to, gboolean own_hall, gsize bytes);

/* Logs the counts. */
void traffic_log (const Traffic *traffic);

/* Appends the counts in the Prometheus text format. */
void traffic_append (const Traffic *traffic, GString *text);

#endif
