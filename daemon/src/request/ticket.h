/*
 * Tickets: an attempt's identifier issued before the request. All requests with the same
 * ticket, through any ingress, are the same attempt at the same sidecar incarnation. A
 * repeated request therefore runs at most once and gets the same answer.
 *
 * A ticket is valid for the fence's window. After that, or when its sidecar has
 * restarted, it is no longer known whether the request ran, and the answer is "unknown".
 */
#ifndef DAEMON_TICKET_H
#define DAEMON_TICKET_H

#include <core/fence.h>

#include "peers.h"

/* A request with the value "new" asks for a ticket; the answer carries it in the same
   header. */
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

/* Returns the ticket as a header's value, with an HMAC-SHA256 keyed with the fleet's
   token; the caller frees it. */
char *ticket_text (const Ticket *ticket, const char *fleet_token);

/* Returns NULL if the text is malformed or its MAC does not match; the caller frees the
   ticket. */
Ticket *ticket_parse (const char *text, const char *fleet_token);
void ticket_free (Ticket *ticket);

#endif
