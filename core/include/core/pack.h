/*
 * Texts packed for the way between nodes (raw deflate).
 */
#ifndef CORE_PACK_H
#define CORE_PACK_H

#include <glib.h>

GBytes *pack_text (GBytes *text);

/* NULL when it does not unpack, or to more than `most` bytes. */
GBytes *pack_open (GBytes *packed, gsize most);

#endif
