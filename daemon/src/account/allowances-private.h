/*
 * What the files of allowances share: allowances.c the requests that wait and the
 * questions to lenders, allowances-lend.c what this node lends, and what the log hears.
 */
#ifndef DAEMON_ALLOWANCES_PRIVATE_H
#define DAEMON_ALLOWANCES_PRIVATE_H

#include "allowance-fleet.h"
#include "allowances.h"

typedef struct Queue Queue;

/* A request that waits for an answer. */
typedef struct
{
  Queue *queue;
  ExchangeOrder order; /* with references of its own */
  char *id;
} Waiter;

/* The requests of one account that wait, and the question that is on its way. */
struct Queue
{
  Allowances *allowances;
  char *account;
  AllowanceTerms terms;
  GQueue waiters;
  gboolean asking;
  guint wanted;
  gint64 asked_us;
  gint64 answered_us; /* by a lender, last */
  char *lender;       /* that is asked */
  LoopTimer *again;
};

struct Allowances
{
  Node *node;
  AllowanceBook *book;
  AllowanceCache *cache;
  AllowanceFleet *fleet;
  GHashTable *queues; /* account → Queue */
  gint64 swept_us;
  AllowanceDone done;
  gpointer data;
};

/* Takes up that the time of the platform's list is over. */
void allowances_refresh (Allowances *allowances);

#endif
