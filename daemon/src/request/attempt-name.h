/*
 * The name of an attempt, which the nodes at both ends of it write into their logs.
 */
#ifndef DAEMON_ATTEMPT_NAME_H
#define DAEMON_ATTEMPT_NAME_H

#include <wire/message.h>

/* As it stands in all log lines about the attempt; the caller frees it. */
char *attempt_name_text (const sw_attempt *attempt);

#endif
