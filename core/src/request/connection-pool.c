#include <core/connection-pool.h>

/* Shorter than the rest after which targets drop connections, because a target may read
   the request late. */
#define UNREPEATABLE_REST_MAX_US (50 * MS_US)
#define UNPROBED_REST_MAX_US (90 * MS_US)
/* Longest rest if the target does not say how long it keeps a connection. */
#define REST_DEFAULT_US (4 * SECOND_US)
#define REST_MAX_US (60 * SECOND_US)
/* Share of the time that the target states after which a connection is closed: the
   request must arrive before the target closes it. */
#define REST_SHARE_PERCENT 80
/* Time for which a death at rest, or surplus bytes, are remembered. Bad spells of targets
   last for seconds. */
#define LEARNED_US (10 * SECOND_US)
/* A target that resets a connection after less rest resets new ones as well. */
#define DEATH_REST_MIN_US (40 * MS_US)
/* Time around the reset of a new connection in which deaths at rest tell nothing. */
#define RESET_SPELL_US (2 * SECOND_US)
/* Time over which the connections that attempts need at a time are counted, in two
   halves. */
#define NEED_WINDOW_US (10 * SECOND_US)

typedef struct
{
  gpointer connection;
  gint64 since_us;
  gint64 until_us;
} Resting;

struct ConnectionPool
{
  Clock *clock;
  GArray *resting; /* of Resting, the one that rests longest first */
  guint limit;
  guint in_use;
  guint needed;         /* most in use in the present half of the window */
  guint needed_before;  /* and in the half before */
  gint64 half_until_us; /* end of the present half */
  gint64 reset_us;      /* when a new connection was last reset; 0 for never */
  gint64 bearable_us;   /* rest after which a connection died, halved */
  gint64 learned_us;    /* until when it counts */
  gint64 distrust_us;   /* until when unrepeatable requests use new connections */
  ConnectionPoolStats stats;
};

const char *
connection_close_reason_name (ConnectionCloseReason reason)
{
  static const char *const names[CONNECTION_CLOSE_REASONS] = {
    [CONNECTION_CLOSED_BY_TARGET] = "closed_by_target",
    [CONNECTION_SURPLUS] = "surplus",
    [CONNECTION_RESTED] = "rested",
    [CONNECTION_NOT_NEEDED] = "not_needed",
    [CONNECTION_UNFIT] = "unfit",
    [CONNECTION_DIED] = "died",
    [CONNECTION_TARGET_GONE] = "target_gone",
  };

  return names[reason];
}

ConnectionPool *
connection_pool_create (Clock *clock)
{
  ConnectionPool *pool = g_new0 (ConnectionPool, 1);

  pool->clock = clock;
  pool->resting = g_array_new (FALSE, FALSE, sizeof (Resting));
  return pool;
}

void
connection_pool_destroy (ConnectionPool *pool)
{
  if (!pool)
    return;
  g_array_unref (pool->resting);
  g_free (pool);
}

void
connection_pool_set_limit (ConnectionPool *pool, guint limit)
{
  pool->limit = limit;
}

static Resting *
at (const ConnectionPool *pool, guint i)
{
  return &g_array_index (pool->resting, Resting, i);
}

static gpointer
steal (ConnectionPool *pool, guint i)
{
  gpointer connection = at (pool, i)->connection;

  g_array_remove_index (pool->resting, i);
  return connection;
}

/* Returns the longest rest after which a connection may be used. */
static gint64
rest_max_us (const ConnectionPool *pool, gint64 now)
{
  return now < pool->learned_us ? MIN (REST_MAX_US, pool->bearable_us) : REST_MAX_US;
}

/* Moves the window of the connections needed on to the present. */
static void
move_window (ConnectionPool *pool, gint64 now)
{
  if (now < pool->half_until_us)
    return;
  pool->needed_before =
      now < pool->half_until_us + NEED_WINDOW_US / 2 ? pool->needed : pool->in_use;
  pool->needed = pool->in_use;
  pool->half_until_us = now + NEED_WINDOW_US / 2;
}

/* Returns the number of the connection to use, or -1. */
static gint
choose (const ConnectionPool *pool, ConnectionUse use, gint64 now)
{
  gint64 max = rest_max_us (pool, now);
  gint longest = -1;

  if (use != CONNECTION_USE_REPEATABLE && now < pool->distrust_us)
    return -1;
  if (use == CONNECTION_USE_UNREPEATABLE)
    {
      if (now < pool->learned_us)
        return -1;
      max = MIN (max, UNREPEATABLE_REST_MAX_US);
    }
  for (guint i = pool->resting->len; i-- > 0;)
    {
      const Resting *resting = at (pool, i);
      gint64 rested = now - resting->since_us;

      if (rested > max)
        break;
      if (now >= resting->until_us)
        continue;
      if (use != CONNECTION_USE_REPEATABLE || rested > UNPROBED_REST_MAX_US)
        return (gint)i;
      longest = (gint)i;
    }
  return longest;
}

gpointer
connection_pool_take (ConnectionPool *pool, ConnectionUse use, ConnectionRest *rest)
{
  gint64 now = clock_now (pool->clock);
  gint i = choose (pool, use, now);

  move_window (pool, now);
  pool->in_use++;
  pool->needed = MAX (pool->needed, pool->in_use);
  *rest = (ConnectionRest){ 0 };
  if (i < 0)
    {
      pool->stats.opened++;
      return NULL;
    }
  rest->rested_us = now - at (pool, (guint)i)->since_us;
  rest->probe = use == CONNECTION_USE_LAST && rest->rested_us > UNPROBED_REST_MAX_US;
  pool->stats.reused++;
  pool->stats.rest_us = MAX (pool->stats.rest_us, rest->rested_us);
  return steal (pool, (guint)i);
}

void
connection_pool_rest (ConnectionPool *pool,
                      gpointer connection,
                      gint64 rested_us,
                      gint64 keep_us)
{
  gint64 since = clock_now (pool->clock) - rested_us;
  gint64 keep = keep_us > 0 ? keep_us / 100 * REST_SHARE_PERCENT : REST_DEFAULT_US;
  Resting resting = { connection, since, since + MIN (keep, REST_MAX_US) };
  guint i = pool->resting->len;

  while (i > 0 && at (pool, i - 1)->since_us > since)
    i--;
  pool->in_use--;
  g_array_insert_val (pool->resting, i, resting);
}

void
connection_pool_adopt (ConnectionPool *pool, gpointer connection)
{
  pool->stats.opened++;
  pool->in_use++;
  connection_pool_rest (pool, connection, 0, 0);
}

void
connection_pool_note_closed (ConnectionPool *pool, ConnectionCloseReason reason)
{
  pool->in_use--;
  pool->stats.closed[reason]++;
}

/* Forgets a death at rest that a reset of a new connection soon after it explains. */
static void
note_reset (ConnectionPool *pool, gint64 now)
{
  pool->reset_us = now;
  if (pool->learned_us - LEARNED_US > now - RESET_SPELL_US)
    pool->learned_us = 0;
}

void
connection_pool_note_died (ConnectionPool *pool, gint64 rested_us)
{
  gint64 now = clock_now (pool->clock);
  gint64 half = rested_us / 2;

  connection_pool_note_closed (pool, CONNECTION_DIED);
  if (rested_us < DEATH_REST_MIN_US)
    {
      note_reset (pool, now);
      return;
    }
  if (pool->reset_us > 0 && now - pool->reset_us < RESET_SPELL_US)
    return;
  pool->bearable_us = now < pool->learned_us ? MIN (pool->bearable_us, half) : half;
  pool->learned_us = now + LEARNED_US;
}

void
connection_pool_note_surplus (ConnectionPool *pool)
{
  pool->distrust_us = clock_now (pool->clock) + LEARNED_US;
}

void
connection_pool_remove (ConnectionPool *pool,
                        gpointer connection,
                        ConnectionCloseReason reason)
{
  for (guint i = 0; i < pool->resting->len; i++)
    if (at (pool, i)->connection == connection)
      {
        steal (pool, i);
        pool->stats.closed[reason]++;
        return;
      }
}

gpointer
connection_pool_excess (ConnectionPool *pool, ConnectionCloseReason *reason)
{
  gint64 now = clock_now (pool->clock);
  gint64 max = rest_max_us (pool, now);
  guint kept;

  move_window (pool, now);
  for (guint i = 0; i < pool->resting->len; i++)
    if (now >= at (pool, i)->until_us || now - at (pool, i)->since_us > max)
      {
        *reason = CONNECTION_RESTED;
        pool->stats.closed[*reason]++;
        return steal (pool, i);
      }
  kept = MIN (MAX (pool->needed, pool->needed_before), pool->limit);
  if (pool->resting->len == 0 || pool->in_use + pool->resting->len <= kept)
    return NULL;
  *reason = CONNECTION_NOT_NEEDED;
  pool->stats.closed[*reason]++;
  return steal (pool, 0);
}

gpointer
connection_pool_clear (ConnectionPool *pool)
{
  if (pool->resting->len == 0)
    return NULL;
  pool->stats.closed[CONNECTION_TARGET_GONE]++;
  return steal (pool, 0);
}

guint
connection_pool_resting (const ConnectionPool *pool)
{
  return pool->resting->len;
}

guint
connection_pool_in_use (const ConnectionPool *pool)
{
  return pool->in_use;
}

const ConnectionPoolStats *
connection_pool_stats (const ConnectionPool *pool)
{
  return &pool->stats;
}
