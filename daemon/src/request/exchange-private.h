/*
 * What the files of an exchange share: exchange.c its life, exchange-choice.c the choice
 * of a target, exchange-call.c the calls to sidecars.
 */
#ifndef DAEMON_EXCHANGE_PRIVATE_H
#define DAEMON_EXCHANGE_PRIVATE_H

#include <core/dispatch.h>

#include "adapter.h"
#include "exchange.h"
#include "peer-watch.h"

typedef struct Exchange Exchange;

/* One submission on its way: its answer may come when nobody waits for it any more. */
typedef struct
{
  Exchange *exchange; /* NULL once it has been given up */
} Pending;

struct Exchanges
{
  Node *node;
  GHashTable *set; /* of Exchange */
  guint64 counter; /* of attempts, those of tickets too */
};

struct Exchange
{
  Exchanges *owner;
  HttpRequest *request;
  char *id;           /* the caller's own, NULL for none */
  Snapshot *snapshot; /* holds the route alive */
  const Route *route;
  Snapshot *targets; /* holds the service alive: the newest at the last choice */
  const Service *service;
  Ticket *ticket; /* NULL for none */
  Dispatch *dispatch;
  RetryBudget *budget; /* borrowed */
  LoopTimer *timer;
  gint64 began_us;
  gboolean repeat;  /* a call for a request that is not at its first attempt */
  GPtrArray *tried; /* names of targets */
  GPtrArray *busy;  /* names of targets that had no free slot */
  guint busy_own;   /* how many of them are in this hall */
  guint busy_other;
  guint asked_shedding; /* how many that turn work away have been asked for a slot */
  /* The last attempt. */
  AttemptId attempt; /* its node is borrowed */
  const Target *target;
  PeerStamp stamp;
  gint64 wait_us;
  gint64 remaining_us;
  gint64 hold_us;
  gboolean trial;     /* the target is sick, and this is to show whether it still is */
  gboolean local;     /* the target is in this hall */
  gboolean may_queue; /* free slots have been looked for in vain */
  gboolean even_sick; /* the target is known to be sick, and was chosen all the same */
  Pending *pending;   /* the submission that is waited for; NULL for none */
  PeerWatch *watch;   /* over the node that it went to */
  gboolean out;       /* an attempt is counted at the balancer */
  gboolean abandoned; /* the caller has hung up */
  gboolean submitted; /* a sidecar may hold the attempt */
  gsize sent_bytes;   /* of the last submission */
  sw_answer answer;   /* owned once the outcome is "done" */
};

/* Does what the dispatch says next; the exchange may be over afterwards. */
void exchange_carry_out (Exchange *exchange, const DispatchStep *step);

/* Finds a target for the next attempt, and goes on. */
void exchange_choose (Exchange *exchange);

/* Sends the next attempt, or asks the fence about the last one. */
void exchange_send (Exchange *exchange, const DispatchStep *step);
void exchange_ask (Exchange *exchange, const DispatchStep *step);

/* Names the next attempt; FALSE for a ticket of another start of its sidecar. */
gboolean exchange_name_attempt (Exchange *exchange, const PeerStamp *stamp);

/* Nobody waits for the last attempt any more: its sidecar is told. */
void exchange_cancel_attempt (Exchange *exchange);

/* What still comes of the last submission is not waited for any more. */
void exchange_drop_pending (Exchange *exchange);

#endif
