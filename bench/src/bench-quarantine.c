/*
 * Compares two quarantine protocols on the same simulated fleets and seeds, and measures
 * the cost of the quarantine for each request. Prints a line for each protocol, pattern
 * and fleet size (the worst of three seeds), then a line for each cost.
 */
#include <stdio.h>
#include <time.h>

#include "quarantine-net.h"

#define SEEDS 3u
#define REQUESTS 200000u
#define BODY_MAX (16u * 1024 * 1024)

static const struct
{
  guint nodes;
  guint halls;
} sizes[] = { { 31, 4 }, { 93, 3 }, { 353, 5 }, { 1200, 23 } };

static QuarantineResult
worst_result (const QuarantineCase *params)
{
  QuarantineResult worst = { 0 };

  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      QuarantineCase seeded = *params;
      QuarantineResult result;

      seeded.seed = seed;
      result = quarantine_net_run (&seeded);
      if (result.last_us < 0 || worst.last_us < 0)
        worst.last_us = -1;
      else
        worst.last_us = MAX (worst.last_us, result.last_us);
      worst.mean_bytes = MAX (worst.mean_bytes, result.mean_bytes);
      worst.worst_bytes = MAX (worst.worst_bytes, result.worst_bytes);
      worst.innocent += result.innocent;
    }
  return worst;
}

static void
print_case (const QuarantineCase *params)
{
  QuarantineResult worst = worst_result (params);
  double seconds = (double)QUARANTINE_SPAN_US / 1e6;

  printf ("%-6s %-6s %5u last-ms %6.0f bytes-a-second %6.0f most %6.0f innocent %u\n",
          quarantine_scheme_name (params->scheme),
          quarantine_pattern_name (params->pattern), params->nodes,
          (double)worst.last_us / 1e3, worst.mean_bytes / seconds,
          worst.worst_bytes / seconds, worst.innocent);
}

static double
cpu_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

/* Measures the look-up of a request that has no entry, in an empty and in a full list. */
static void
print_lookup_cost (void)
{
  Clock *clock = clock_create_manual (1000 * SECOND_US);
  Quarantine *list = quarantine_create (clock);
  FingerprintKey *key = fingerprint_key_create ("secret");
  FingerprintInput words = {
    "pay", "acme", "POST", "shop.example", "/orders/4711/items?page=3", "body", 4
  };
  guint known = 0;
  double began;

  began = cpu_us ();
  for (guint i = 0; i < REQUESTS; i++)
    known += quarantine_has_service (list, quarantine_service_hash (words.service));
  printf ("price-nothing-known %.4f us\n", (cpu_us () - began) / REQUESTS);
  for (guint i = 0; i < QUARANTINE_ENTRIES_MAX; i++)
    {
      g_autoptr (GArray) work = g_array_new (FALSE, FALSE, sizeof (Fingerprint));
      Fingerprint request = { i + 1, i + 1 };

      g_array_append_val (work, request);
      quarantine_note_end (list, i, quarantine_service_hash (words.service), 0, work);
    }
  began = cpu_us ();
  for (guint i = 0; i < REQUESTS; i++)
    {
      Fingerprints prints = { 0 };

      if (!quarantine_has_service (list, quarantine_service_hash (words.service)))
        continue;
      prints = fingerprint_heads (key, &words);
      for (guint j = 0; j < prints.count; j++)
        known += quarantine_has_head (list, prints.of[j].head);
    }
  printf ("price-full-list %.4f us known %u\n", (cpu_us () - began) / REQUESTS, known);
  fingerprint_key_destroy (key);
  quarantine_destroy (list);
  clock_destroy (clock);
}

/* Measures all fingerprints of a request with the largest body. A node computes them only
   if the request's head matches an entry. */
static void
print_fingerprint_cost (void)
{
  FingerprintKey *key = fingerprint_key_create ("secret");
  g_autofree char *body = g_malloc0 (BODY_MAX);
  FingerprintInput words = { "pay", "acme", "POST", "h", "/p", body, BODY_MAX };
  double began = cpu_us ();
  Fingerprints prints = fingerprint_all (key, &words);

  printf ("price-largest-body %.1f ms %u\n", (cpu_us () - began) / 1e3, prints.count);
  fingerprint_key_destroy (key);
}

int
main (void)
{
  for (guint size = 0; size < G_N_ELEMENTS (sizes); size++)
    for (guint pattern = 0; pattern < QUARANTINE_PATTERNS; pattern++)
      for (guint scheme = 0; scheme < QUARANTINE_SCHEMES; scheme++)
        {
          QuarantineCase params = { scheme, pattern, sizes[size].nodes, sizes[size].halls,
                                    0 };

          print_case (&params);
        }
  print_lookup_cost ();
  print_fingerprint_cost ();
  return 0;
}
