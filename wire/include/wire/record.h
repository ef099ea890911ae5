/*
 * Record marking for RPC over a byte stream (RFC 5531, section 11).
 */
#ifndef WIRE_RECORD_H
#define WIRE_RECORD_H

#include <glib.h>

typedef enum
{
  RECORD_MORE,  /* the record is not complete yet */
  RECORD_READY, /* a record has been moved to `message` */
  RECORD_BAD    /* the record is too long or malformed: the stream must be closed */
} RecordState;

/* Appends `message` to `out` as one record of a single fragment. */
void record_append (GByteArray *out, const GByteArray *message);

/*
 * Moves the first record from the start of `in` to `message` and joins its fragments.
 * `max` bounds the record in bytes. `in` stays unchanged unless RECORD_READY is returned.
 */
RecordState record_take (GByteArray *in, gsize max, GByteArray *message);

#endif
