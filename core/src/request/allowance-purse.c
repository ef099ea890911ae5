#include <core/allowance.h>

#include <math.h>
#include <string.h>

/* Time constant of the mean rate of use. */
#define RATE_SPAN_US SECOND_US
/* Share of ALLOWANCE_HOLD_US for which requests are leased in advance; later requests are
   covered by later answers. */
#define RESERVE_SHARE 0.5
/* Accounts without a request for this long are removed. */
#define IDLE_US (30 * SECOND_US)

/* Requests leased with one answer. */
typedef struct
{
  guint count;
  gint64 until_us;
} Lot;

/* A lender that is not asked until `until_us`. */
typedef struct
{
  char *lender;
  gint64 until_us;
} Pause;

typedef struct
{
  GArray *lots;   /* of Lot, oldest first */
  GArray *pauses; /* of Pause */
  double rate;    /* requests let through a second, as of `at_us` */
  gint64 at_us;   /* when the last request was let through */
} Holding;

struct AllowancePurse
{
  Clock *clock;
  GHashTable *holdings; /* account → Holding */
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

  g_array_unref (holding->lots);
  g_array_unref (holding->pauses);
  g_free (holding);
}

AllowancePurse *
allowance_purse_create (Clock *clock)
{
  AllowancePurse *purse = g_new0 (AllowancePurse, 1);

  purse->clock = clock;
  purse->holdings = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, holding_free);
  purse->swept_us = clock_now (clock);
  return purse;
}

void
allowance_purse_destroy (AllowancePurse *purse)
{
  if (!purse)
    return;
  g_hash_table_unref (purse->holdings);
  g_free (purse);
}

static Holding *
holding_of (AllowancePurse *purse, const char *account)
{
  Holding *holding = g_hash_table_lookup (purse->holdings, account);

  if (holding)
    return holding;
  holding = g_new0 (Holding, 1);
  holding->lots = g_array_new (FALSE, FALSE, sizeof (Lot));
  holding->pauses = g_array_new (FALSE, FALSE, sizeof (Pause));
  g_array_set_clear_func (holding->pauses, clear_pause);
  holding->at_us = clock_now (purse->clock);
  g_hash_table_insert (purse->holdings, g_strdup (account), holding);
  return holding;
}

static void
sweep (AllowancePurse *purse, gint64 now_us)
{
  GHashTableIter iter;
  gpointer holding;

  if (now_us - purse->swept_us < IDLE_US)
    return;
  purse->swept_us = now_us;
  g_hash_table_iter_init (&iter, purse->holdings);
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
allowance_purse_rate (const AllowancePurse *purse, const char *account)
{
  const Holding *holding = g_hash_table_lookup (purse->holdings, account);

  return holding ? holding->rate * decay (holding, clock_now (purse->clock)) : 0;
}

static void
drop_old (Holding *holding, gint64 now_us)
{
  while (holding->lots->len > 0 &&
         (g_array_index (holding->lots, Lot, 0).until_us <= now_us ||
          g_array_index (holding->lots, Lot, 0).count == 0))
    g_array_remove_index (holding->lots, 0);
}

gboolean
allowance_purse_spend (AllowancePurse *purse, const char *account)
{
  Holding *holding = g_hash_table_lookup (purse->holdings, account);
  gint64 now = clock_now (purse->clock);

  if (!holding)
    return FALSE;
  drop_old (holding, now);
  if (holding->lots->len == 0)
    return FALSE;
  g_array_index (holding->lots, Lot, 0).count--;
  note_use (holding, now);
  return TRUE;
}

static guint
at_hand (const Holding *holding, gint64 now_us)
{
  guint count = 0;

  for (guint i = 0; i < holding->lots->len; i++)
    {
      const Lot *lot = &g_array_index (holding->lots, Lot, i);

      count += lot->until_us > now_us ? lot->count : 0;
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
allowance_purse_reserve (const AllowancePurse *purse, const char *account)
{
  const Holding *holding = g_hash_table_lookup (purse->holdings, account);
  double span = RESERVE_SHARE * ALLOWANCE_HOLD_US / SECOND_US;
  double rate = allowance_purse_rate (purse, account) - 1;
  guint wanted = rate > 0 ? (guint)(rate * span) : 0;
  guint held = holding ? at_hand (holding, clock_now (purse->clock)) : 0;

  return held * 2 > wanted ? 0 : wanted - held;
}

void
allowance_purse_add (AllowancePurse *purse,
                     const char *account,
                     guint count,
                     gint64 asked_us)
{
  Lot lot = { count, asked_us + ALLOWANCE_HOLD_US };

  sweep (purse, clock_now (purse->clock));
  if (count > 0)
    g_array_append_val (holding_of (purse, account)->lots, lot);
}

static Pause *
pause_of (const Holding *holding, const char *lender)
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
drop_pauses (Holding *holding, gint64 now_us)
{
  for (guint i = holding->pauses->len; i-- > 0;)
    if (g_array_index (holding->pauses, Pause, i).until_us <= now_us)
      g_array_remove_index_fast (holding->pauses, i);
}

void
allowance_purse_pass_over (AllowancePurse *purse,
                           const char *account,
                           const char *lender,
                           gint64 for_us)
{
  gint64 now = clock_now (purse->clock);
  Holding *holding = holding_of (purse, account);
  Pause *pause;

  drop_pauses (holding, now);
  pause = pause_of (holding, lender);
  if (!pause)
    {
      Pause fresh = { g_strdup (lender), now };

      g_array_append_val (holding->pauses, fresh);
      pause = pause_of (holding, lender);
    }
  pause->until_us = now + for_us;
}

gint
allowance_purse_pick (const AllowancePurse *purse,
                      const char *account,
                      const char *const *lenders,
                      guint count,
                      gint64 *wait_us)
{
  const Holding *holding = g_hash_table_lookup (purse->holdings, account);
  gint64 now = clock_now (purse->clock);
  gint64 first = G_MAXINT64;

  for (guint i = 0; i < count; i++)
    {
      const Pause *pause = holding ? pause_of (holding, lenders[i]) : NULL;

      if (!pause || pause->until_us <= now)
        return (gint)i;
      first = MIN (first, pause->until_us);
    }
  *wait_us = count > 0 ? first - now : ALLOWANCE_HOLD_US;
  return -1;
}
