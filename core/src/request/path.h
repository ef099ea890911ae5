/*
 * The breaker of the path from this ingress to one node. A path that breaks is the
 * ingress's own matter: it says nothing of the targets behind it.
 */
#ifndef CORE_REQUEST_PATH_H
#define CORE_REQUEST_PATH_H

#include <glib.h>

typedef struct
{
  guint64 incarnation;      /* by the membership; 0 when it has not spoken */
  gboolean dead;            /* the membership says so */
  guint losses;             /* in a row */
  guint opened;             /* times in a row that the breaker opened */
  gint64 closed_until_us;   /* no work until then */
  gboolean closed;          /* the owner has closed it, and will open it */
  gint64 doubtful_until_us; /* a question to the node has gone unanswered for a moment */
} Path;

/* Notes a call's fate at time `now_us`. */
void path_note (Path *path, gboolean answered, gint64 now_us);

/* A question to the node has gone unanswered for a moment. Doubt ends by itself, for who
   asked may not be there any more when the answer comes. */
void path_doubt (Path *path, gint64 now_us);
gboolean path_is_doubtful (const Path *path, gint64 now_us);

/* Whether work may go this way. */
gboolean path_usable (const Path *path, gint64 now_us);

#endif
