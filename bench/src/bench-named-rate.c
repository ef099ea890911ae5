/*
 * Measures what targets that name a rate cost the fleet: tries that are refused, requests
 * that the other targets serve in their place, and gossip.
 */
#include <stdio.h>

#include "member-net.h"
#include "rate-net.h"

#define SECONDS 40u
#define TARGETS 24u
#define RATE_PER_S 1.4
/* 83 % of the targets' slots. */
#define LOAD_PER_S 300.0
#define GOSSIP_NODES 120u
#define GOSSIP_SETTLE_S 300u
/* One target in thirty names a rate. */
#define GOSSIP_LIMITED 4u
/* Changes of one limited target's verdict: preferred after others for 4 s, then tried. */
#define GOSSIP_CHANGE_S 2u

static void
measure_placement (guint ingresses, guint limited)
{
  RateNetParams params = { .ingresses = ingresses,
                           .targets = TARGETS,
                           .limited = limited,
                           .rate_per_s = RATE_PER_S,
                           .load_per_s = LOAD_PER_S,
                           .seconds = SECONDS,
                           .seed = 1 };
  RateNetFigures figures = rate_net_run (&params);

  printf ("limited %u of %u ingresses %u served %.4f tries %.3f refused-per-s %.2f "
          "starts-per-s %.2f worst-window %u verdicts-per-s %.2f\n",
          limited, TARGETS, ingresses, (double)figures.served / figures.requests,
          (double)figures.tries / figures.requests, figures.refused_per_s,
          figures.starts_per_s, figures.worst_window, figures.verdicts_per_s);
}

static guint64
sent_bytes (const MemberNet *net)
{
  guint64 bytes = 0;

  for (guint i = 0; i < net->count; i++)
    bytes += net->nodes[i].sent_bytes;
  return bytes;
}

/* Returns the bytes a second that each node sends while the verdicts of the first
   `limited` nodes' targets change. */
static double
gossip_bytes (MemberNet *net, guint limited)
{
  guint64 before = sent_bytes (net);

  for (guint second = 0; second < SECONDS; second++)
    {
      /* As long as a verdict on the wire. */
      guint32 verdict[4] = { 1, second, 0, second / GOSSIP_CHANGE_S % 2 };
      g_autoptr (GBytes) state = g_bytes_new (verdict, sizeof verdict);

      for (guint i = 0; i < limited && second % GOSSIP_CHANGE_S == 0; i++)
        members_publish (net->nodes[i].members, NULL, state);
      member_net_run (net, 1);
    }
  return (double)(sent_bytes (net) - before) / net->count / SECONDS;
}

static void
measure_gossip (void)
{
  MemberNet *net = member_net_create (GOSSIP_NODES, 23, 1);
  double idle;

  member_net_run (net, GOSSIP_SETTLE_S);
  idle = gossip_bytes (net, 0);
  printf ("gossip nodes %u limited %u bytes-per-node-s %.0f idle %.0f\n", GOSSIP_NODES,
          GOSSIP_LIMITED, gossip_bytes (net, GOSSIP_LIMITED), idle);
  member_net_destroy (net);
}

int
main (void)
{
  static const guint sizes[] = { 31, 400, 1200 };

  for (gsize i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      measure_placement (sizes[i], 0);
      measure_placement (sizes[i], 1);
      measure_placement (sizes[i], TARGETS / 4);
      measure_placement (sizes[i], TARGETS);
    }
  measure_gossip ();
  return 0;
}
