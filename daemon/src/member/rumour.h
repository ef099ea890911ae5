/*
 * Members as they stand in messages between nodes, and back: whole ones (rumours), and
 * briefs of those that the receiver knows.
 */
#ifndef DAEMON_RUMOUR_H
#define DAEMON_RUMOUR_H

#include <core/members.h>
#include <wire/message.h>

/* A member as a rumour or a brief, whose texts are borrowed from it. */
void rumour_fill (const Member *member, sw_rumour *rumour);
void rumour_fill_brief (const Member *member, sw_brief *words);

/* Takes a rumour or a brief in; TRUE when it was news. */
gboolean rumour_merge (Members *members, const sw_rumour *rumour);
gboolean rumour_merge_brief (Members *members, const sw_brief *words);

#endif
