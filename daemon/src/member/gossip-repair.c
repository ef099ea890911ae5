#include "gossip-private.h"

#include "peer-reads.h"
#include "rumour.h"

#define REPAIR_TIMEOUT_US (5 * SECOND_US)

/* A comparison of views in progress. */
typedef struct
{
  Gossip *gossip;
  guint64 buckets[MEMBERS_BUCKETS];
  sw_view_args args;
} Repair;

static const RpcProcedure view = { SW_VIEW, (xdrproc_t)xdr_sw_view_args,
                                   (xdrproc_t)xdr_sw_view_res, sizeof (sw_view_res) };

static void
on_view (RpcOutcome outcome, void *result, gpointer data)
{
  Repair *repair = data;
  sw_view_res *res = result;

  for (guint i = 0; outcome == RPC_OK && i < res->rumours.rumours_len; i++)
    gossip_merge_rumour (repair->gossip->node, &res->rumours.rumours_val[i]);
  g_free (repair);
}

void
gossip_repair (Gossip *gossip, const char *from, guint64 digest)
{
  Node *node = gossip->node;
  Repair *repair;

  if (!members_compare_due (node->members, from, digest))
    return;
  repair = g_new0 (Repair, 1);
  repair->gossip = gossip;
  members_buckets (node->members, repair->buckets);
  repair->args.buckets.buckets_val = repair->buckets;
  repair->args.buckets.buckets_len = MEMBERS_BUCKETS;
  peer_reads_call (node->reads, from, &view, &repair->args, REPAIR_TIMEOUT_US, on_view,
                   repair);
}

void
gossip_answer_view (Node *node, const sw_view_args *args, sw_view_res *res)
{
  guint64 buckets[MEMBERS_BUCKETS] = { 0 };
  GPtrArray *members;
  guint count;

  for (guint i = 0; i < MIN (args->buckets.buckets_len, MEMBERS_BUCKETS); i++)
    buckets[i] = args->buckets.buckets_val[i];
  members = members_differing (node->members, buckets);
  count = MIN (members->len, SW_MEMBERS_MAX);
  res->rumours.rumours_val = g_new0 (sw_rumour, count + 1);
  res->rumours.rumours_len = count;
  for (guint i = 0; i < count; i++)
    rumour_fill (g_ptr_array_index (members, i), &res->rumours.rumours_val[i]);
}
