/*
 * How long a ping of a node may take before the node counts as lost.
 *
 * Load pattern: a node whose processor or link is overloaded answers pings after some
 * hundred milliseconds, while what was sent to it still runs there.
 *
 * Rule: a ping may take several times as long as pings of this node have taken lately,
 * between a least time, for which a lost packet allows, and PING_TIME_MAX_US. What they
 * have taken rises at once and falls slowly, because the answers of an overloaded node
 * vary.
 */
#ifndef CORE_PING_TIME_H
#define CORE_PING_TIME_H

#include <core/clock.h>

#define PING_TIME_MAX_US (2 * SECOND_US)

/* What pings of one node have taken lately. Zeroed, none is known. */
typedef struct
{
  gint64 lately_us;
} PingTime;

/* Records how long a ping took, answered or not. */
void ping_time_note (PingTime *time, gint64 took_us);

gint64 ping_time_timeout_us (const PingTime *time, gint64 least_us);

#endif
