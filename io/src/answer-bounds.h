/*
 * The account of an answer's bytes. Whatever part of it a server sends without end
 * (fields of a head or a trailer, interim answers, chunk extensions), the part is not
 * content, and is bounded here; the body has its own bound, `answer_max`.
 */
#ifndef IO_ANSWER_BOUNDS_H
#define IO_ANSWER_BOUNDS_H

#include <glib.h>

/* Bytes of heads, trailers and framing of an answer, besides those of ANSWER_FRAMING. */
#define ANSWER_OVERHEAD_MAX (128u * 1024)
/* Bytes of framing for each byte of the body; a chunk of one byte takes five. */
#define ANSWER_FRAMING 8u

/* Returns whether an answer of which `received` bytes have arrived, `content` of them of
   its body, is within the bound. */
static inline gboolean
answer_within_bounds (gsize received, gsize content)
{
  return received - content <= ANSWER_OVERHEAD_MAX + ANSWER_FRAMING * content;
}

#endif
