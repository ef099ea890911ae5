#include <core/start-limit.h>

/* Limits the negative balance left by starts at a warm target, in seconds of the rate. */
#define DEBT_MAX_S 1.0
/* Burst at a named rate, in seconds of it. */
#define NAMED_BURST_S 0.25
/* Lowest rate in force, in requests a second. */
#define NAMED_PER_S_MIN 0.1

typedef struct
{
  double per_s;
  double burst;
  double tokens; /* at `updated_us`; may be negative */
  gint64 updated_us;
} Bucket;

struct StartLimit
{
  Clock *clock;
  Bucket cold;
  gint64 cold_until_us;
  gboolean unknown; /* no report since the target may have become cold */
  Bucket named;
  gboolean has_named;
};

/* Returns the tokens in the bucket at `now_us`. */
static double
bucket_tokens (const Bucket *bucket, gint64 now_us)
{
  double seconds = (double)(now_us - bucket->updated_us) / (double)SECOND_US;

  return MIN (bucket->burst, bucket->tokens + seconds * bucket->per_s);
}

static void
bucket_set (Bucket *bucket, double tokens, gint64 now_us)
{
  bucket->tokens = tokens;
  bucket->updated_us = now_us;
}

/* Returns the time until the bucket holds a token for a request with `ahead` others
   before it. */
static gint64
bucket_wait_us (const Bucket *bucket, guint ahead, gint64 now_us)
{
  double lacking = (double)ahead + 1 - bucket_tokens (bucket, now_us);

  return lacking <= 0 ? 0 : (gint64)(lacking / bucket->per_s * (double)SECOND_US);
}

StartLimit *
start_limit_create (Clock *clock)
{
  StartLimit *limit = g_new0 (StartLimit, 1);

  limit->clock = clock;
  limit->cold.updated_us = clock_now (clock);
  limit->unknown = TRUE;
  return limit;
}

void
start_limit_destroy (StartLimit *limit)
{
  g_free (limit);
}

void
start_limit_set_cold_rate (StartLimit *limit, double per_s, double burst)
{
  Bucket *bucket = &limit->cold;

  if (per_s == bucket->per_s && MAX (burst, 1) == bucket->burst)
    return;
  bucket->per_s = per_s;
  bucket->burst = MAX (burst, 1);
  bucket_set (bucket, bucket->burst, clock_now (limit->clock));
}

void
start_limit_note_cold (StartLimit *limit, gint64 cold_us)
{
  limit->unknown = FALSE;
  limit->cold_until_us = clock_now (limit->clock) + cold_us;
}

void
start_limit_assume_cold (StartLimit *limit)
{
  limit->unknown = TRUE;
}

gboolean
start_limit_is_cold (const StartLimit *limit)
{
  if (limit->cold.per_s <= 0)
    return FALSE;
  return limit->unknown || clock_now (limit->clock) < limit->cold_until_us;
}

void
start_limit_set_named_rate (StartLimit *limit, double per_s)
{
  gint64 now = clock_now (limit->clock);
  Bucket *bucket = &limit->named;

  bucket_set (bucket, limit->has_named ? bucket_tokens (bucket, now) : 0, now);
  bucket->per_s = MAX (per_s, NAMED_PER_S_MIN);
  bucket->burst = MAX (bucket->per_s * NAMED_BURST_S, 1);
  limit->has_named = TRUE;
}

void
start_limit_end_named_rate (StartLimit *limit)
{
  limit->has_named = FALSE;
}

gboolean
start_limit_named_is_used_up (const StartLimit *limit)
{
  return limit->has_named && bucket_tokens (&limit->named, clock_now (limit->clock)) < 1;
}

gboolean
start_limit_allows (const StartLimit *limit)
{
  gint64 now = clock_now (limit->clock);

  if (start_limit_named_is_used_up (limit))
    return FALSE;
  return !start_limit_is_cold (limit) || bucket_tokens (&limit->cold, now) >= 1;
}

void
start_limit_count (StartLimit *limit)
{
  gint64 now = clock_now (limit->clock);
  Bucket *cold = &limit->cold;

  if (cold->per_s > 0)
    bucket_set (cold, MAX (bucket_tokens (cold, now) - 1, -DEBT_MAX_S * cold->per_s),
                now);
  if (limit->has_named)
    bucket_set (&limit->named, bucket_tokens (&limit->named, now) - 1, now);
}

gint64
start_limit_wait_us (const StartLimit *limit, guint ahead)
{
  gint64 now = clock_now (limit->clock);
  gint64 cold =
      start_limit_is_cold (limit) ? bucket_wait_us (&limit->cold, ahead, now) : 0;
  gint64 named = limit->has_named ? bucket_wait_us (&limit->named, ahead, now) : 0;

  return MAX (cold, named);
}
