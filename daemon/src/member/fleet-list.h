/*
 * The nodes of the fleet as the platform lists them: what a node knows of the others
 * before the first of them has been heard. It names those that have gone, too.
 */
#ifndef DAEMON_FLEET_LIST_H
#define DAEMON_FLEET_LIST_H

#include <glib.h>

typedef struct FleetList FleetList;

typedef struct
{
  char *node;
  char *hall;    /* "" where it is not known */
  char *address; /* of its RPC */
} FleetListEntry;

FleetList *fleet_list_create (void);
void fleet_list_destroy (FleetList *list);

/* Adds one, or takes its new address; its name and hall stay valid as long as the list.
 */
void
fleet_list_add (FleetList *list, const char *node, const char *hall, const char *address);

/* The list has been read to its end, for the first time or again. */
void fleet_list_read (FleetList *list);
gboolean fleet_list_is_read (const FleetList *list);

/* NULL for one that is not listed. */
const FleetListEntry *fleet_list_find (const FleetList *list, const char *node);

/* How many listed nodes of the hall go before this one, in the order that the membership
   ranks them in (members_rank_in_hall). */
guint fleet_list_rank_in_hall (const FleetList *list, const char *node, const char *hall);

/* Appends all entries; borrowed. */
void fleet_list_all (const FleetList *list, GPtrArray *entries);

#endif
