/*
 * Which connection to one start of a target an attempt uses, and how long a connection is
 * kept between attempts. The pool does no I/O: connections are the owner's pointers.
 *
 * Load pattern: a node sends one target a few requests a second or some hundreds, in
 * bursts. Each new connection costs the target a handshake and may hold one of its slots.
 * Between two requests a connection rests, and the target may close it, or forget it
 * without a word; what is sent next on it is then reset, and nobody knows whether it ran.
 *
 * Rule: an attempt that may be followed by another takes the connection that rested the
 * shortest among those that only need no probe for such an attempt, and else the one that
 * rested longest. An unrepeatable request, or the last attempt of another, takes the
 * connection that rested the shortest; a lost one would leave its caller without an
 * answer. So after UNPROBED_REST_MAX_US the connection is probed first: an empty line,
 * which is no request, is reset as the request would be. When a connection turns out to
 * have died at rest, all that rested half as long or longer are closed, and none is used
 * after so long a rest for LEARNED_US; unless the target also resets new connections at
 * that time, which explains the death. No more connections are kept than attempts have
 * needed at a time within NEED_WINDOW_US, nor than the target accepts.
 */
#ifndef CORE_CONNECTION_POOL_H
#define CORE_CONNECTION_POOL_H

#include <core/clock.h>

typedef struct ConnectionPool ConnectionPool;

/* Why a connection was closed. */
typedef enum
{
  CONNECTION_CLOSED_BY_TARGET, /* at rest */
  CONNECTION_SURPLUS,          /* bytes that belong to no request came on it */
  CONNECTION_RESTED,           /* at rest for too long */
  CONNECTION_NOT_NEEDED,       /* more than the last seconds needed */
  CONNECTION_UNFIT,            /* its last exchange does not allow another */
  CONNECTION_DIED,             /* it ended before the first byte of an answer */
  CONNECTION_TARGET_GONE, /* the target leaves, or another one answers at its address */
  CONNECTION_CLOSE_REASONS
} ConnectionCloseReason;

const char *connection_close_reason_name (ConnectionCloseReason reason);

/* Totals since the pool was created. */
typedef struct
{
  guint64 opened;
  guint64 reused;
  guint64 closed[CONNECTION_CLOSE_REASONS];
  gint64 rest_us; /* the longest rest after which a connection was used */
} ConnectionPoolStats;

/* `clock` is borrowed. */
ConnectionPool *connection_pool_create (Clock *clock);
void connection_pool_destroy (ConnectionPool *pool);

/* Sets how many connections the target accepts from this node; 0 keeps none. */
void connection_pool_set_limit (ConnectionPool *pool, guint limit);

typedef struct
{
  gint64 rested_us; /* 0 for a new connection */
  gboolean probe;   /* the connection must be probed before the request is sent */
} ConnectionRest;

/* Takes a connection at rest for an attempt, and describes its rest; `repeatable` says
   that the attempt may be followed by another. Returns NULL if the attempt needs a new
   one, which is counted as opened. */
gpointer
connection_pool_take (ConnectionPool *pool, gboolean repeatable, ConnectionRest *rest);

/* Puts a connection that was in use to rest. `keep_us` is how long the target says that
   it keeps it; 0 if it does not say. */
void connection_pool_rest (ConnectionPool *pool, gpointer connection, gint64 keep_us);

/* Puts a connection to rest that the owner has opened for another purpose. */
void connection_pool_adopt (ConnectionPool *pool, gpointer connection);

/* Records that a connection in use was closed. */
void connection_pool_note_closed (ConnectionPool *pool, ConnectionCloseReason reason);

/* Records that a connection taken after a rest of `rested_us`, 0 for a new one, ended
   before the first byte of an answer, and was closed. */
void connection_pool_note_died (ConnectionPool *pool, gint64 rested_us);

/* Records that the target sent bytes that belong to no request. For LEARNED_US
   unrepeatable requests use new connections: such bytes may be read as their answers. */
void connection_pool_note_surplus (ConnectionPool *pool);

/* Removes a connection at rest, which the owner closes. */
void connection_pool_remove (ConnectionPool *pool,
                             gpointer connection,
                             ConnectionCloseReason reason);

/* Removes a connection that must not rest on, and returns it for the owner to close; NULL
   if there is none. */
gpointer connection_pool_excess (ConnectionPool *pool, ConnectionCloseReason *reason);

/* Removes any connection at rest, because the target is gone; NULL if none is left. */
gpointer connection_pool_clear (ConnectionPool *pool);

guint connection_pool_resting (const ConnectionPool *pool);
guint connection_pool_in_use (const ConnectionPool *pool);
const ConnectionPoolStats *connection_pool_stats (const ConnectionPool *pool);

#endif
