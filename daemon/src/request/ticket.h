/*
 * Tickets: an attempt's identity given out before the request. All requests that carry
 * one ticket, through whichever ingress, are the same attempt at the same sidecar
 * incarnation, so that asking twice runs at most once and hears the same answer.
 *
 * A ticket is good for the fence's window. After that, or when its sidecar has
 * restarted, nobody can tell any more, and the answer is "unknown".
 */
#ifndef DAEMON_TICKET_H
#define DAEMON_TICKET_H

#include <core/fence.h>

#include "peers.h"

/* "new" asks for a ticket, which comes back in the same header. */
#define TICKET_HEADER "Switchmill-Ticket"
#define TICKET_NEW "new"

typedef struct
{
  AttemptId *attempt;
  char *service;
  char *vm;
  char *target;
  PeerStamp stamp;
} Ticket;

/* The ticket as a header's value, sealed with the fleet's token. */
char *ticket_text (const Ticket *ticket, const char *fleet_token);

/* NULL for a text that this fleet did not seal. */
Ticket *ticket_parse (const char *text, const char *fleet_token);
void ticket_free (Ticket *ticket);

#endif
