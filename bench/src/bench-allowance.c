/*
 * Compares protocols that enforce an account's allowance on a fleet, on the same
 * patterns. Without arguments it prints a table; with arguments it runs one simulation in
 * the output format of the experiment tool:
 *
 *     bench-allowance run NODES PATTERN --seed N [--why TEXT] [--way WAY]
 */
#include <argtable2.h>
#include <stdio.h>
#include <string.h>

#include "allowance-net.h"

static int
print_table (void)
{
  static const guint sizes[] = { 30, 93, 353, 1200 };

  printf ("%-8s %-8s %6s %7s %8s %6s %9s %12s\n", "way", "pattern", "nodes", "worst",
          "refused", "own", "waited ms", "bytes/s node");
  for (guint pattern = 0; pattern < ALLOWANCE_PATTERNS; pattern++)
    for (gsize size = 0; size < G_N_ELEMENTS (sizes); size++)
      for (guint scheme = 0; scheme < ALLOWANCE_SCHEMES; scheme++)
        {
          AllowanceCase params = { scheme, pattern, sizes[size], 1 };
          AllowanceResult result = allowance_net_run (&params);

          printf ("%-8s %-8s %6u %7.3f %8.4f %6.3f %9.0f %12.1f\n",
                  allowance_scheme_name (scheme), allowance_pattern_name (pattern),
                  sizes[size], result.worst, result.refused, result.own,
                  result.longest_wait_ms, result.bytes);
        }
  return 0;
}

/* Returns FALSE if the pattern or the protocol is unknown. */
static gboolean
parse_names (AllowanceCase *params, const char *pattern, const char *scheme)
{
  guint place = 0;

  while (place < ALLOWANCE_PATTERNS &&
         strcmp (allowance_pattern_name (place), pattern) != 0)
    place++;
  params->pattern = place;
  place = 0;
  while (place < ALLOWANCE_SCHEMES && strcmp (allowance_scheme_name (place), scheme) != 0)
    place++;
  params->scheme = place;
  return params->pattern < ALLOWANCE_PATTERNS && params->scheme < ALLOWANCE_SCHEMES;
}

static int
play (const AllowanceCase *params)
{
  AllowanceResult result = allowance_net_run (params);

  printf ("day own/srv score worth served refused failed\n"
          "%s %u/0 %.3f %.3f %.4f %.4f 0\n",
          allowance_pattern_name (params->pattern), params->nodes, result.own, result.own,
          1 - result.refused, result.refused);
  if (result.worst > 1)
    printf ("rules broken: a window of %.2f times the bound\n", result.worst);
  return 0;
}

int
main (int argc, char **argv)
{
  struct arg_rex *verb = arg_rex1 (NULL, NULL, "run", "run", 0, "run one simulation");
  struct arg_int *nodes = arg_int1 (NULL, NULL, "NODES", "size of the fleet");
  struct arg_str *pattern =
      arg_str1 (NULL, NULL, "PATTERN", "pattern of load and faults");
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "random seed (default 1)");
  struct arg_str *why =
      arg_str0 (NULL, "why", "TEXT", "ignored; for the experiment tool");
  struct arg_str *scheme = arg_str0 (NULL, "way", "WAY", "equal, no-wait or lent");
  struct arg_end *end = arg_end (4);
  void *table[] = { verb, nodes, pattern, seed, why, scheme, end };
  AllowanceCase params = { 0 };
  int code = 2;

  if (argc == 1)
    return print_table ();
  seed->ival[0] = 1;
  scheme->sval[0] = "lent";
  if (arg_parse (argc, argv, table) > 0)
    arg_print_errors (stderr, end, "bench-allowance");
  else if (!parse_names (&params, pattern->sval[0], scheme->sval[0]))
    fprintf (stderr, "bench-allowance: unknown pattern or WAY\n");
  else
    {
      params.nodes = (guint)nodes->ival[0];
      params.seed = (guint)seed->ival[0];
      code = play (&params);
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}
