/*
 * Compression of texts that nodes send each other (raw deflate).
 */
#ifndef CORE_PACK_H
#define CORE_PACK_H

#include <glib.h>

GBytes *pack_compress (GBytes *text);

/* Returns NULL when `packed` is malformed or expands to more than `most` bytes. */
GBytes *pack_decompress (GBytes *packed, gsize most);

#endif
