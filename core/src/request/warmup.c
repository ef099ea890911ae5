#include <core/warmup.h>

/* Limits the negative balance left by starts at a warm target, in seconds of the rate. */
#define DEBT_MAX_S 1.0

struct Warmup
{
  Clock *clock;
  double per_s;
  double burst;
  double bucket_tokens; /* tokens in the bucket at `tokens_updated_us`; may be negative */
  gint64 tokens_updated_us;
  gint64 cold_until_us;
  gboolean unknown; /* no report since the target may have become cold */
};

Warmup *
warmup_create (Clock *clock)
{
  Warmup *warmup = g_new0 (Warmup, 1);

  warmup->clock = clock;
  warmup->tokens_updated_us = clock_now (clock);
  warmup->unknown = TRUE;
  return warmup;
}

void
warmup_destroy (Warmup *warmup)
{
  g_free (warmup);
}

/* Returns the tokens in the bucket now. */
static double
bucket_tokens_now (const Warmup *warmup)
{
  double seconds =
      (double)(clock_now (warmup->clock) - warmup->tokens_updated_us) / (double)SECOND_US;

  return MIN (warmup->burst, warmup->bucket_tokens + seconds * warmup->per_s);
}

void
warmup_set_rate (Warmup *warmup, double per_s, double burst)
{
  if (per_s == warmup->per_s && MAX (burst, 1) == warmup->burst)
    return;
  warmup->per_s = per_s;
  warmup->burst = MAX (burst, 1);
  warmup->bucket_tokens = warmup->burst;
  warmup->tokens_updated_us = clock_now (warmup->clock);
}

void
warmup_note_report (Warmup *warmup, gint64 cold_us)
{
  warmup->unknown = FALSE;
  warmup->cold_until_us = clock_now (warmup->clock) + cold_us;
}

void
warmup_assume_cold (Warmup *warmup)
{
  warmup->unknown = TRUE;
}

gboolean
warmup_is_limiting (const Warmup *warmup)
{
  if (warmup->per_s <= 0)
    return FALSE;
  return warmup->unknown || clock_now (warmup->clock) < warmup->cold_until_us;
}

gboolean
warmup_allows (const Warmup *warmup)
{
  return !warmup_is_limiting (warmup) || bucket_tokens_now (warmup) >= 1;
}

void
warmup_count_start (Warmup *warmup)
{
  double bucket_tokens;

  if (warmup->per_s <= 0)
    return;
  bucket_tokens = bucket_tokens_now (warmup) - 1;
  warmup->bucket_tokens = MAX (bucket_tokens, -DEBT_MAX_S * warmup->per_s);
  warmup->tokens_updated_us = clock_now (warmup->clock);
}

gint64
warmup_wait_us (const Warmup *warmup, guint ahead)
{
  double lacking;

  if (!warmup_is_limiting (warmup))
    return 0;
  lacking = (double)ahead + 1 - bucket_tokens_now (warmup);
  return lacking <= 0 ? 0 : (gint64)(lacking / warmup->per_s * (double)SECOND_US);
}
