/*
 * Rate limiting of client accounts at one node: admits a request when its account's
 * allowance has room for it, and lends to other nodes for the accounts that this node is
 * a lender of (core/allowance.h).
 *
 * A request that finds nothing borrowed yet waits for the answer of a lender, one round
 * trip between nodes. The platform is not involved.
 */
#ifndef DAEMON_ALLOWANCES_H
#define DAEMON_ALLOWANCES_H

#include <wire/message.h>

#include "exchange.h"
#include "node.h"

typedef enum
{
  ALLOWANCE_GRANTED,
  ALLOWANCE_EXCEEDED, /* the account has sent more requests than its allowance */
  ALLOWANCE_UNKNOWN   /* no lender answered in time, or the node stops */
} AllowanceOutcome;

typedef struct
{
  AllowanceOutcome outcome;
  gint64 retry_after_us; /* 0 when granted */
} AllowanceVerdict;

/* Called once for each request that is checked, unless its caller hangs up first. `order`
   is valid only during the call. */
typedef void (*AllowanceDone) (ExchangeParams *order,
                               const AllowanceVerdict *verdict,
                               gpointer data);

Allowances *allowances_create (Node *node);
void allowances_destroy (Allowances *allowances);
void allowances_set_done (Allowances *allowances, AllowanceDone done, gpointer data);

/* Checks a request against its account's allowance. The function set above runs within
   this call or later; requests that wait keep their own references. */
void allowances_check (Allowances *allowances, const ExchangeParams *order);

/* Refuses all waiting requests, for a stop; returns their number. */
guint allowances_abort (Allowances *allowances);

/* Applies a member's state, after a change in the membership. */
void allowances_note_member (Allowances *allowances, const Member *member);

/* Notes that the platform's list of the fleet has been read completely. */
void allowances_note_list (Allowances *allowances);

/* Answers a lending request of another node, or of this node itself. `res` must be
   zeroed; it stays so when this node is no lender of the account. */
void
allowances_lend (Allowances *allowances, const sw_allow_args *args, sw_allow_res *res);

/* Counts a refused request, and logs one line with the reason. */
void allowances_log (const Allowances *allowances,
                     const ExchangeParams *order,
                     const AllowanceVerdict *verdict);

#endif
