/*
 * ONC RPC messages as byte arrays (RFC 5531, sections 9 and 11), with libtirpc's codecs.
 * The transport in io/ sends and receives them.
 */
#ifndef WIRE_MESSAGE_H
#define WIRE_MESSAGE_H

#include <glib.h>
#include <rpc/rpc.h>
#include "switchmill.h"

/* The longest record that either side accepts, in bytes: a body of SW_BODY_MAX, and 4 MiB
   for the rest of the message. */
#define WIRE_RECORD_MAX (SW_BODY_MAX + 4u * 1024 * 1024)

/* A decoded call header. */
typedef struct
{
  guint32 xid;
  guint32 procedure;
  gboolean truncated; /* set by the transport: the end of the arguments was discarded, for
                         want of memory */
} WireCall;

typedef enum
{
  WIRE_REPLY_OK,
  WIRE_REPLY_DENIED, /* the peer refused the call before running it */
  WIRE_REPLY_BAD     /* not a successful reply, or its result does not decode */
} WireReply;

/* The codec for procedures without arguments or without a result. */
bool_t wire_void (XDR *xdr, ...);

/* Returns a call with its arguments and without a record mark, or NULL if they do not
   encode. The caller unrefs it. */
GByteArray *wire_call_encode (guint32 xid, guint32 procedure, xdrproc_t proc, void *args);

/*
 * A call whose last argument is opaque data of variable length, encoded as empty, is
 * followed by that data as its tail, so that long data need not be copied into it. Sets
 * the length that the message tells of its tail; `len` bytes and wire_tail_padding() zero
 * bytes are to follow.
 */
void wire_set_tail (GByteArray *message, guint32 len);
guint wire_tail_padding (gsize len);

/* Decodes a call's header and leaves `in` at the arguments. Returns FALSE unless it is a
   call to this program and version. */
gboolean wire_call_decode (XDR *in, WireCall *call);

/* Returns a successful reply with its result, or NULL if the result does not encode. */
GByteArray *wire_reply_encode (guint32 xid, xdrproc_t proc, void *result);

/* Returns a reply that denies the call (AUTH_ERROR, AUTH_TOOWEAK). */
GByteArray *wire_reply_encode_denied (guint32 xid);

/* Reads the xid at the start of a message. Returns FALSE if the message is too short. */
gboolean wire_peek_xid (const guint8 *data, gsize len, guint32 *xid);

/* Decodes a reply into `result`, which the caller has zeroed and frees with xdr_free. */
WireReply wire_reply_decode (const guint8 *data, gsize len, xdrproc_t proc, void *result);

#endif
