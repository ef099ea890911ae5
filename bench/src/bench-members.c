/*
 * Measures the cost of the membership protocol per node in a simulated network: bytes
 * sent, processor time and memory, after joining, when idle and with restarts.
 */
#include <malloc.h>
#include <stdio.h>
#include <time.h>

#include "member-net.h"

#define SECONDS 20u

static double
cpu_seconds (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static guint64
sent_bytes (const MemberNet *net)
{
  guint64 bytes = 0;

  for (guint i = 0; i < net->count; i++)
    bytes += net->nodes[i].sent_bytes;
  return bytes;
}

/* Restarts `restarts` nodes, evenly spread over the measured time. */
static void
measure (MemberNet *net, const char *label, guint restarts)
{
  guint64 bytes = sent_bytes (net);
  double cpu = cpu_seconds ();
  double node_seconds = (double)net->count * SECONDS;

  for (guint second = 0; second < SECONDS; second++)
    {
      for (guint i = 0; i < restarts; i++)
        if (i * SECONDS / restarts == second)
          member_net_restart (net, (i * 37u) % net->count);
      member_net_run (net, 1);
    }
  printf ("members-%u-%s bytes-sent-per-node-second %.0f cpu-percent-of-a-core %.3f\n",
          net->count, label, (double)(sent_bytes (net) - bytes) / node_seconds,
          100 * (cpu_seconds () - cpu) / node_seconds);
}

/* Waits `settle` seconds before the idle measurement, until the news of the joins is no
   longer sent; 0 leaves out the idle measurement and the restarts. */
static void
run (guint count, guint settle)
{
  size_t before = mallinfo2 ().uordblks;
  MemberNet *net = member_net_create (count, 23, 1);
  guint seconds = 0;

  while (members_count_alive (net->nodes[0].members) < count ||
         members_count_alive (net->nodes[count - 1].members) < count)
    {
      member_net_run (net, 1);
      seconds++;
    }
  printf ("members-%u join-seconds %u bytes-of-memory-per-member %.0f\n", count, seconds,
          (double)(mallinfo2 ().uordblks - before) / count / count);
  measure (net, "join", 0);
  if (settle > 0)
    {
      member_net_run (net, settle);
      measure (net, "idle", 0);
      /* Ten times the users' rate of 1828 restarts and failures a day (1.27 a minute). */
      measure (net, "13-restarts-a-minute", 13);
    }
  member_net_destroy (net);
}

int
main (void)
{
  run (30, 200);
  run (120, 300);
  run (400, 0);
  return 0;
}
