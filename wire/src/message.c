#include <wire/message.h>

#include <string.h>

/* Bound of a header without credentials, in bytes. */
#define HEADER_MAX 128u

static GByteArray *
encode_message (struct rpc_msg *msg, xdrproc_t codec, xdrproc_t proc, void *body)
{
  gsize size = HEADER_MAX + (proc ? xdr_sizeof (proc, body) : 0);
  GByteArray *out = g_byte_array_sized_new ((guint)size);
  gboolean ok;
  XDR xdr;

  g_byte_array_set_size (out, (guint)size);
  xdrmem_create (&xdr, (char *)out->data, (u_int)size, XDR_ENCODE);
  ok = codec (&xdr, msg) && (!proc || proc (&xdr, body));
  g_byte_array_set_size (out, xdr_getpos (&xdr));
  xdr_destroy (&xdr);
  if (ok)
    return out;
  g_byte_array_unref (out);
  return NULL;
}

GByteArray *
wire_call_encode (guint32 xid, guint32 procedure, xdrproc_t proc, void *args)
{
  struct rpc_msg msg = { .rm_xid = xid, .rm_direction = CALL };

  msg.rm_call.cb_rpcvers = RPC_MSG_VERSION;
  msg.rm_call.cb_prog = SWITCHMILL_PROGRAM;
  msg.rm_call.cb_vers = SWITCHMILL_V1;
  msg.rm_call.cb_proc = procedure;
  return encode_message (&msg, (xdrproc_t)xdr_callmsg, proc, args);
}

void
wire_set_tail (GByteArray *message, guint32 len)
{
  guint32 raw = GUINT32_TO_BE (len);

  g_return_if_fail (message->len >= sizeof raw);
  memcpy (message->data + message->len - sizeof raw, &raw, sizeof raw);
}

guint
wire_tail_padding (gsize len)
{
  return (guint)(-len % BYTES_PER_XDR_UNIT);
}

gboolean
wire_call_decode (XDR *in, WireCall *call)
{
  char cred[MAX_AUTH_BYTES];
  char verf[MAX_AUTH_BYTES];
  struct rpc_msg msg = { 0 };

  msg.rm_call.cb_cred.oa_base = cred;
  msg.rm_call.cb_verf.oa_base = verf;
  if (!xdr_callmsg (in, &msg) || msg.rm_direction != CALL)
    return FALSE;
  call->xid = msg.rm_xid;
  call->procedure = msg.rm_call.cb_proc;
  return msg.rm_call.cb_prog == SWITCHMILL_PROGRAM &&
         msg.rm_call.cb_vers == SWITCHMILL_V1;
}

bool_t
wire_void (XDR *xdr, ...)
{
  return TRUE;
}

GByteArray *
wire_reply_encode (guint32 xid, xdrproc_t proc, void *result)
{
  struct rpc_msg msg = { .rm_xid = xid, .rm_direction = REPLY };

  msg.rm_reply.rp_stat = MSG_ACCEPTED;
  msg.acpted_rply.ar_stat = SUCCESS;
  msg.acpted_rply.ar_results.proc = wire_void;
  return encode_message (&msg, (xdrproc_t)xdr_replymsg, proc, result);
}

GByteArray *
wire_reply_encode_denied (guint32 xid)
{
  struct rpc_msg msg = { .rm_xid = xid, .rm_direction = REPLY };

  msg.rm_reply.rp_stat = MSG_DENIED;
  msg.rjcted_rply.rj_stat = AUTH_ERROR;
  msg.rjcted_rply.rj_why = AUTH_TOOWEAK;
  return encode_message (&msg, (xdrproc_t)xdr_replymsg, NULL, NULL);
}

gboolean
wire_peek_xid (const guint8 *data, gsize len, guint32 *xid)
{
  guint32 raw;

  if (len < sizeof raw)
    return FALSE;
  memcpy (&raw, data, sizeof raw);
  *xid = GUINT32_FROM_BE (raw);
  return TRUE;
}

WireReply
wire_reply_decode (const guint8 *data, gsize len, xdrproc_t proc, void *result)
{
  char verf[MAX_AUTH_BYTES];
  struct rpc_msg msg = { 0 };
  WireReply outcome = WIRE_REPLY_BAD;
  XDR xdr;

  xdrmem_create (&xdr, (char *)data, (u_int)len, XDR_DECODE);
  msg.acpted_rply.ar_verf.oa_base = verf;
  msg.acpted_rply.ar_results.where = result;
  msg.acpted_rply.ar_results.proc = proc;
  if (xdr_replymsg (&xdr, &msg) && msg.rm_direction == REPLY)
    {
      if (msg.rm_reply.rp_stat == MSG_DENIED)
        outcome = WIRE_REPLY_DENIED;
      else if (msg.acpted_rply.ar_stat == SUCCESS)
        outcome = WIRE_REPLY_OK;
    }
  xdr_destroy (&xdr);
  return outcome;
}
