/*
 * The sidecar: guards the targets on this node's VM. Nothing reaches them but here.
 */
#ifndef DAEMON_SIDECAR_H
#define DAEMON_SIDECAR_H

#include <core/config.h>
#include <wire/message.h>

#include "node.h"

Sidecar *sidecar_create (Node *node);
void sidecar_destroy (Sidecar *sidecar);

/* Takes the targets of this VM from a new configuration. */
void sidecar_apply (Sidecar *sidecar, const Snapshot *snapshot);

/* A target's own word of how much longer it is cold; 0 for warm. */
void sidecar_note_cold (Sidecar *sidecar, const char *target, gint64 cold_us);

/* Takes calls; each is answered through `conn`, now or later. `args` is borrowed. */
void
sidecar_submit (Sidecar *sidecar, RpcConn *conn, guint32 xid, const sw_submit_args *args);
void
sidecar_fence (Sidecar *sidecar, RpcConn *conn, guint32 xid, const sw_fence_args *args);

/* Nobody waits for an attempt any more: it does not start, or is broken off where it may
   be repeated. */
void sidecar_cancel (Sidecar *sidecar, const sw_cancel_args *args);

/* This sidecar's incarnation and clock, as of now; texts borrowed from the settings. */
void sidecar_stamp (const Sidecar *sidecar, sw_stamp *stamp);

/* What a call that a target makes takes over from the request that it is made for. */
typedef struct
{
  gboolean repeat;        /* the request is not at its first attempt */
  guint account_priority; /* of the account whose request it is */
} CallTerms;

/* The terms for a call of the request of that id; those of nobody's first attempt where
   it does not run here. */
CallTerms sidecar_call_terms (const Sidecar *sidecar, const char *id);

/* The states of all targets; the array is the caller's to free, its texts not. */
void sidecar_states (Sidecar *sidecar, sw_hello_res *res);

/* From now on takes only what can start at once; what waits is sent elsewhere. */
void sidecar_close_queues (Sidecar *sidecar);

/* Takes nothing new from now on. */
void sidecar_drain (Sidecar *sidecar);

/* Requests that run or wait at this VM's targets. */
guint sidecar_active (const Sidecar *sidecar);

/* Appends an array of the targets with their verdicts and why. */
void sidecar_write_status (Sidecar *sidecar, JsonBuilder *builder);

#endif
