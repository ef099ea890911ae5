#include "calls.h"

#include <core/names.h>

#include "allowances.h"
#include "adapter.h"
#include "config-sync.h"
#include "gossip.h"
#include "log.h"
#include "peers.h"
#include "sidecar.h"
#include "target-departures.h"

/* Merges a caller's entry into the membership, and returns whether the member is alive in
   that incarnation. */
static gboolean
admit_caller (Node *node, const sw_rumour *from)
{
  const Member *member;

  gossip_merge_rumour (node, from);
  member = members_find (node->members, from->node);
  return member && member->incarnation == from->incarnation && members_is_alive (member);
}

/* Sends the reply to a call and counts its bytes. */
static void
reply (Node *node,
       RpcConn *conn,
       guint32 xid,
       TrafficKind kind,
       xdrproc_t proc,
       void *result)
{
  gsize bytes = rpc_conn_reply (conn, xid, proc, result);

  traffic_add (node->traffic, kind, peers_in_own_hall (node, rpc_conn_peer (conn)),
               bytes);
}

static void
on_hello (Node *node, RpcConn *conn, guint32 xid, XDR *in)
{
  sw_hello_args args = { 0 };
  sw_hello_res res = { 0 };

  if (!xdr_sw_hello_args (in, &args) ||
      !settings_secret_equal (args.token, node->settings->fleet_token) ||
      !admit_caller (node, &args.from))
    {
      metrics_add (node->metrics, METRIC_RPC_DENIED, 1);
      log_event (G_LOG_LEVEL_WARNING, "peer-denied", "SUBJECT",
                 args.from.node ? args.from.node : "", NULL);
      rpc_conn_deny (conn, xid);
    }
  else
    {
      rpc_conn_set_peer (conn, args.from.node);
      res.welcome = TRUE;
      sidecar_stamp (node->sidecar, &res.stamp);
      sidecar_states (node->sidecar, &res);
      reply (node, conn, xid, TRAFFIC_SESSIONS, (xdrproc_t)xdr_sw_hello_res, &res);
      g_free (res.states.states_val);
    }
  xdr_free ((xdrproc_t)xdr_sw_hello_args, (char *)&args);
}

static void
on_submit (Node *node, RpcConn *conn, const WireCall *call, XDR *in)
{
  sw_submit_args args = { 0 };

  if (xdr_sw_submit_args (in, &args))
    sidecar_submit (node->sidecar, conn, call->xid, &args);
  /* The body comes last: the arguments before it have been decoded. */
  else if (call->truncated && args.body.body_len > 0)
    sidecar_refuse_truncated (node->sidecar, conn, call->xid, &args);
  else
    rpc_conn_deny (conn, call->xid);
  xdr_free ((xdrproc_t)xdr_sw_submit_args, (char *)&args);
}

static void
on_fence (Node *node, RpcConn *conn, guint32 xid, XDR *in)
{
  sw_fence_args args = { 0 };

  if (xdr_sw_fence_args (in, &args))
    sidecar_fence (node->sidecar, conn, xid, &args);
  else
    rpc_conn_deny (conn, xid);
  xdr_free ((xdrproc_t)xdr_sw_fence_args, (char *)&args);
}

static void
on_cancel (Node *node, RpcConn *conn, guint32 xid, XDR *in)
{
  sw_cancel_args args = { 0 };

  if (xdr_sw_cancel_args (in, &args))
    {
      sidecar_cancel (node->sidecar, &args);
      reply (node, conn, xid, TRAFFIC_CONTROL, wire_void, NULL);
    }
  else
    rpc_conn_deny (conn, xid);
  xdr_free ((xdrproc_t)xdr_sw_cancel_args, (char *)&args);
}

static void
on_head (Node *node, RpcConn *conn, guint32 xid)
{
  sw_head_res res = { 0 };

  config_sync_answer_head (node->config, &res);
  reply (node, conn, xid, TRAFFIC_CONFIG, (xdrproc_t)xdr_sw_head_res, &res);
}

static void
on_part (Node *node, RpcConn *conn, guint32 xid, XDR *in)
{
  sw_part_args args = { 0 };
  sw_part_res res = { 0 };

  if (xdr_sw_part_args (in, &args))
    {
      config_sync_answer_part (node->config, &args, &res);
      reply (node, conn, xid, TRAFFIC_CONFIG, (xdrproc_t)xdr_sw_part_res, &res);
    }
  else
    rpc_conn_deny (conn, xid);
  xdr_free ((xdrproc_t)xdr_sw_part_args, (char *)&args);
}

static void
on_view (Node *node, RpcConn *conn, guint32 xid, XDR *in)
{
  sw_view_args args = { 0 };
  sw_view_res res = { 0 };

  if (xdr_sw_view_args (in, &args))
    {
      gossip_answer_view (node, &args, &res);
      reply (node, conn, xid, TRAFFIC_VIEWS, (xdrproc_t)xdr_sw_view_res, &res);
      g_free (res.rumours.rumours_val);
    }
  else
    rpc_conn_deny (conn, xid);
  xdr_free ((xdrproc_t)xdr_sw_view_args, (char *)&args);
}

typedef struct
{
  Node *node;
  RpcConn *conn;
  guint32 xid;
} DepartCall;

static void
on_departure_saved (gboolean saved, gpointer data)
{
  g_autofree DepartCall *call = data;

  if (saved)
    reply (call->node, call->conn, call->xid, TRAFFIC_CONTROL, wire_void, NULL);
  else
    rpc_conn_deny (call->conn, call->xid);
  rpc_conn_unref (call->conn);
}

/* Answers once the end outlasts the processes that hold it, if the platform has a place
   for that. */
static void
save_departure (Node *node, RpcConn *conn, guint32 xid, const char *start)
{
  DepartCall *call;

  if (!node->adapter->save_departure_of)
    {
      reply (node, conn, xid, TRAFFIC_CONTROL, wire_void, NULL);
      return;
    }
  if (!node->discovery)
    {
      rpc_conn_deny (conn, xid);
      return;
    }
  call = g_new0 (DepartCall, 1);
  call->node = node;
  call->conn = rpc_conn_ref (conn);
  call->xid = xid;
  node->adapter->save_departure_of (node->discovery, rpc_conn_peer (conn), start,
                                    on_departure_saved, call);
}

/* The caller tells of a target on its own VM. */
static void
on_depart (Node *node, RpcConn *conn, guint32 xid, XDR *in)
{
  sw_depart_args args = { 0 };

  if (xdr_sw_depart_args (in, &args) && names_valid (args.start))
    {
      target_departures_note (node, rpc_conn_peer (conn), args.start);
      save_departure (node, conn, xid, args.start);
    }
  else
    rpc_conn_deny (conn, xid);
  xdr_free ((xdrproc_t)xdr_sw_depart_args, (char *)&args);
}

static void
on_allow (Node *node, RpcConn *conn, guint32 xid, XDR *in)
{
  sw_allow_args args = { 0 };
  sw_allow_res res = { 0 };

  if (xdr_sw_allow_args (in, &args))
    {
      allowances_lend (node->allowances, &args, &res);
      reply (node, conn, xid, TRAFFIC_ALLOWANCES, (xdrproc_t)xdr_sw_allow_res, &res);
    }
  else
    rpc_conn_deny (conn, xid);
  xdr_free ((xdrproc_t)xdr_sw_allow_args, (char *)&args);
}

void
calls_handle (RpcConn *conn, const WireCall *call, XDR *in, gpointer data)
{
  Node *node = data;

  if (call->procedure == SW_HELLO)
    {
      on_hello (node, conn, call->xid, in);
      return;
    }
  if (!rpc_conn_peer (conn))
    {
      metrics_add (node->metrics, METRIC_RPC_DENIED, 1);
      rpc_conn_deny (conn, call->xid);
      return;
    }
  switch (call->procedure)
    {
    case SW_NULL:
      reply (node, conn, call->xid, TRAFFIC_SESSIONS, wire_void, NULL);
      break;
    case SW_SUBMIT:
      on_submit (node, conn, call, in);
      break;
    case SW_FENCE:
      on_fence (node, conn, call->xid, in);
      break;
    case SW_CANCEL:
      on_cancel (node, conn, call->xid, in);
      break;
    case SW_HEAD:
      on_head (node, conn, call->xid);
      break;
    case SW_PART:
      on_part (node, conn, call->xid, in);
      break;
    case SW_DELEGATE:
      config_sync_answer_delegate (node->config, conn, call->xid);
      break;
    case SW_LEAVE:
      events_add (node->events, "vm-leaving", node->settings->node, rpc_conn_peer (conn));
      sidecar_drain (node->sidecar);
      reply (node, conn, call->xid, TRAFFIC_CONTROL, wire_void, NULL);
      break;
    case SW_ALLOW:
      on_allow (node, conn, call->xid, in);
      break;
    case SW_DEPART:
      on_depart (node, conn, call->xid, in);
      break;
    case SW_VIEW:
      on_view (node, conn, call->xid, in);
      break;
    default:
      rpc_conn_deny (conn, call->xid);
      break;
    }
}
