/*
 * The configuration in force at this node: from the platform where it answers, from
 * other nodes where it does not. Only a higher generation ever replaces it.
 */
#ifndef DAEMON_CONFIG_SYNC_H
#define DAEMON_CONFIG_SYNC_H

#include <core/directory.h>
#include <wire/message.h>

#include "node.h"

/* The platform's keys. */
#define CONFIG_HEAD_KEY "switchmill/head"
#define CONFIG_PART_KEY "switchmill/part/"

ConfigSync *config_sync_create (Node *node);
void config_sync_destroy (ConfigSync *sync);

/* The snapshot in force; borrowed until control returns to the loop. */
Snapshot *config_sync_snapshot (const ConfigSync *sync);

/* Whether this node may serve: it has asked, and has the highest that it could find. */
gboolean config_sync_ready (const ConfigSync *sync);
/* How long the configuration has been in force here. */
gint64 config_sync_age_us (const ConfigSync *sync);

/*
 * What a node says of the target beside it that registered itself; NULL for none. Where
 * that is news the snapshot changes: at once for this node, for others in the next turn.
 */
void config_sync_set_registration (ConfigSync *sync,
                                   const char *vm,
                                   const char *hall,
                                   const Registration *registration);

/* Another node has said which generation is in force there. */
void config_sync_note_generation (ConfigSync *sync, const char *vm, guint64 generation);

/* Reads the head from the platform now rather than at the next occasion. */
void config_sync_poll (ConfigSync *sync);

/* Whether this node is one of the few of its hall that watch the platform for the rest.
 */
gboolean config_sync_is_watcher (const ConfigSync *sync);

/* How long to wait before a watch that has failed so often in a row is made anew: soon,
   for changes may have been missed; a store that is away is asked once a second. */
gint64 config_sync_watch_pause_us (const ConfigSync *sync, guint failures);

/*
 * Which data halls are evacuated, as the store said at a moment (core/evacuations.h);
 * `halls` of char *. Where that changes anything it is in force at once, and told on.
 */
void config_sync_take_evacuations (ConfigSync *sync,
                                   guint64 era,
                                   guint64 revision,
                                   const GPtrArray *halls);
/* What is held of them. */
const Evacuations *config_sync_evacuations (const ConfigSync *sync);
/* Puts it on a message, and takes it from one; the texts are borrowed from the sync until
   the loop goes on. */
void config_sync_put_evacuations (const ConfigSync *sync, sw_evacuations *words);
void config_sync_drop_evacuations (sw_evacuations *words);
void config_sync_note_evacuations (ConfigSync *sync, const sw_evacuations *words);

/* Answers for other nodes; the results borrow from the sync. */
void config_sync_answer_head (ConfigSync *sync, sw_head_res *res);
void
config_sync_answer_part (ConfigSync *sync, const sw_part_args *args, sw_part_res *res);

#endif
