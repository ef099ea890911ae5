/*
 * The fleet as allowances see it: who lends for an account, and how much of the fleet
 * there is to be seen.
 */
#ifndef DAEMON_ALLOWANCE_FLEET_H
#define DAEMON_ALLOWANCE_FLEET_H

#include <core/allowance.h>

#include "node.h"

typedef struct AllowanceFleet AllowanceFleet;

AllowanceFleet *allowance_fleet_create (const Node *node);
void allowance_fleet_destroy (AllowanceFleet *fleet);

/* Takes in what the membership says of a member; TRUE when it has come or gone. */
gboolean allowance_fleet_note (AllowanceFleet *fleet, const Member *member);

/* The platform's list has been read. */
void allowance_fleet_note_list (AllowanceFleet *fleet);

/* Goes by the members that have been heard once the time of the list is over; TRUE when
   that is now, and others may lend than did. To be called before the two that follow. */
gboolean allowance_fleet_leave_list (AllowanceFleet *fleet);

/* The lenders of an account, those of this node's hall first; borrowed until somebody
   comes or goes. Returns how many there are. */
guint allowance_fleet_lenders (const AllowanceFleet *fleet,
                               const char *account,
                               const char *lenders[ALLOWANCE_LENDERS]);

/* This node's share of the account's allowance, 0 when it does not lend for it. */
double allowance_fleet_share (const AllowanceFleet *fleet, const char *account);

/* Since when nobody has come or gone: from then on this node alone lends its share. */
gint64 allowance_fleet_since_us (const AllowanceFleet *fleet);

#endif
