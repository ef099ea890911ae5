/*
 * The configuration in force at this node. It is read from the platform, or from other
 * nodes while the platform does not answer. Only a higher generation replaces it.
 */
#ifndef DAEMON_CONFIG_SYNC_H
#define DAEMON_CONFIG_SYNC_H

#include <core/directory.h>
#include <core/watch-times.h>
#include <wire/message.h>

#include "node.h"

/* Keys in the platform's store; a part's key ends in the part's digest. */
#define CONFIG_HEAD_KEY "switchmill/head"
#define CONFIG_PART_KEY "switchmill/part/"

ConfigSync *config_sync_create (Node *node);
void config_sync_destroy (ConfigSync *sync);

/* Returns the snapshot in force, which is valid until control returns to the loop. */
Snapshot *config_sync_snapshot (const ConfigSync *sync);

/* Returns whether this node may serve. It may once the platform or its peers have been
   queried and the highest generation found is in force. */
gboolean config_sync_ready (const ConfigSync *sync);
/* Returns how long the configuration has been in force at this node, in microseconds. */
gint64 config_sync_age_us (const ConfigSync *sync);

/*
 * Records the registration of the target on `vm`; NULL removes it. A change rebuilds the
 * snapshot: immediately for this node's own target, in the loop's next turn for targets
 * of other nodes.
 */
void config_sync_set_registration (ConfigSync *sync,
                                   const char *vm,
                                   const char *hall,
                                   const Registration *registration);

/* Notes that node `vm` has been heard, and the generation that is in force there. If it
   is higher than the one here, the head is requested from that node: at once in the own
   hall, after a delay in another (FAR_HEAD_DELAY_US). */
void config_sync_note_generation (ConfigSync *sync, const char *vm, guint64 generation);

/* Reads the head from the platform now instead of at the next poll. Does nothing while
   such a read is in flight. */
void config_sync_poll (ConfigSync *sync);

/* Returns whether this node is one of the few in its hall that watch the platform on
   behalf of the others. */
gboolean config_sync_is_watcher (const ConfigSync *sync);

/* Notes that a watch of the platform is overdue: the platform, or the connection to it,
   does not answer this node. */
void config_sync_note_watch_overdue (ConfigSync *sync);

/* Returns the times of a watch of the platform that begins now. */
WatchTimes config_sync_watch_times (const ConfigSync *sync);

/* Ends the watch in progress. Called before the HTTP client is destroyed. */
void config_sync_unwatch (ConfigSync *sync);

/* Returns the delay in microseconds before a watch is repeated after `failures` failures
   in a row. The first retry comes soon, because changes may have been missed; the delay
   grows to about a second for a store that remains unreachable. */
gint64 config_sync_watch_backoff_us (const ConfigSync *sync, guint failures);

/*
 * Applies the set of evacuated halls (char *) as the store had it at `era` and `revision`
 * (core/evacuations.h). A change is in force at once and is gossiped.
 */
void config_sync_apply_evacuations (ConfigSync *sync,
                                    guint64 era,
                                    guint64 revision,
                                    const GPtrArray *halls);
/* Returns the newest known set of evacuated halls. */
const Evacuations *config_sync_evacuations (const ConfigSync *sync);
/* Fills the evacuations of a message. The hall names are borrowed from the sync until
   control returns to the loop; config_sync_clear_evacuations frees the array. */
void config_sync_fill_evacuations (const ConfigSync *sync, sw_evacuations *words);
void config_sync_clear_evacuations (sw_evacuations *words);
/* Applies the evacuations of a received message; invalid hall names are skipped. */
void config_sync_merge_evacuations (ConfigSync *sync, const sw_evacuations *words);

/* Fill the answers to SW_HEAD and SW_PART calls of other nodes; the results borrow their
   data from the sync. */
void config_sync_answer_head (ConfigSync *sync, sw_head_res *res);
void
config_sync_answer_part (ConfigSync *sync, const sw_part_args *args, sw_part_res *res);
/* Answers an SW_DELEGATE call once the platform has answered this node or failed to. */
void config_sync_answer_delegate (ConfigSync *sync, RpcConn *conn, guint32 xid);

#endif
