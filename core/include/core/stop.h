/*
 * What a node may still take on while it stops. These functions do no I/O.
 *
 * Load pattern: callers use a node for some seconds after its stop order, and all targets
 * are full, so that their requests wait in queues as if the node went on.
 *
 * Rule: work that comes during a stop ends before the stop does. Its target is handed no
 * more time than the node has. It starts at once only if it probably ends in time, and
 * waits in a queue only as long as it would then almost certainly end in time. Anything
 * else is refused at once, so that its caller can use another node.
 */
#ifndef CORE_STOP_H
#define CORE_STOP_H

#include <core/latency.h>

/* Time within a stop for the answer to work that has used up its time to reach the
   caller. */
#define STOP_ANSWER_US (150 * MS_US)

/* Returns whether work that starts now probably ends within `left_us`. */
gboolean stop_may_start (const LatencyFit *fit, gint64 left_us);

/* Returns how long work may wait for its start and still almost certainly end within
   `left_us`; 0 if it may not wait. */
gint64 stop_max_wait_us (const LatencyFit *fit, gint64 left_us);

#endif
