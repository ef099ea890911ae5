/*
 * ONC RPC messages as byte arrays (RFC 5531, sections 9 and 11), with libtirpc's codecs.
 * No sockets here: the transport in io/ moves the bytes.
 */
#ifndef WIRE_MESSAGE_H
#define WIRE_MESSAGE_H

#include <glib.h>
#include <rpc/rpc.h>
#include "switchmill.h"

/* The longest record either side takes, in bytes: a body of SW_BODY_MAX and its frame. */
#define WIRE_RECORD_MAX (SW_BODY_MAX + 4u * 1024 * 1024)

/* A decoded call header; `in` stands at the arguments. */
typedef struct
{
  guint32 xid;
  guint32 procedure;
} WireCall;

/* How a reply came out. */
typedef enum
{
  WIRE_REPLY_OK,
  WIRE_REPLY_DENIED, /* the peer refused the call before running it */
  WIRE_REPLY_BAD     /* not a reply, or its result does not decode */
} WireReply;

/* The codec of nothing, for procedures without arguments or result. */
bool_t wire_void (XDR *xdr, ...);

/* A call with its arguments, without a record mark; NULL when they do not encode. */
GByteArray *wire_call_encode (guint32 xid, guint32 procedure, xdrproc_t proc, void *args);

/* Reads a call's header. FALSE when it is no call to this program and version. */
gboolean wire_call_decode (XDR *in, WireCall *call);

/* A successful reply with its result; NULL when it does not encode. */
GByteArray *wire_reply_encode (guint32 xid, xdrproc_t proc, void *result);

/* A reply that says the caller may not call (AUTH_ERROR, AUTH_TOOWEAK). */
GByteArray *wire_reply_encode_denied (guint32 xid);

/* Reads the xid that every RPC message begins with. FALSE when too short. */
gboolean wire_peek_xid (const guint8 *data, gsize len, guint32 *xid);

/* Decodes a reply into `result` (zeroed by the caller; freed with xdr_free). */
WireReply wire_reply_decode (const guint8 *data, gsize len, xdrproc_t proc, void *result);

#endif
