/*
 * Exchanges: callers' requests on their way. Each carries out the steps of its dispatch
 * (core/dispatch.h) over the peers' RPC, and ends with one answer to its caller.
 */
#ifndef DAEMON_EXCHANGE_H
#define DAEMON_EXCHANGE_H

#include <core/config.h>
#include <io/http-server.h>

#include "ticket.h"

typedef struct Exchanges Exchanges;

/* What one exchange is to do. */
typedef struct
{
  HttpRequest *request;
  const char *id;     /* the caller's own, NULL for none; copied */
  Snapshot *snapshot; /* holds route and service alive */
  const Route *route;
  const Service *service;
  gint64 span_us;         /* until its deadline */
  const Account *account; /* whose request it is, of the snapshot; NULL for nobody's */
  gboolean identified;    /* its key has been looked at, and goes no further */
  guint priority;         /* 0 first: the account's, then the route's */
  gboolean call;          /* a target makes it for a request that it runs */
  gboolean repeat;        /* and that request is not at its first attempt */
  Ticket *ticket;         /* taken over; NULL for none */
} ExchangeOrder;

Exchanges *exchanges_create (Node *node);
void exchanges_destroy (Exchanges *exchanges);

/* Begins one; it ends by itself. */
void exchanges_begin (Exchanges *exchanges, const ExchangeOrder *order);

/* Gives a ticket for the order's service out instead of running the request. */
void exchanges_give_ticket (Exchanges *exchanges, const ExchangeOrder *order);

/* Answers all at once, for a stop that cannot wait; returns how many there were. */
guint exchanges_cut (Exchanges *exchanges);

#endif
