/*
 * Allowances at one node: lets a request through when its account's allowance has room
 * for it, and lends to other nodes for the accounts that fall to this one
 * (core/allowance.h).
 *
 * A request that finds nothing at hand waits for one answer of a lender, a round trip
 * between nodes. Nothing is asked of the platform.
 */
#ifndef DAEMON_ALLOWANCES_H
#define DAEMON_ALLOWANCES_H

#include <wire/message.h>

#include "exchange.h"
#include "node.h"

typedef enum
{
  ALLOWANCE_GRANTED,
  ALLOWANCE_EXCEEDED, /* the account has asked for more than it may */
  ALLOWANCE_UNKNOWN   /* no lender can be asked */
} AllowanceOutcome;

typedef struct
{
  AllowanceOutcome outcome;
  gint64 retry_after_us; /* unless granted */
} AllowanceVerdict;

/* Told of each request once, at once or later; `order` is lent. */
typedef void (*AllowanceDone) (ExchangeOrder *order,
                               const AllowanceVerdict *verdict,
                               gpointer data);

Allowances *allowances_create (Node *node);
void allowances_destroy (Allowances *allowances);
void allowances_set_done (Allowances *allowances, AllowanceDone done, gpointer data);

/* A request that is to be let through or not. */
void allowances_offer (Allowances *allowances, const ExchangeOrder *order);

/* Refuses all that wait, for a stop; returns how many there were. */
guint allowances_abort (Allowances *allowances);

/* What the membership says of a member. */
void allowances_note_member (Allowances *allowances, const Member *member);

/* The platform's list of the fleet has been read. */
void allowances_note_list (Allowances *allowances);

/* Another node asks this one, or this one itself. */
void
allowances_lend (Allowances *allowances, const sw_allow_args *args, sw_allow_res *res);

/* Counts a request that is refused, with one line for the log that says why. */
void allowances_log (const Allowances *allowances,
                     const ExchangeOrder *order,
                     const AllowanceVerdict *verdict);

#endif
