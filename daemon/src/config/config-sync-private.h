/*
 * What the files of the sync share: config-sync.c what is in force, config-fetch.c the
 * parts of a newer head, config-start.c the questions of a node that starts,
 * config-halls.c which data halls are evacuated.
 */
#ifndef DAEMON_CONFIG_SYNC_PRIVATE_H
#define DAEMON_CONFIG_SYNC_PRIVATE_H

#include "adapter.h"
#include "config-sync.h"

/* How long another node may take to answer about its configuration. */
#define CONFIG_PEER_TIMEOUT_US (3 * SECOND_US)

struct ConfigSync
{
  Node *node;
  const ConfigSource *kind;
  gpointer source_data;
  Snapshot *base;       /* as it was configured */
  Snapshot *snapshot;   /* with the targets that registered themselves */
  Directory *directory; /* of these targets */
  Evacuations *evacuations;
  char *head_text;
  gboolean ready;
  LoopTimer *poll;
  LoopTimer *watch;
  LoopTimer *start;
  LoopTimer *fetch;
  LoopTimer *compose; /* runs while registrations wait to be put in force */
  gboolean watching;
  guint watch_failures; /* in a row */
  gboolean polling;
  /* What is being fetched: a head newer than the snapshot's, and its parts so far. */
  ConfigHead *wanted;
  char *wanted_text;
  char *source;      /* the node that has it, or NULL for the platform */
  GHashTable *parts; /* digest → ConfigPart */
  guint fetching;
  guint missing_before; /* how many parts lacked before the last batch */
  /* The start: who has been asked and has answered. */
  guint round;
  guint asked;
  guint answered;
  guint news_asked; /* nodes that are being asked for a newer head */
  /* News of another hall, which waits for the own hall's. */
  LoopTimer *far;
  char *far_source; /* NULL for none */
  guint64 far_generation;
  gint64 created_us;
  gint64 polled_us;  /* for the last time, by the timer */
  gint64 applied_us; /* what is in force since */
};

/* Makes the snapshot in force from the configuration, the directory and the
   evacuations. */
void config_sync_compose (ConfigSync *sync);

/* Puts the wanted head in force, when all of its parts have come. */
void config_sync_apply (ConfigSync *sync);

/* Takes a head's text in; fetches its parts when it is newer than all known. */
void
config_fetch_want (ConfigSync *sync, const char *text, gsize len, const char *source);
/* Forgets what is being fetched. */
void config_fetch_drop (ConfigSync *sync);
/* A timer's function: fetches what is still missing, a few parts at a time. */
void config_fetch_batch (gpointer data);

/* A timer's function: asks another hall's node for what has not come from the own. */
void config_far_news (gpointer data);

/* A timer's function: until this node may serve, the platform and a few nodes are asked.
 */
void config_start_round (gpointer data);

#endif
