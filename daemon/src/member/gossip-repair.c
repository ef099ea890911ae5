#include "gossip-private.h"

#include "peers.h"
#include "rumour.h"

#define REPAIR_TIMEOUT_US (5 * SECOND_US)

/* A comparison of views that waits for a session. */
typedef struct
{
  Gossip *gossip;
  char *vm;
} Repair;

static const RpcProcedure view = { SW_VIEW, (xdrproc_t)xdr_sw_view_args,
                                   (xdrproc_t)xdr_sw_view_res, sizeof (sw_view_res) };

static void
on_view (RpcOutcome outcome, void *result, gpointer data)
{
  Gossip *gossip = data;
  sw_view_res *res = result;

  if (outcome != RPC_OK)
    return;
  for (guint i = 0; i < res->rumours.rumours_len; i++)
    rumour_merge (gossip->node->members, &res->rumours.rumours_val[i]);
}

/* Sends the digests of this node's buckets once the session has been opened. */
static void
request_view (const PeerStamp *stamp, gpointer data)
{
  Repair *repair = data;
  Node *node = repair->gossip->node;
  guint64 buckets[MEMBERS_BUCKETS];
  sw_view_args args = { 0 };

  if (stamp)
    {
      members_buckets (node->members, buckets);
      args.buckets.buckets_val = buckets;
      args.buckets.buckets_len = MEMBERS_BUCKETS;
      peers_call (node->peers, repair->vm, &view, &args, REPAIR_TIMEOUT_US, on_view,
                  repair->gossip);
    }
  g_free (repair->vm);
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
  repair->vm = g_strdup (from);
  peers_open (node->peers, from, REPAIR_TIMEOUT_US, request_view, repair);
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
