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

/* Applies a member's state; TRUE when the member has joined or left. */
gboolean allowance_fleet_note_member (AllowanceFleet *fleet, const Member *member);

/* The platform's list has been read to its end. */
void allowance_fleet_note_list (AllowanceFleet *fleet);

/* Switches from the platform's list to the known members once the list's time is over;
   TRUE when it switches, which may change the lenders. Call before
   allowance_fleet_lenders and allowance_fleet_share. */
gboolean allowance_fleet_expire_list (AllowanceFleet *fleet);

/* Fills in the lenders of an account, with one of this node's hall first, and returns
   their number. The names are valid until a member joins or leaves. */
guint allowance_fleet_lenders (const AllowanceFleet *fleet,
                               const char *account,
                               const char *lenders[ALLOWANCE_LENDERS]);

/* This node's share of the account's allowance, 0 to 1; 0 when it is not a lender. */
double allowance_fleet_share (const AllowanceFleet *fleet, const char *account);

/* The time, by the node's clock, from which this node alone lends its share: its start,
   or the last change in the membership after its first seconds. */
gint64 allowance_fleet_lends_since_us (const AllowanceFleet *fleet);

#endif
