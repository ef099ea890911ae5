/*
 * Between the wire's structs and single values: packing, and borrowed copies.
 */
#ifndef WIRE_CONVERT_H
#define WIRE_CONVERT_H

#include <wire/message.h>

/* A struct as its XDR bytes; NULL when it does not encode. */
GBytes *wire_pack (xdrproc_t proc, void *value);

/* The reverse, into a zeroed struct; FALSE when the bytes are something else. */
gboolean wire_unpack (xdrproc_t proc, GBytes *bytes, void *value);

#endif
