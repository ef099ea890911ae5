/*
 * Prints goodput under overload, with and without the fleet's admission control, retry
 * budget and failure detection, as a Markdown table.
 */
#include <stdio.h>

#include "overload.h"

int
main (void)
{
  static const double loads[] = { 0.5, 1, 2, 4 };

  printf ("| load | targets | goodput with | without | p0 with | p1 | p2 | p0 without | "
          "attempts with | without | given up after ms with | without |\n"
          "|---|---|---|---|---|---|---|---|---|---|---|---|\n");
  for (guint sick = 0; sick < 2; sick++)
    for (gsize i = 0; i < G_N_ELEMENTS (loads); i++)
      {
        OverloadCase with = { loads[i], sick, TRUE };
        OverloadCase without = { loads[i], sick, FALSE };
        OverloadResult a = overload_run (&with, 1);
        OverloadResult b = overload_run (&without, 1);

        printf ("| %.1f | %s | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f | "
                "%.1f | "
                "%.1f |\n",
                loads[i], sick ? "half sick" : "well", a.goodput, b.goodput,
                a.by_priority[0], a.by_priority[1], a.by_priority[2], b.by_priority[0],
                a.attempts, b.attempts, a.refused_ms, b.refused_ms);
      }
  return 0;
}
