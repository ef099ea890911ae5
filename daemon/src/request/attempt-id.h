/*
 * The text form of an attempt's identifier. Ingress and sidecar write the same text into
 * their logs.
 */
#ifndef DAEMON_ATTEMPT_ID_H
#define DAEMON_ATTEMPT_ID_H

#include <wire/message.h>

/* Returns "NODE-INCARNATION-COUNTER", both numbers in hexadecimal; the caller frees it.
 */
char *attempt_id_text (const sw_attempt *attempt);

#endif
