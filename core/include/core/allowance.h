/*
 * Allowances of client accounts over a whole fleet: in any span of a window's length no
 * more requests are let through than an account's rate and burst allow, whichever nodes
 * they come to and whatever becomes of nodes and paths.
 *
 * Load patterns: one caller's flood, at one node, at all or moving from hall to hall; a
 * fleet that is cut, or starts again at once; an account of one request a second whose
 * callers sit on any of 1,200 nodes.
 *
 * Rule: each account has a few lenders among the nodes, found by hashing over the live
 * members. Each holds a bucket with its share of the rate and of the burst, and lends
 * single requests out of it, which are good for ALLOWANCE_HOLD_US. A request that finds
 * none at hand has its node ask; an answer takes a round trip. Nothing is owed to a node
 * for being one of many, so that demand may move at any moment, and the smallest
 * allowance is of use to the largest fleet.
 *
 * Why it is safe: what is used within a window was lent within the window and one holding
 * time before it, which a bucket bounds. A bucket begins empty with the life of its
 * lender, and with the moment at which a node becomes one, so that what another life or
 * another lender lent before is never lent twice. A lender's share shrinks with the part
 * of the fleet that it sees, so that parts that cannot hear each other lend no more
 * together than the whole.
 */
#ifndef CORE_ALLOWANCE_H
#define CORE_ALLOWANCE_H

#include <core/clock.h>

/* How long a request that was lent may be held before it is used. Long enough to serve
   the callers of a busy node from one answer; each second of it would take a second's
   rate out of the burst. */
#define ALLOWANCE_HOLD_US (500 * MS_US)
/* Lenders of an account, in as many data halls as there are: with one of them gone two
   thirds of the allowance are left at once. */
#define ALLOWANCE_LENDERS 3u

/* How allowances are counted, alike for all accounts. */
typedef struct
{
  gint64 window_us; /* any span of that length counts */
  double overage;   /* such a share may be let through beyond an allowance */
  double slack;     /* and so many requests more */
} AllowanceRule;

/* One account's. */
typedef struct
{
  double per_s; /* requests a second */
  double burst; /* and so many at once beyond them */
} AllowanceTerms;

/* What a bucket takes in a second, and holds at most; in requests. */
typedef struct
{
  double per_s;
  double depth;
} AllowanceRate;

/* The bucket for `share` (0 to 1) of an allowance. */
AllowanceRate
allowance_rate (const AllowanceRule *rule, const AllowanceTerms *terms, double share);

/* One that may lend: a live member. */
typedef struct
{
  const char *node;
  const char *hall;
  guint64 hash; /* allowance_hash of its name */
} AllowanceNode;

/* What nodes are ranked by, with an account's. */
guint64 allowance_hash (const char *name);

/*
 * The lenders of an account among `nodes` (AllowanceNode), the same in any order of them;
 * names are borrowed. Returns how many there are.
 */
guint allowance_lenders (const GArray *nodes,
                         const char *account,
                         const char *lenders[ALLOWANCE_LENDERS]);

/* The buckets of one node, of the accounts that it lends for. */
typedef struct AllowanceBook AllowanceBook;

typedef struct
{
  guint lent;
  gint64 retry_after_us; /* when to ask again, if it is less than was asked for */
} AllowanceLoan;

/* The clock is borrowed. */
AllowanceBook *allowance_book_create (const AllowanceRule *rule, Clock *clock);
void allowance_book_destroy (AllowanceBook *book);

/*
 * Lends up to `wanted` requests out of `share` of an account's allowance. `since_us` is
 * the moment from which on this node alone lends that share: a bucket that is new begins
 * empty there.
 */
AllowanceLoan allowance_book_lend (AllowanceBook *book,
                                   const char *account,
                                   const AllowanceTerms *terms,
                                   double share,
                                   gint64 since_us,
                                   guint wanted);

/* Whether the account is lent for; `data` is the caller's. */
typedef gboolean (*AllowanceIsOwn) (const char *account, gpointer data);

/* Forgets the buckets of accounts that are not lent for any more, and those not asked for
   in so long that they are full. */
void allowance_book_prune (AllowanceBook *book, AllowanceIsOwn is_own, gpointer data);

/* What one node has borrowed, by account. */
typedef struct AllowancePurse AllowancePurse;

AllowancePurse *allowance_purse_create (Clock *clock);
void allowance_purse_destroy (AllowancePurse *purse);

/* Uses one of the requests at hand; FALSE for none. */
gboolean allowance_purse_spend (AllowancePurse *purse, const char *account);

/* How many are worth borrowing beyond those that wait, now: what will be used before they
   are worth nothing any more. */
guint allowance_purse_reserve (const AllowancePurse *purse, const char *account);

/* Adds what was lent in answer to a question sent at `asked_us`. */
void allowance_purse_add (AllowancePurse *purse,
                          const char *account,
                          guint count,
                          gint64 asked_us);

/* Notes that a lender is not worth asking for a while. */
void allowance_purse_pass_over (AllowancePurse *purse,
                                const char *account,
                                const char *lender,
                                gint64 for_us);

/* The first of `lenders` that is worth asking now, or -1, and then how long until one is.
 */
gint allowance_purse_pick (const AllowancePurse *purse,
                           const char *account,
                           const char *const *lenders,
                           guint count,
                           gint64 *wait_us);

/* Requests of the account a second that were let through here of late. */
double allowance_purse_rate (const AllowancePurse *purse, const char *account);

#endif
