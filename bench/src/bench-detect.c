/*
 * Compares failure detectors on the same traces. Prints detection times and false
 * ejections as a Markdown table.
 */
#include <stdio.h>
#include <stdlib.h>

#include "traces.h"

#define SEEDS 20u

typedef struct
{
  const char *name;
  DetectorKind kind;
  Detection setting;
} Row;

static const Row rows[] = {
  { "health answers", DETECTOR_KINDS, DETECTION_CAREFUL },
  { "ewma careful", DETECTOR_EWMA, DETECTION_CAREFUL },
  { "ewma quick", DETECTOR_EWMA, DETECTION_QUICK },
  { "cusum careful", DETECTOR_CUSUM, DETECTION_CAREFUL },
  { "cusum quick", DETECTOR_CUSUM, DETECTION_QUICK },
};

static gint
compare (gconstpointer a, gconstpointer b)
{
  gint64 x = *(const gint64 *)a;
  gint64 y = *(const gint64 *)b;

  return (x > y) - (x < y);
}

static void
print_cell (TraceKind kind, const Row *row, const TraceShape *shape)
{
  gint64 times[SEEDS];
  guint found = 0;
  guint wrong = 0;

  for (guint seed = 1; seed <= SEEDS; seed++)
    {
      TraceResult result = trace_run (kind, shape, row->kind, row->setting, seed);

      if (result.detected_us >= 0)
        times[found++] = result.detected_us;
      wrong += result.false_ejections;
    }
  if (!trace_has_fault (kind))
    {
      printf (" %u wrong |", wrong);
      return;
    }
  qsort (times, found, sizeof *times, compare);
  if (found == 0)
    printf (" never, %u wrong |", wrong);
  else
    {
      gint64 median = times[found / 2];

      printf (" %.2f s (%u/%u), %u wrong |", (double)median / 1e6, found, SEEDS, wrong);
    }
}

static void
print_table (const char *title, const TraceShape *shape)
{
  printf ("\n%s: %u targets, %u requests a second at each, %u seeds of %d s\n\n| trace |",
          title, shape->targets, shape->per_second, SEEDS,
          (int)(shape->length_us / SECOND_US));
  for (gsize i = 0; i < G_N_ELEMENTS (rows); i++)
    printf (" %s |", rows[i].name);
  printf ("\n|---|");
  for (gsize i = 0; i < G_N_ELEMENTS (rows); i++)
    printf ("---|");
  printf ("\n");
  for (TraceKind kind = 0; kind < TRACE_COUNT; kind++)
    {
      printf ("| %s |", trace_name (kind));
      for (gsize i = 0; i < G_N_ELEMENTS (rows); i++)
        print_cell (kind, &rows[i], shape);
      printf ("\n");
    }
}

int
main (void)
{
  static const TraceShape payments = { 3, 20, 120 * SECOND_US, 60 * SECOND_US };
  static const TraceShape bidding = { 4, 50, 120 * SECOND_US, 60 * SECOND_US };

  print_table ("taliad", &payments);
  print_table ("bid-engine", &bidding);
  return 0;
}
