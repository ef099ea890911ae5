/*
 * The fleet's nodes for the purpose of allowances: which nodes lend for an account, and
 * how much of the fleet this node can see.
 */
#ifndef DAEMON_ALLOWANCE_FLEET_H
#define DAEMON_ALLOWANCE_FLEET_H

#include <core/allowance.h>

#include "node.h"

typedef struct AllowanceFleet AllowanceFleet;

AllowanceFleet *allowance_fleet_create (const Node *node);
void allowance_fleet_destroy (AllowanceFleet *fleet);

/* Applies a member's state; returns TRUE if the member has joined or left. */
gboolean allowance_fleet_note_member (AllowanceFleet *fleet, const Member *member);

/* Notes that the platform's list has been read completely. */
void allowance_fleet_note_list (AllowanceFleet *fleet);

/* Switches from the platform's list to the known members once the list's time is over.
   Returns TRUE if it switches, which may change the lenders. Call this before
   allowance_fleet_lenders and allowance_fleet_share. */
gboolean allowance_fleet_expire_list (AllowanceFleet *fleet);

/* Fills in the lenders of an account, with one of this node's hall first, and returns
   their number. The names are valid until a member joins or leaves. */
guint allowance_fleet_lenders (const AllowanceFleet *fleet,
                               const char *account,
                               const char *lenders[ALLOWANCE_LENDERS]);

/* Returns this node's share of the account's allowance, 0 to 1; 0 if it is no lender. */
double allowance_fleet_share (const AllowanceFleet *fleet, const char *account);

/* Returns the time, by the node's clock, from which this node alone lends its share: its
   start, or the last change in the membership after its first seconds. */
gint64 allowance_fleet_lends_since_us (const AllowanceFleet *fleet);

#endif
