/*
 * Shared by the files of allowances: allowances.c has the waiting requests and the calls
 * to lenders, allowances-lend.c the lending to other nodes and the log lines.
 */
#ifndef DAEMON_ALLOWANCES_PRIVATE_H
#define DAEMON_ALLOWANCES_PRIVATE_H

#include "allowance-fleet.h"
#include "allowances.h"

typedef struct Queue Queue;

/* A request that waits for a lender's answer. */
typedef struct
{
  Queue *queue;
  ExchangeParams order; /* holds references to its request and snapshot */
  char *id;
} Waiter;

/* The waiting requests of one account, and its call to a lender (at most one). */
struct Queue
{
  Allowances *allowances;
  char *account;
  AllowanceTerms terms;
  GQueue waiters;
  gboolean asking;
  guint wanted;
  gint64 asked_us;
  gint64 answered_us; /* when a lender last answered; 0 for never */
  char *lender;       /* the one called last */
  LoopTimer *again;
};

struct Allowances
{
  Node *node;
  AllowanceBuckets *buckets;
  AllowanceCache *cache;
  AllowanceFleet *fleet;
  GHashTable *queues; /* account → Queue */
  gint64 swept_us;
  AllowanceDone done;
  gpointer data;
};

/* Switches from the platform's list to the membership once the list's time is over; call
   before the lenders of an account are determined. */
void allowances_refresh (Allowances *allowances);

#endif
