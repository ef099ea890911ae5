#include <core/allowance.h>

#include <math.h>
#include <string.h>

/* Time constant of the mean rate of use. */
#define RATE_SPAN_US SECOND_US
/* Share of ALLOWANCE_HOLD_US for which requests are leased in advance; later requests are
   covered by later answers. */
#define PREFETCH_SHARE 0.5
/* Accounts without a request for this long are removed. */
#define IDLE_US (30 * SECOND_US)

/* Requests leased with one answer. */
typedef struct
{
  guint count;
  gint64 until_us;
} LeaseBatch;

/* A lender that is not asked until `until_us`. */
typedef struct
{
  char *lender;
  gint64 until_us;
} Pause;

typedef struct
{
  GArray *lease_batches; /* of LeaseBatch, oldest first */
  GArray *pauses;        /* of Pause */
  double rate;           /* requests let through a second, as of `at_us` */
  gint64 at_us;          /* when the last request was let through */
} Holding;

struct AllowanceCache
{
  Clock *clock;
  GHashTable *by_account; /* account → Holding */
  gint64 swept_us;
};

static void
clear_pause (gpointer data)
{
  g_free (((Pause *)data)->lender);
}

static void
holding_free (gpointer data)
{
  Holding *holding = data;

  g_array_unref (holding->lease_batches);
  g_array_unref (holding->pauses);
  g_free (holding);
}

AllowanceCache *
allowance_cache_create (Clock *clock)
{
  AllowanceCache *cache = g_new0 (AllowanceCache, 1);

  cache->clock = clock;
  cache->by_account =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, holding_free);
  cache->swept_us = clock_now (clock);
  return cache;
}

void
allowance_cache_destroy (AllowanceCache *cache)
{
  if (!cache)
    return;
  g_hash_table_unref (cache->by_account);
  g_free (cache);
}

static Holding *
holding_of (AllowanceCache *cache, const char *account)
{
  Holding *holding = g_hash_table_lookup (cache->by_account, account);

  if (holding)
    return holding;
  holding = g_new0 (Holding, 1);
  holding->lease_batches = g_array_new (FALSE, FALSE, sizeof (LeaseBatch));
  holding->pauses = g_array_new (FALSE, FALSE, sizeof (Pause));
  g_array_set_clear_func (holding->pauses, clear_pause);
  holding->at_us = clock_now (cache->clock);
  g_hash_table_insert (cache->by_account, g_strdup (account), holding);
  return holding;
}

static void
sweep (AllowanceCache *cache, gint64 now_us)
{
  GHashTableIter iter;
  gpointer holding;

  if (now_us - cache->swept_us < IDLE_US)
    return;
  cache->swept_us = now_us;
  g_hash_table_iter_init (&iter, cache->by_account);
  while (g_hash_table_iter_next (&iter, NULL, &holding))
    if (now_us - ((Holding *)holding)->at_us > IDLE_US)
      g_hash_table_iter_remove (&iter);
}

static double
decay (const Holding *holding, gint64 now_us)
{
  return exp (-(double)(now_us - holding->at_us) / RATE_SPAN_US);
}

static void
note_use (Holding *holding, gint64 now_us)
{
  holding->rate = holding->rate * decay (holding, now_us) + 1;
  holding->at_us = now_us;
}

double
allowance_cache_use_rate (const AllowanceCache *cache, const char *account)
{
  const Holding *holding = g_hash_table_lookup (cache->by_account, account);

  return holding ? holding->rate * decay (holding, clock_now (cache->clock)) : 0;
}

static void
drop_expired_batches (Holding *holding, gint64 now_us)
{
  while (holding->lease_batches->len > 0 &&
         (g_array_index (holding->lease_batches, LeaseBatch, 0).until_us <= now_us ||
          g_array_index (holding->lease_batches, LeaseBatch, 0).count == 0))
    g_array_remove_index (holding->lease_batches, 0);
}

gboolean
allowance_cache_take (AllowanceCache *cache, const char *account)
{
  Holding *holding = g_hash_table_lookup (cache->by_account, account);
  gint64 now = clock_now (cache->clock);

  if (!holding)
    return FALSE;
  drop_expired_batches (holding, now);
  if (holding->lease_batches->len == 0)
    return FALSE;
  g_array_index (holding->lease_batches, LeaseBatch, 0).count--;
  note_use (holding, now);
  return TRUE;
}

static guint
count_usable (const Holding *holding, gint64 now_us)
{
  guint count = 0;

  for (guint i = 0; i < holding->lease_batches->len; i++)
    {
      const LeaseBatch *lease_batch =
          &g_array_index (holding->lease_batches, LeaseBatch, i);

      count += lease_batch->until_us > now_us ? lease_batch->count : 0;
    }
  return count;
}

/*
 * The number follows the rate of requests let through rather than of those that arrive:
 * most leases for a flood would expire unused. The first request after an idle time does
 * not predict a second one, hence the subtraction of 1. No more is leased in advance
 * until half of what was leased in advance is used.
 */
guint
allowance_cache_prefetch_count (const AllowanceCache *cache, const char *account)
{
  const Holding *holding = g_hash_table_lookup (cache->by_account, account);
  double span = PREFETCH_SHARE * ALLOWANCE_HOLD_US / SECOND_US;
  double rate = allowance_cache_use_rate (cache, account) - 1;
  guint wanted = rate > 0 ? (guint)(rate * span) : 0;
  guint held = holding ? count_usable (holding, clock_now (cache->clock)) : 0;

  return held * 2 > wanted ? 0 : wanted - held;
}

void
allowance_cache_add (AllowanceCache *cache,
                     const char *account,
                     guint count,
                     gint64 asked_us)
{
  LeaseBatch lease_batch = { count, asked_us + ALLOWANCE_HOLD_US };

  sweep (cache, clock_now (cache->clock));
  if (count > 0)
    g_array_append_val (holding_of (cache, account)->lease_batches, lease_batch);
}

static Pause *
lender_pause (const Holding *holding, const char *lender)
{
  for (guint i = 0; i < holding->pauses->len; i++)
    {
      Pause *pause = &g_array_index (holding->pauses, Pause, i);

      if (strcmp (pause->lender, lender) == 0)
        return pause;
    }
  return NULL;
}

/* Lenders change with the fleet, so expired entries are removed. */
static void
drop_expired_pauses (Holding *holding, gint64 now_us)
{
  for (guint i = holding->pauses->len; i-- > 0;)
    if (g_array_index (holding->pauses, Pause, i).until_us <= now_us)
      g_array_remove_index_fast (holding->pauses, i);
}

void
allowance_cache_pause_lender (AllowanceCache *cache,
                              const char *account,
                              const char *lender,
                              gint64 for_us)
{
  gint64 now = clock_now (cache->clock);
  Holding *holding = holding_of (cache, account);
  Pause *pause;

  drop_expired_pauses (holding, now);
  pause = lender_pause (holding, lender);
  if (!pause)
    {
      Pause fresh = { g_strdup (lender), now };

      g_array_append_val (holding->pauses, fresh);
      pause = lender_pause (holding, lender);
    }
  pause->until_us = now + for_us;
}

gint
allowance_cache_pick_lender (const AllowanceCache *cache,
                             const char *account,
                             const char *const *lenders,
                             guint count,
                             gint64 *wait_us)
{
  const Holding *holding = g_hash_table_lookup (cache->by_account, account);
  gint64 now = clock_now (cache->clock);
  gint64 first = G_MAXINT64;

  for (guint i = 0; i < count; i++)
    {
      const Pause *pause = holding ? lender_pause (holding, lenders[i]) : NULL;

      if (!pause || pause->until_us <= now)
        return (gint)i;
      first = MIN (first, pause->until_us);
    }
  *wait_us = count > 0 ? first - now : ALLOWANCE_HOLD_US;
  return -1;
}
