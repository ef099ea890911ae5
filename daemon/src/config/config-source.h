/*
 * A store of the configuration: a table of functions for each kind of store, which the
 * sync calls. A read delivers a head (core/config.h), and may deliver parts with it.
 */
#ifndef DAEMON_CONFIG_SOURCE_H
#define DAEMON_CONFIG_SOURCE_H

#include <core/watch-times.h>

#include "node.h"

typedef enum
{
  CONFIG_READ_HEAD,      /* a head was read; it may be the one in force */
  CONFIG_READ_NONE,      /* the store has no configuration yet */
  CONFIG_READ_UNCHANGED, /* the watch timed out without a change */
  CONFIG_READ_FAILED     /* no answer, or an invalid one */
} ConfigReadOutcome;

/* The result of a read or a watch, valid during the callback. */
typedef struct
{
  ConfigReadOutcome outcome;
  const char *head; /* for HEAD: its text */
  gsize head_len;
  const GPtrArray *parts; /* of ConfigPart, delivered with the head; NULL for none */
} ConfigReading;

typedef void (*ConfigReadDone) (const ConfigReading *reading, gpointer data);

/* `text` is NULL if the part could not be read. */
typedef void (*ConfigPartDone) (GBytes *text, gpointer data);

typedef struct
{
  gpointer (*create) (Node *node);
  void (*destroy) (gpointer source);
  /* Reads the present configuration. */
  void (*read) (gpointer source, ConfigReadDone done, gpointer data);
  /* Calls `done` once the store has something newer than the last read, or when the times
     of the watch have passed. */
  void (*watch) (gpointer source,
                 const WatchTimes *times,
                 ConfigReadDone done,
                 gpointer data);
  /* Ends a watch whose `done` has not been called, and will not be then. Returns FALSE if
     the store has already answered: `done` follows. */
  gboolean (*unwatch) (gpointer source);
  /* Reads one part by its digest. */
  void (*part) (gpointer source, const char *digest, ConfigPartDone done, gpointer data);
  gint64 watch_most_us; /* the longest watch */
  /* Whether a node may serve, refusing every request, while nothing is configured. */
  gboolean serves_empty;
} ConfigSource;

/* The store that confirmed plans are written to (confirm.h). */
extern const ConfigSource config_source_own;

#endif
