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

/* Appends the mark of a record of a single fragment of `len` bytes. */
void record_append_mark (GByteArray *out, guint32 len);

/* Returns the bytes that are missing from the record at the start of `in`; 0 if none are,
   if its mark is not complete, or if it is of several fragments. */
gsize record_missing (const GByteArray *in);

/* Appends `message` to `out` as one record of a single fragment. */
void record_append (GByteArray *out, const GByteArray *message);

/* Removes the mark at the start of `in`. */
void record_strip_mark (GByteArray *in);

/* Turns `in` into the record that it holds, without a copy, if that is of a single
   fragment of at most `max` bytes and nothing follows it. Returns FALSE, with `in`
   unchanged, if not. */
gboolean record_take_all (GByteArray *in, gsize max);

/*
 * Moves the first record from the start of `in` to `message` and joins its fragments.
 * `max` bounds the record in bytes. `in` stays unchanged unless RECORD_READY is returned.
 */
RecordState record_take (GByteArray *in, gsize max, GByteArray *message);

#endif
