/*
 * The settings of one node, read from JSON and checked whole before use.
 */
#ifndef CORE_SETTINGS_H
#define CORE_SETTINGS_H

#include <core/json-view.h>

/* One who may change the configuration. */
typedef struct
{
  char *name;
  char *token;
} OperatorAccount;

typedef enum
{
  LOG_ERROR,
  LOG_WARNING,
  LOG_INFO,
  LOG_DEBUG
} LogThreshold;

typedef struct
{
  char *node; /* the name of this VM */
  char *hall; /* its data hall */
  char *callers_address;
  char *operators_address;
  char *nodes_address;
  char *advertise_address; /* where other nodes find nodes_address */
  char *platform_address;
  char **peers; /* NULL-terminated addresses of other nodes */
  char *fleet_token;
  GPtrArray *operators; /* of OperatorAccount */
  guint connections_max;
  gsize header_max;
  gsize body_max;
  gint64 read_us;
  gint64 stop_us; /* a planned stop takes no longer */
  gint64 fence_window_us;
  guint fence_entries_max;
  gsize fence_answers_max;
  LogThreshold log;
} Settings;

/* NULL, with faults noted, when a setting is missing, unknown or wrong. */
Settings *settings_parse (const char *text, gssize len, JsonFaults *faults);
void settings_destroy (Settings *settings);

/* The operator whose token this is, compared in constant time; NULL for none. */
const char *settings_operator (const Settings *settings, const char *token);

/* Whether two secrets are equal, in a time that depends on lengths alone. */
gboolean settings_secret_equal (const char *a, const char *b);

#endif
