/*
 * The rates that targets name, in messages between nodes: thousandths of a request a
 * second, SW_RATE_NONE or SW_RATE_UNKNOWN.
 */
#ifndef DAEMON_RATE_WIRE_H
#define DAEMON_RATE_WIRE_H

#include <core/named-rate.h>
#include <wire/message.h>

/* `per_s` is used for NAMED_RATE_IN_FORCE. */
u_int rate_wire_pack (NamedRateState state, double per_s);

/* Stores the rate in `per_s` if the result is NAMED_RATE_IN_FORCE, else 0. */
NamedRateState rate_wire_unpack (u_int rate_milli, double *per_s);

#endif
