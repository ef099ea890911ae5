/*
 * What a target's answer, or the lack of one, means for an attempt.
 */
#ifndef DAEMON_TARGET_ANSWER_H
#define DAEMON_TARGET_ANSWER_H

#include <io/http-client.h>
#include <wire/message.h>

/* The header that names the attempt to a target, which may echo it. */
#define ATTEMPT_HEADER "Switchmill-Attempt"

/* An attempt's name as that header's value; the caller frees it. */
char *target_answer_attempt (const sw_attempt *attempt);

/*
 * Fills result, reason, time and answer. The answer's header list is the caller's to
 * free, its texts and its body are borrowed from `result`.
 */
void target_answer_judge (const sw_attempt *attempt,
                          const HttpResult *result,
                          sw_submit_res *res);

#endif
