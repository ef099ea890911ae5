#include <core/allowance.h>

#include <math.h>

/* A node that finds the bucket empty is told when to ask again, such that all nodes
   together ask ASKS_PER_REQUEST times for each request that the bucket refills, plus
   ASKS_PER_S times a second, which matters for small allowances. */
#define ASKS_PER_REQUEST 2.0
#define ASKS_PER_S 10.0
#define RETRY_MIN_US (20 * MS_US)
#define RETRY_MAX_US (2 * SECOND_US)
/* A bucket that has not been used for this time is removed, if it is full again. */
#define IDLE_US (60 * SECOND_US)

typedef struct
{
  double level;
  double asks; /* recent questions a second */
  gint64 at_us;
  gint64 full_at_us; /* when it is full, if it is not used before */
} Bucket;

struct AllowanceBuckets
{
  AllowanceRule rule;
  Clock *clock;
  GHashTable *by_account; /* account → Bucket */
};

AllowanceBuckets *
allowance_buckets_create (const AllowanceRule *rule, Clock *clock)
{
  AllowanceBuckets *buckets = g_new0 (AllowanceBuckets, 1);

  buckets->rule = *rule;
  buckets->clock = clock;
  buckets->by_account = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return buckets;
}

void
allowance_buckets_destroy (AllowanceBuckets *buckets)
{
  if (!buckets)
    return;
  g_hash_table_unref (buckets->by_account);
  g_free (buckets);
}

static Bucket *
bucket_of (AllowanceBuckets *buckets, const char *account, gint64 since_us)
{
  Bucket *bucket = g_hash_table_lookup (buckets->by_account, account);

  if (bucket)
    return bucket;
  bucket = g_new0 (Bucket, 1);
  bucket->at_us = MIN (since_us, clock_now (buckets->clock));
  g_hash_table_insert (buckets->by_account, g_strdup (account), bucket);
  return bucket;
}

static void
fill (Bucket *bucket, const AllowanceRate *rate, gint64 now_us)
{
  double passed = (double)(now_us - bucket->at_us) / SECOND_US;

  bucket->level = MIN (bucket->level + passed * rate->per_s, rate->depth);
  bucket->asks = bucket->asks * exp (-passed) + 1;
  bucket->at_us = now_us;
}

static gint64
retry_after_us (const Bucket *bucket, const AllowanceRate *rate)
{
  double next = rate->per_s > 0 ? (1 - bucket->level) / rate->per_s : G_MAXINT;
  double turn = bucket->asks / (ASKS_PER_REQUEST * rate->per_s + ASKS_PER_S);

  return (gint64)CLAMP (MAX (next, turn) * SECOND_US, RETRY_MIN_US, RETRY_MAX_US);
}

/* Returns when the bucket will be full; one that is not refilled never is. */
static gint64
full_at (const Bucket *bucket, const AllowanceRate *rate)
{
  double lacking = rate->depth - bucket->level;
  double wait_us;

  if (lacking <= 0)
    return bucket->at_us;
  wait_us = rate->per_s > 0 ? lacking / rate->per_s * SECOND_US : (double)G_MAXINT64;
  return wait_us < (double)(G_MAXINT64 - bucket->at_us) ? bucket->at_us + (gint64)wait_us
                                                        : G_MAXINT64;
}

AllowanceGrant
allowance_buckets_lend (AllowanceBuckets *buckets,
                        const char *account,
                        const AllowanceTerms *terms,
                        double share,
                        gint64 since_us,
                        guint wanted)
{
  AllowanceRate rate = allowance_rate (&buckets->rule, terms, share);
  Bucket *bucket = bucket_of (buckets, account, since_us);
  AllowanceGrant grant = { 0 };

  fill (bucket, &rate, clock_now (buckets->clock));
  grant.lent = (guint)MIN ((double)wanted, floor (MAX (bucket->level, 0)));
  bucket->level -= grant.lent;
  bucket->full_at_us = full_at (bucket, &rate);
  if (grant.lent < wanted)
    grant.retry_after_us = retry_after_us (bucket, &rate);
  return grant;
}

void
allowance_buckets_prune (AllowanceBuckets *buckets,
                         AllowanceIsLender is_own,
                         gpointer data)
{
  gint64 now = clock_now (buckets->clock);
  GHashTableIter iter;
  gpointer account;
  gpointer value;

  g_hash_table_iter_init (&iter, buckets->by_account);
  while (g_hash_table_iter_next (&iter, &account, &value))
    {
      const Bucket *bucket = value;

      if (!is_own (account, data) ||
          (now - bucket->at_us > IDLE_US && now >= bucket->full_at_us))
        g_hash_table_iter_remove (&iter);
    }
}
