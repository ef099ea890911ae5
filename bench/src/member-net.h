/*
 * A fake network for the membership: nodes in halls on a paused clock; messages arrive
 * within the step, unless they are cut. For tests and for the cost at full size.
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
  guint64 sent_bytes; /* by the weight of news and a fixed share for each message */
  guint64 far_bytes;  /* of these, to other halls */
  guint64 messages;
} NetNode;

typedef struct
{
  NetNode *nodes;
  guint count;
  guint halls;
  Clock *clock;
  GRand *rand;
  /* Faults: a cut from one node to another, a hall apart (halls for none), loss. */
  guint cut_from;
  guint cut_to;
  guint lost_hall;
  guint loss_percent;
} MemberNet;

MemberNet *member_net_create (guint count, guint halls, guint seed);
void member_net_destroy (MemberNet *net);
/* Lets so many seconds pass. */
void member_net_run (MemberNet *net, guint seconds);
void member_net_stop (MemberNet *net, guint i);
/* Starts a node with an empty view and a new incarnation. */
void member_net_restart (MemberNet *net, guint i);
gboolean member_net_runs (const MemberNet *net, guint i);
gboolean member_net_sees (MemberNet *net, guint i, guint subject);

#endif
