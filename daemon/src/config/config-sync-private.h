/*
 * Shared by the files of the sync: config-sync.c keeps the configuration in force,
 * config-watch.c watches the platform, config-fetch.c fetches the parts of a newer head,
 * config-start.c requests heads from other nodes, config-delegate.c has other nodes watch
 * in the place of a watcher that does not reach the platform, and config-halls.c handles
 * evacuated data halls.
 */
#ifndef DAEMON_CONFIG_SYNC_PRIVATE_H
#define DAEMON_CONFIG_SYNC_PRIVATE_H

#include <core/part-history.h>

#include "adapter.h"
#include "config-sync.h"

/* The duty to watch, as delegated by this node or to it. */
typedef struct ConfigDelegate ConfigDelegate;

struct ConfigSync
{
  Node *node;
  const ConfigSource *kind;
  gpointer source_data;
  Snapshot *base;       /* as configured */
  Snapshot *snapshot;   /* base, with registered targets and evacuations */
  Directory *directory; /* of the registered targets */
  Evacuations *evacuations;
  char *head_text;
  gboolean ready;
  LoopTimer *poll;
  LoopTimer *watch;
  LoopTimer *start;
  LoopTimer *fetch;
  LoopTimer *compose;  /* started while registrations are not in the snapshot yet */
  gboolean is_watcher; /* at the last check */
  gboolean watching;
  guint watch_failures; /* in a row */
  ConfigDelegate *delegate;
  gboolean polling;
  /* The fetch in progress: a head newer than the snapshot's, and the parts received. */
  ConfigHead *wanted;
  char *wanted_text;
  char *source;         /* the node to fetch from, or NULL for the platform */
  GHashTable *parts;    /* digest → ConfigPart */
  guint fetching;       /* fetches of the wanted head in flight */
  guint heads;          /* that have been wanted, to tell fetches of earlier ones */
  guint missing_before; /* number of missing parts before the last batch */
  /* The newest head that came during that fetch, and takes its place when it ends; NULL
     for none. */
  ConfigHead *next;
  char *next_text;
  char *next_source;
  PartHistory *history; /* of parts that were in force */
  /* The rounds of head requests at startup. */
  guint round;
  guint asked;    /* requests of the present round */
  guint answered; /* answers in the present round */
  /* The nodes from which a head is being requested that they have announced: name → the
     highest generation (guint64) that each has announced. */
  GHashTable *announcers;
  /* The nodes that have announced the highest generation heard of, the latest last. */
  GPtrArray *holders; /* of char * */
  guint64 holders_generation;
  /* A newer generation announced from another hall. Its head is requested after a delay,
     in which a node of the own hall may announce it. */
  LoopTimer *far;
  char *far_source; /* NULL for none */
  guint64 far_generation;
  gint64 created_us;
  gint64 polled_us;  /* last poll by the timer */
  gint64 heard_us;   /* last message of another node, or when it could first come */
  gint64 applied_us; /* when the present configuration came into force */
};

/* A head or part that was read from another node. */
typedef struct
{
  const char *event;
  const char *subject;
  const char *vm;
  RpcOutcome outcome;
  gint64 began_us;
} ConfigPeerRead;

/* Logs a read that has failed or has taken long, with the generation in force and the
   wanted one. */
void config_sync_note_read (ConfigSync *sync, const ConfigPeerRead *read);

/* Returns how long another node may take for a read: at most `most_us`, and half of the
   time in which a change has to be in force, so that there is time for another try. */
gint64 config_sync_patience_us (const ConfigSync *sync, gint64 most_us);

/* Rebuilds the snapshot in force from the configuration, the directory and the
   evacuations. */
void config_sync_compose (ConfigSync *sync);

/* Applies what the platform has answered to a read or a watch. */
void config_sync_apply_reading (ConfigSync *sync, const ConfigReading *reading);

/* Whether this node knows enough of the others to decide whether it watches. */
gboolean config_watch_has_settled (const ConfigSync *sync);
/* Whether this node is one of the watchers by its view of the members. */
gboolean config_watch_is_chosen (const ConfigSync *sync);
/* Schedules the first check. */
void config_watch_start (ConfigSync *sync);
/* Timer function: begins a watch, or ends the one of a node that is no watcher. */
void config_watch_check (gpointer data);

/* Puts the wanted head in force; does nothing while one of its parts is missing. */
void config_sync_apply (ConfigSync *sync);

/* Parses a head, and starts to fetch its parts if its generation is higher than those of
   the snapshot and the wanted head. `source` is the node to fetch from, or NULL. */
void config_fetch_start_if_newer (ConfigSync *sync,
                                  const char *text,
                                  gsize len,
                                  const char *source);
/* Forgets the wanted head. Parts that have been received are kept. */
void config_fetch_reset (ConfigSync *sync);
/* Starts to fetch the head that has come meanwhile, if any. */
void config_fetch_next (ConfigSync *sync);
void config_fetch_destroy (ConfigSync *sync);
/* Timer function: fetches a batch of the parts that are still missing. */
void config_fetch_batch (gpointer data);

/* Timer function: requests the head from the other hall's node unless it is known now. */
void config_request_far_head (gpointer data);

/* Timer function: queries the platform and a few nodes until this node may serve. */
void config_start_round (gpointer data);

ConfigDelegate *config_delegate_create (ConfigSync *sync);
void config_delegate_destroy (ConfigDelegate *delegate);
/* Notes that the platform does not answer. If this node is a watcher, it asks others to
   watch in its place until the platform answers it again. */
void config_delegate_begin (ConfigDelegate *delegate);
/* Notes the end of a read or a watch. */
void config_delegate_note_answer (ConfigDelegate *delegate, gboolean answered);
/* Whether this node watches in the place of another one. */
gboolean config_delegate_is_on_duty (const ConfigDelegate *delegate);

#endif
