/*
 * Circuit breaker of the path from this ingress to one node. A broken path concerns this
 * ingress alone and does not affect the health of the targets behind the node. An open
 * path carries traffic; a closed one does not.
 */
#ifndef CORE_REQUEST_PATH_H
#define CORE_REQUEST_PATH_H

#include <glib.h>

typedef struct
{
  guint64 incarnation;      /* from the membership; 0 while unknown */
  gboolean dead;            /* from the membership */
  guint losses;             /* consecutive calls without an answer */
  guint opened;             /* consecutive trips of the breaker */
  gint64 closed_until_us;   /* set by the breaker: no work until then */
  gboolean closed;          /* set and cleared by balancer_set_path */
  gint64 doubtful_until_us; /* set when a ping stays unanswered for a short time */
} Path;

/* Records whether a call was answered. */
void path_note (Path *path, gboolean answered, gint64 now_us);

/* Marks the path as doubtful, because a ping to the node has not been answered promptly.
   The mark expires by itself, since the pinging request may end before the answer comes
   and clears it. */
void path_doubt (Path *path, gint64 now_us);
gboolean path_is_doubtful (const Path *path, gint64 now_us);

/* Returns whether requests may be sent on the path. */
gboolean path_usable (const Path *path, gint64 now_us);

#endif
