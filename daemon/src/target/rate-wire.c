#include "rate-wire.h"

#define MILLI 1000.0

u_int
rate_wire_pack (NamedRateState state, double per_s)
{
  switch (state)
    {
    case NAMED_RATE_NONE:
      return SW_RATE_NONE;
    case NAMED_RATE_IN_FORCE:
      return (u_int)CLAMP (per_s * MILLI + 0.5, 0, (double)SW_RATE_UNKNOWN - 1);
    default:
      return SW_RATE_UNKNOWN;
    }
}

NamedRateState
rate_wire_unpack (u_int rate_milli, double *per_s)
{
  *per_s = 0;
  if (rate_milli == SW_RATE_NONE)
    return NAMED_RATE_NONE;
  if (rate_milli == SW_RATE_UNKNOWN)
    return NAMED_RATE_UNKNOWN;
  *per_s = rate_milli / MILLI;
  return NAMED_RATE_IN_FORCE;
}
