/*
 * Record marking for RPC over a byte stream (RFC 5531, section 11).
 */
#ifndef WIRE_RECORD_H
#define WIRE_RECORD_H

#include <glib.h>

typedef enum
{
  RECORD_MORE,  /* no whole record yet */
  RECORD_READY, /* one record has been taken */
  RECORD_BAD    /* longer than allowed: the stream cannot go on */
} RecordState;

/* Appends `message` to `out` as one record of a single fragment. */
void record_append (GByteArray *out, const GByteArray *message);

/*
 * Takes the first whole record from the front of `in` into `message`, joining
 * fragments. `max` bounds the record in bytes.
 */
RecordState record_take (GByteArray *in, gsize max, GByteArray *message);

#endif
