/*
 * Selects the sick targets of a service that are ejected, such that the floor is kept.
 */
#ifndef CORE_EJECT_H
#define CORE_EJECT_H

#include <glib.h>

/* A target, as one ingress sees it. */
typedef struct
{
  const char *name;
  guint slots;
  guint severity;     /* 0 healthy; higher is worse */
  gboolean available; /* not leaving, and reachable */
  gboolean ejected;   /* set by eject_apply */
} EjectItem;

/*
 * Ejects sick targets in the order of severity, the worst first and equals by name. A
 * target is ejected only if the slots that remain in service (available and not ejected)
 * stay at or above `floor_slots`, and at least one target remains. Equal items give the
 * same result on every node. Returns the number of slots that remain.
 */
guint eject_apply (EjectItem *items, guint count, guint floor_slots);

#endif
