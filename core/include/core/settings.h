/*
 * The settings of one node, read from JSON and checked whole before use.
 */
#ifndef CORE_SETTINGS_H
#define CORE_SETTINGS_H

#include <core/allowance.h>
#include <core/config.h>

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

/* Where configuration and members come from, and which HTTP headers carry what. */
typedef enum
{
  PLATFORM_OWN,    /* this project's object API (daemon/src/platform.h) */
  PLATFORM_OBJECTS /* the store of metadata objects that platform/ speaks with */
} PlatformKind;

/* What a service is given where the configuration does not say it. */
typedef struct
{
  double retry_ratio;     /* retries for each request, over the whole fleet */
  double retry_burst;     /* and so many more; small fleets are given fractions */
  gint64 retry_window_us; /* in any span of that length */
  double floor_share;     /* of the slots, which ejections leave */
  double cold_overage;    /* of the rate that a cold target bears, what it may get */
  double cold_slack;      /* and so many more in a second */
  Detection detection;
  guint queue; /* requests that may wait at one target */
} ServiceDefaults;

typedef struct
{
  char *node; /* the name of this VM */
  char *hall; /* its data hall */
  char *callers_address;
  char *operators_address;
  char *nodes_address;
  char *advertise_address;    /* where other nodes find nodes_address */
  char *readiness_address;    /* NULL for no such listener */
  char *registration_address; /* where targets register themselves; NULL for none */
  char *metrics_address;      /* counters without a token; NULL for none */
  char *target_address;       /* of the target beside this node that registers itself */
  char *target_service;       /* its service; both NULL for none */
  char *platform_address;
  PlatformKind platform;
  gboolean evacuations; /* the platform says which data halls are evacuated */
  gboolean first_start; /* the whole fleet starts for the first time */
  char **peers;         /* NULL-terminated addresses of other nodes */
  char *fleet_token;
  guint64 fleet_seal;   /* a digest of the token, for messages that are to be short */
  GPtrArray *operators; /* of OperatorAccount */
  guint connections_max;
  gsize header_max;
  gsize body_max;
  gsize held_max;  /* bytes that are held for all callers' requests together */
  gint64 stall_us; /* who takes nothing of an answer for so long is let go */
  gint64 read_us;
  gint64 idle_us;   /* a caller's connection that rests longer is closed */
  gint64 stop_us;   /* a planned stop takes no longer */
  gint64 yield_us;  /* from here on it may give up what is left; at most stop_us */
  gint64 linger_us; /* after SIGTERM, callers are served on for so long */
  gint64 fence_window_us;
  guint fence_entries_max;
  gsize fence_answers_max;
  ServiceDefaults defaults;
  AllowanceRule allowance;
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
