/*
 * Which connection to one start of a target an attempt uses, and how long a connection is
 * kept between attempts. The pool does no I/O: connections are the owner's pointers.
 *
 * Load pattern: a node sends one target a few requests a second or some hundreds, in
 * bursts. Each new connection costs the target a handshake and may hold one of its slots.
 * Between two requests a connection rests, and the target may close it, or forget it
 * without a word; what is sent next on it is then reset, and nobody knows whether it ran.
 *
 * Rule: what is sent on a connection that the target has dropped is reset, and nobody can
 * tell then whether it ran. The rest counts from the arrival of the last answer to the
 * moment at which the target reads the request, which is later than the moment at which
 * it was sent. No probe can prove that a connection will still be there. So an
 * unrepeatable request uses a connection that rested for UNREPEATABLE_REST_MAX_US at
 * most, far less than targets keep connections, and else a new one. An attempt that may
 * be followed by another takes the connection that rested the shortest among those that
 * the last attempt of a request could not use without a probe, and else the one that
 * rested longest. The last attempt of a repeatable request takes the connection that
 * rested the shortest; after UNPROBED_REST_MAX_US it is probed first: an empty line,
 * which is no request, is reset as the request would be. When a connection turns out to
 * have died at rest, all that rested half as long or longer are closed, none is used
 * after so long a rest for LEARNED_US, and unrepeatable requests use new connections for
 * that time; unless the target also resets new connections at that time, which explains
 * the death. No more connections are kept than attempts have needed at a time within
 * NEED_WINDOW_US, nor than the target accepts.
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

/* What depends on the answer to an attempt. */
typedef enum
{
  CONNECTION_USE_REPEATABLE, /* another attempt may follow */
  CONNECTION_USE_LAST, /* the request may be repeated, but no other attempt may follow */
  CONNECTION_USE_UNREPEATABLE
} ConnectionUse;

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

/* Takes a connection at rest for an attempt, and describes its rest. Returns NULL if the
   attempt needs a new one, which is counted as opened. */
gpointer
connection_pool_take (ConnectionPool *pool, ConnectionUse use, ConnectionRest *rest);

/* Puts a connection that was in use to rest. `rested_us` is the time since the last
   answer arrived on it, which may have been read late. `keep_us` is how long the target
   says that it keeps the connection; 0 if it does not say. */
void connection_pool_rest (ConnectionPool *pool,
                           gpointer connection,
                           gint64 rested_us,
                           gint64 keep_us);

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
