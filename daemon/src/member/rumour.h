/*
 * Converts members to and from gossip messages: complete entries (rumours), and short
 * entries (deltas) for receivers that know the member.
 */
#ifndef DAEMON_RUMOUR_H
#define DAEMON_RUMOUR_H

#include <core/members.h>
#include <wire/message.h>

/* Fill a rumour or a delta with data that is borrowed from the member. */
void rumour_fill (const Member *member, sw_rumour *rumour);
void rumour_fill_delta (const Member *member, sw_member_delta *words);

/* Merge a rumour or a delta into the membership. Return TRUE if it was new. */
gboolean rumour_merge (Members *members, const sw_rumour *rumour);
gboolean rumour_merge_delta (Members *members, const sw_member_delta *words);

#endif
