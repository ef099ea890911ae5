/*
 * Exchanges: callers' requests in flight. Each one performs the steps of its dispatch
 * (core/dispatch.h) by RPC to other nodes, and ends with one answer to its caller.
 */
#ifndef DAEMON_EXCHANGE_H
#define DAEMON_EXCHANGE_H

#include <core/config.h>
#include <io/http-server.h>

#include "ticket.h"

typedef struct Exchanges Exchanges;

/* The parameters of a new exchange. */
typedef struct
{
  HttpRequest *request;
  const char *id;     /* the caller's request identifier, or NULL; copied */
  Snapshot *snapshot; /* owns route, service and account */
  const Route *route;
  const Service *service;
  gint64 span_us;         /* from the request's arrival to its deadline */
  const Account *account; /* the client account in the snapshot; NULL for none */
  gboolean key_checked;   /* the access key was checked and is not forwarded */
  guint priority;         /* 0 is highest; ranks the account first, then the route */
  gboolean call;          /* a target makes this call for a request that it runs */
  gboolean repeat;        /* that request is not at its first attempt */
  Ticket *ticket;         /* ownership passes to the exchange; NULL for none */
} ExchangeParams;

Exchanges *exchanges_create (Node *node);
void exchanges_destroy (Exchanges *exchanges);

/* Starts an exchange, which answers the request and then frees itself. */
void exchanges_begin (Exchanges *exchanges, const ExchangeParams *order);

/* Answers with a ticket for the order's service instead of running the request. */
void exchanges_issue_ticket (Exchanges *exchanges, const ExchangeParams *order);

/* Bounds the time of the exchanges' further attempts by the node's stop. */
void exchanges_begin_stop (Exchanges *exchanges);

/* Answers all exchanges immediately, for a forced stop; returns their number. */
guint exchanges_abort (Exchanges *exchanges);

#endif
