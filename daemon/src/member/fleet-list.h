/*
 * The platform's list of the fleet's nodes, for use while gossip has not named all
 * members yet. It may contain nodes that are gone.
 */
#ifndef DAEMON_FLEET_LIST_H
#define DAEMON_FLEET_LIST_H

#include <glib.h>

typedef struct FleetList FleetList;

typedef struct
{
  char *node;
  char *hall;    /* "" if unknown */
  char *address; /* for RPC */
} FleetListEntry;

FleetList *fleet_list_create (void);
void fleet_list_destroy (FleetList *list);

/* Adds a node, or updates the address of a listed one. An entry's name and hall stay
   valid as long as the list. */
void
fleet_list_add (FleetList *list, const char *node, const char *hall, const char *address);

/* Notes that the platform's list has been read completely. */
void fleet_list_note_read (FleetList *list);
gboolean fleet_list_is_read (const FleetList *list);

/* Returns NULL if the node is not listed. */
const FleetListEntry *fleet_list_find (const FleetList *list, const char *node);

/* Returns how many listed nodes of the hall come before this one in the order of
   members_rank_in_hall. */
guint fleet_list_rank_in_hall (const FleetList *list, const char *node, const char *hall);

/* Returns the number of halls of the listed nodes. */
guint fleet_list_count_halls (const FleetList *list);

/* Appends all entries, which are borrowed from the list. */
void fleet_list_all (const FleetList *list, GPtrArray *entries);

#endif
