/*
 * Conversion of XDR structs to byte strings and back.
 */
#ifndef WIRE_CONVERT_H
#define WIRE_CONVERT_H

#include <wire/message.h>

/* Returns a struct as its XDR encoding, or NULL if it does not encode. The caller unrefs
   the bytes. */
GBytes *wire_pack (xdrproc_t proc, void *value);

/* Decodes XDR bytes into a zeroed struct, which the caller frees with xdr_free. Returns
   FALSE, with nothing to free, if they do not decode. */
gboolean wire_unpack (xdrproc_t proc, GBytes *bytes, void *value);

#endif
