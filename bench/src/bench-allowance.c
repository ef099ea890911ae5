/*
 * Ways to keep an account's allowance over a fleet, on the same patterns, as a table.
 */
#include <stdio.h>

#include "allowance-net.h"

int
main (void)
{
  static const guint sizes[] = { 30, 93, 353, 1200 };

  printf ("%-8s %-8s %6s %7s %8s %6s %9s %12s\n", "way", "pattern", "nodes", "worst",
          "refused", "own", "waited ms", "bytes/s node");
  for (guint pattern = 0; pattern < ALLOWANCE_PATTERNS; pattern++)
    for (gsize size = 0; size < G_N_ELEMENTS (sizes); size++)
      for (guint way = 0; way < ALLOWANCE_WAYS; way++)
        {
          AllowanceCase it = { way, pattern, sizes[size], 1 };
          AllowanceResult result = allowance_net_run (&it);

          printf ("%-8s %-8s %6u %7.3f %8.4f %6.3f %9.0f %12.1f\n",
                  allowance_way_name (way), allowance_pattern_name (pattern), sizes[size],
                  result.worst, result.refused, result.own, result.moved_ms,
                  result.bytes);
        }
  return 0;
}
