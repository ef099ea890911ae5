/*
 * The sidecar guards the targets on this node's VM. All requests to them pass through it.
 */
#ifndef DAEMON_SIDECAR_H
#define DAEMON_SIDECAR_H

#include <core/config.h>
#include <wire/message.h>

#include "node.h"

Sidecar *sidecar_create (Node *node);
void sidecar_destroy (Sidecar *sidecar);

/* Applies a new configuration to the targets of this VM. */
void sidecar_apply (Sidecar *sidecar, const Snapshot *snapshot);

/* Publishes changes of the registration and of verdicts at once, instead of with the next
   sweep. */
void sidecar_publish (Sidecar *sidecar);

/* Takes the target's own report of how much longer it stays cold; 0 if it is warm. */
void sidecar_note_cold (Sidecar *sidecar, const char *target, gint64 cold_us);

/* Handle calls of ingresses; each is answered through `conn`, at once or later. A request
   that is submitted may take over what `args` holds. */
void sidecar_submit (Sidecar *sidecar, RpcConn *conn, guint32 xid, sw_submit_args *args);
/* Refuses a request whose body has been discarded for want of memory. */
void sidecar_refuse_truncated (Sidecar *sidecar,
                               RpcConn *conn,
                               guint32 xid,
                               const sw_submit_args *args);
/* `args` is borrowed. */
void
sidecar_fence (Sidecar *sidecar, RpcConn *conn, guint32 xid, const sw_fence_args *args);

/* Cancels an attempt whose result is no longer needed. An attempt that has not started
   is refused; a running one is aborted only if it is repeatable. */
void sidecar_cancel (Sidecar *sidecar, const sw_cancel_args *args);

/* Fills in the node's name, the sidecar's incarnation and its clock reading. The name is
   borrowed from the settings. */
void sidecar_stamp (const Sidecar *sidecar, sw_stamp *stamp);

/* What an outgoing call of a target inherits from the request it is made for. */
typedef struct
{
  gboolean repeat;        /* the request may have been attempted before */
  guint account_priority; /* priority of the request's account; 0 is the highest */
} SidecarCallContext;

/* Returns what a call made for the running request `id` inherits. If no such request runs
   here, the result is that of a first attempt at the lowest account priority. */
SidecarCallContext sidecar_call_context (const Sidecar *sidecar, const char *id);

/* Fills in the states of the targets, SW_STATES_MAX at most. The caller frees the array,
   but not its texts. */
void sidecar_states (Sidecar *sidecar, sw_hello_res *res);

/* Stops queueing: from now on only requests that can start at once are admitted. Waiting
   requests are refused, so that their ingresses can send them elsewhere. */
void sidecar_close_queues (Sidecar *sidecar);

/* Refuses all waiting and new requests from now on. */
void sidecar_drain (Sidecar *sidecar);

/* Returns the number of requests that run or wait at this VM's targets. */
guint sidecar_active (const Sidecar *sidecar);

/* Logs each request that the end of the process aborts at this VM's targets. Returns
   their number. */
guint sidecar_log_cut (const Sidecar *sidecar);

/* Appends an array of the targets with their verdicts and the reasons for them. */
void sidecar_write_status (Sidecar *sidecar, JsonBuilder *builder);

#endif
