/*
 * A simulated network for the membership protocol: nodes in halls on a manual clock.
 * Messages arrive within the same step or are lost. Used by tests and by bench-members.
 */
#ifndef BENCH_MEMBER_NET_H
#define BENCH_MEMBER_NET_H

#include <core/members.h>

typedef struct
{
  Members *members;
  gboolean runs;
  guint hall;
  guint starts;
  guint64
      sent_bytes; /* estimated: news by members_update_size, and a constant per message */
  guint64 other_hall_bytes; /* the part of sent_bytes that went to other halls */
  guint64 messages;
} NetNode;

typedef struct
{
  NetNode *nodes;
  guint count;
  guint halls;
  Clock *clock;
  GRand *rand;
  /* Faults: the one-way path from cut_from to cut_to is broken; isolated_hall is isolated
     (`halls` for none); loss_percent of the messages are lost. */
  guint cut_from;
  guint cut_to;
  guint isolated_hall;
  guint loss_percent;
} MemberNet;

MemberNet *member_net_create (guint count, guint halls, guint seed);
void member_net_destroy (MemberNet *net);
/* Advances the simulation by `seconds`. */
void member_net_run (MemberNet *net, guint seconds);
void member_net_stop (MemberNet *net, guint i);
/* Restarts a node with an empty view and a new incarnation. */
void member_net_restart (MemberNet *net, guint i);
gboolean member_net_runs (const MemberNet *net, guint i);
gboolean member_net_sees (MemberNet *net, guint i, guint subject);

#endif
