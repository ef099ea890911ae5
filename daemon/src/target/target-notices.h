/*
 * What a target states about itself in the headers of an answer. The dialect knows the
 * headers' names.
 */
#ifndef DAEMON_TARGET_NOTICES_H
#define DAEMON_TARGET_NOTICES_H

#include <core/named-rate.h>

#include "dialect.h"

typedef struct
{
  RateNotice rate;
  gboolean leaving;
  const char *malformed; /* a value that cannot be read, borrowed; NULL for none */
} TargetNotices;

/* A header that is given twice is malformed. */
TargetNotices target_notices_read (const Dialect *dialect, const GArray *headers);

#endif
