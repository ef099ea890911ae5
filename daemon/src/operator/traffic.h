/*
 * Bytes that this node has sent to other nodes, by what they were for and by whether they
 * left its data hall: links between halls are the dear ones. Each byte is counted once,
 * by its sender; headers of TCP, UDP and IP are not.
 */
#ifndef DAEMON_TRAFFIC_H
#define DAEMON_TRAFFIC_H

#include <core/clock.h>
#include <io/loop.h>

typedef struct Traffic Traffic;

typedef enum
{
  TRAFFIC_PROBES,     /* probes of members and their answers, without the news on them */
  TRAFFIC_RUMOURS,    /* news of members, and what they say of their targets */
  TRAFFIC_VIEWS,      /* comparisons of whole views */
  TRAFFIC_SESSIONS,   /* openings of connections, and pings on them */
  TRAFFIC_CONFIG,     /* heads and parts of the configuration */
  TRAFFIC_REQUESTS,   /* requests on their way to a sidecar that took them */
  TRAFFIC_REFUSED,    /* and to one that did not */
  TRAFFIC_ANSWERS,    /* a sidecar's answers, refusals included */
  TRAFFIC_CONTROL,    /* questions about attempts, and cancellations */
  TRAFFIC_ALLOWANCES, /* of client accounts: questions and answers */
  TRAFFIC_COUNT
} TrafficKind;

/* Logs its counts by itself, each minute; `loop` is borrowed. */
Traffic *traffic_create (Loop *loop);
void traffic_destroy (Traffic *traffic);

void traffic_add (Traffic *traffic, TrafficKind kind, gboolean own_hall, gsize bytes);

/* Counts what was sent as one kind as another, once it is known to be that. */
void traffic_recount (
    Traffic *traffic, TrafficKind from, TrafficKind to, gboolean own_hall, gsize bytes);

/* Writes the counts to the log now. */
void traffic_log (const Traffic *traffic);

/* Appends the counts in the usual text exposition. */
void traffic_append (const Traffic *traffic, GString *text);

#endif
