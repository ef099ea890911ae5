#include "path.h"

/* Consecutive calls without an answer that trip the breaker. */
#define LOSSES_TO_BREAK 3u
/* Time for which a path stays doubtful. Within it, the path to a dead node is closed. */
#define DOUBT_US G_GINT64_CONSTANT (1000000)
#define PAUSE_FIRST_US G_GINT64_CONSTANT (1000000)
#define PAUSE_DOUBLINGS_MAX 5u

void
path_note (Path *path, gboolean answered, gint64 now_us)
{
  if (answered)
    {
      path->doubtful_until_us = 0;
      path->losses = 0;
      path->opened = 0;
      path->closed_until_us = 0;
      return;
    }
  if (++path->losses < LOSSES_TO_BREAK)
    return;
  /* After the pause a single further loss trips the breaker again. */
  path->losses = LOSSES_TO_BREAK - 1;
  path->closed_until_us =
      now_us + (PAUSE_FIRST_US << MIN (path->opened, PAUSE_DOUBLINGS_MAX));
  path->opened++;
}

void
path_doubt (Path *path, gint64 now_us)
{
  path->doubtful_until_us = now_us + DOUBT_US;
}

gboolean
path_is_doubtful (const Path *path, gint64 now_us)
{
  return now_us < path->doubtful_until_us;
}

gboolean
path_usable (const Path *path, gint64 now_us)
{
  return !path->dead && !path->closed && now_us >= path->closed_until_us;
}
