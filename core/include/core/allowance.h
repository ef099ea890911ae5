/*
 * Rate limits ("allowances") of client accounts, enforced over a whole fleet. In any time
 * span of a window's length, no more requests are let through than an account's rate and
 * burst allow, whichever nodes they arrive at and whatever nodes or network paths fail.
 *
 * Load patterns: a flood from one caller, at one node, at all nodes or moving from hall
 * to hall; a partitioned fleet, or one that restarts as a whole; an account of one
 * request a second whose callers may be at any of 1,200 nodes.
 *
 * Rule: each account has a few lenders among the nodes, selected by rendezvous hashing
 * over the live members. Each lender has a token bucket with its share of the rate and of
 * the burst, and leases single requests out of it. A lease expires after
 * ALLOWANCE_HOLD_US. A node that has no lease for a request asks a lender for some, which
 * takes a round trip. No node has a fixed share, so that demand may move at any moment
 * and even the smallest allowance works in the largest fleet.
 *
 * Safety: requests used within a window were leased within the window or within one
 * ALLOWANCE_HOLD_US before it, which the bucket bounds. A bucket starts empty when its
 * lender starts and when a node becomes a lender, so that nothing that a previous process
 * or a previous lender leased is leased twice. A lender's share shrinks with the part of
 * the fleet that it sees, so that the parts of a partitioned fleet together lease no more
 * than the whole.
 */
#ifndef CORE_ALLOWANCE_H
#define CORE_ALLOWANCE_H

#include <core/clock.h>

/* Time for which a leased request may be used. It is long enough to serve the callers of
   a busy node from one answer. Each second of it would take a second's rate out of the
   burst. */
#define ALLOWANCE_HOLD_US (500 * MS_US)
/* Lenders per account, in different data halls where there are enough: if one of them
   fails, two thirds of the allowance remain available at once. */
#define ALLOWANCE_LENDERS 3u

/* The counting rule, the same for all accounts. */
typedef struct
{
  gint64 window_us; /* length of the time spans over which requests are counted */
  double overage;   /* share by which an allowance may be exceeded */
  double slack;     /* further requests by which it may be exceeded */
} AllowanceRule;

/* The allowance of one account. */
typedef struct
{
  double per_s; /* requests a second */
  double burst; /* requests at once beyond that rate */
} AllowanceTerms;

/* A token bucket's refill rate, in requests a second, and its capacity in requests. */
typedef struct
{
  double per_s;
  double depth;
} AllowanceRate;

/* Returns the bucket for `share` (0 to 1) of an allowance. */
AllowanceRate
allowance_rate (const AllowanceRule *rule, const AllowanceTerms *terms, double share);

/* A live member, which may become a lender. */
typedef struct
{
  const char *node;
  const char *hall;
  guint64 hash; /* allowance_hash of `node` */
} AllowanceNode;

/* Returns the hash of a node's or an account's name; both together rank the nodes for the
   account. */
guint64 allowance_hash (const char *name);

/*
 * Selects the lenders of an account among `nodes` (AllowanceNode), independent of the
 * order of `nodes`. The names in `lenders` are borrowed from `nodes`. Returns the number
 * of lenders.
 */
guint allowance_select_lenders (const GArray *nodes,
                                const char *account,
                                const char *lenders[ALLOWANCE_LENDERS]);

/* The buckets of one node, for the accounts of which it is a lender. */
typedef struct AllowanceBuckets AllowanceBuckets;

typedef struct
{
  guint lent;
  gint64 retry_after_us; /* when to ask again, if fewer were leased than asked for */
} AllowanceGrant;

/* `clock` is borrowed. */
AllowanceBuckets *allowance_buckets_create (const AllowanceRule *rule, Clock *clock);
void allowance_buckets_destroy (AllowanceBuckets *buckets);

/*
 * Leases up to `wanted` requests out of `share` of an account's allowance. `since_us` is
 * the time from which on this node alone leases that share: a new bucket is empty at that
 * time.
 */
AllowanceGrant allowance_buckets_lend (AllowanceBuckets *buckets,
                                       const char *account,
                                       const AllowanceTerms *terms,
                                       double share,
                                       gint64 since_us,
                                       guint wanted);

/* Returns whether this node is a lender of the account; `data` is the caller's. */
typedef gboolean (*AllowanceIsLender) (const char *account, gpointer data);

/* Removes the buckets of accounts of which this node is no longer a lender, and those
   that have not been used for long enough to be full. */
void allowance_buckets_prune (AllowanceBuckets *buckets,
                              AllowanceIsLender is_own,
                              gpointer data);

/* The leases that one node holds, by account. */
typedef struct AllowanceCache AllowanceCache;

AllowanceCache *allowance_cache_create (Clock *clock);
void allowance_cache_destroy (AllowanceCache *cache);

/* Uses one leased request. Returns FALSE if there is none. */
gboolean allowance_cache_take (AllowanceCache *cache, const char *account);

/* Returns how many requests to lease in advance, in addition to those that already wait:
   the number that is expected to be used before the leases expire. */
guint allowance_cache_prefetch_count (const AllowanceCache *cache, const char *account);

/* Adds `count` requests leased by the answer to a question sent at `asked_us`. They
   expire ALLOWANCE_HOLD_US after `asked_us`. */
void allowance_cache_add (AllowanceCache *cache,
                          const char *account,
                          guint count,
                          gint64 asked_us);

/* Excludes a lender from allowance_cache_pick_lender for `for_us`. */
void allowance_cache_pause_lender (AllowanceCache *cache,
                                   const char *account,
                                   const char *lender,
                                   gint64 for_us);

/* Returns the index of the first of `lenders` that may be asked now. Otherwise returns -1
   and sets `wait_us` to the time until one may be asked, or to ALLOWANCE_HOLD_US if
   `count` is 0. */
gint allowance_cache_pick_lender (const AllowanceCache *cache,
                                  const char *account,
                                  const char *const *lenders,
                                  guint count,
                                  gint64 *wait_us);

/* Returns the recent rate at which this node let requests of the account through, in
   requests a second. */
double allowance_cache_use_rate (const AllowanceCache *cache, const char *account);

#endif
