/*
 * The HTTP exchanges with one start of a target: each on a new connection, or on kept
 * ones where the service asks for it (core/connection-pool.h).
 */
#ifndef DAEMON_TARGET_CALLS_H
#define DAEMON_TARGET_CALLS_H

#include <core/connection-pool.h>
#include <io/http-link.h>

#include "node.h"

typedef struct TargetCalls TargetCalls;
typedef struct TargetCall TargetCall;

/* `target` is the name of the target, for the log; it is borrowed. */
TargetCalls *target_calls_create (Node *node, const char *target);
/* Closes all connections; the functions of calls in progress are not called. */
void target_calls_destroy (TargetCalls *calls);

/* Sets the target's address, and whether connections to it are kept: at most `limit` with
   those in use. */
void
target_calls_update (TargetCalls *calls, const char *address, gboolean keep, guint limit);

/* Starts a call. `done` is called exactly once, from the loop, unless the call is
   cancelled or the calls are destroyed before. The texts and the body of `request` must
   stay valid until the call ends; `data` is passed to its function too. */
TargetCall *target_calls_send (TargetCalls *calls,
                               const HttpLinkRequest *request,
                               ConnectionUse use,
                               HttpDoneFunc done,
                               gpointer data);

/* Closes the call's connection at once and frees the call. */
void target_call_cancel (TargetCall *call);

/* Keeps a connection to the target that was opened for another purpose, or closes it. */
void target_calls_adopt (TargetCalls *calls, int fd);

/* Called periodically. Closes what need not be kept; everything at rest if the target
   leaves. */
void target_calls_tick (TargetCalls *calls, gboolean leaving);

void target_calls_write_status (const TargetCalls *calls, JsonBuilder *builder);

#endif
