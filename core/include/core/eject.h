/*
 * Which sick targets of a service stay out, so that the floor holds.
 */
#ifndef CORE_EJECT_H
#define CORE_EJECT_H

#include <glib.h>

/* One target as an ingress sees it. */
typedef struct
{
  const char *name;
  guint slots;
  guint severity;     /* 0 healthy; higher is worse */
  gboolean available; /* not leaving, and reachable */
  gboolean ejected;   /* the result */
} EjectItem;

/*
 * Ejects sick targets, the worst first (equals by name), each only when the slots
 * that stay in service, available and not ejected, are still at or above the floor, and
 * never the last one.
 * The same items give the same result on every node. Returns the slots that stay.
 */
guint eject_apply (EjectItem *items, guint count, guint floor_slots);

#endif
