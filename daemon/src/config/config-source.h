/*
 * Where the configuration is kept: a table of functions for each kind of store. The
 * sync asks it; what comes is a head (core/config.h) and perhaps parts with it.
 */
#ifndef DAEMON_CONFIG_SOURCE_H
#define DAEMON_CONFIG_SOURCE_H

#include "node.h"

typedef enum
{
  CONFIG_READ_HEAD,      /* a head has come; it may be the one that is held already */
  CONFIG_READ_NONE,      /* nothing has been configured yet */
  CONFIG_READ_UNCHANGED, /* a watch's time ran out */
  CONFIG_READ_FAILED     /* no answer, or one that does not read */
} ConfigReadOutcome;

/* What a read or a watch brought; borrowed during the call. */
typedef struct
{
  ConfigReadOutcome outcome;
  const char *head; /* for HEAD, its text */
  gsize head_len;
  const GPtrArray *parts; /* of ConfigPart that came along; NULL for none */
} ConfigReading;

typedef void (*ConfigReadDone) (const ConfigReading *reading, gpointer data);

/* `text` is NULL when the part was not to be had. */
typedef void (*ConfigPartDone) (GBytes *text, gpointer data);

typedef struct
{
  gpointer (*create) (Node *node);
  void (*destroy) (gpointer source);
  /* Reads what is in force now. */
  void (*read) (gpointer source, ConfigReadDone done, gpointer data);
  /* Answers when something newer than the last reading exists, or after some time. */
  void (*watch) (gpointer source, ConfigReadDone done, gpointer data);
  /* Fetches one part by digest. */
  void (*part) (gpointer source, const char *digest, ConfigPartDone done, gpointer data);
  /* A node may serve (and refuse everything) while nothing is configured. */
  gboolean serves_empty;
} ConfigSource;

/* The configuration as plans and confirmations write it (confirm.h). */
extern const ConfigSource config_source_own;

#endif
