/*
 * The settings of one node, read from JSON. A single fault rejects the whole text; all
 * faults are reported.
 */
#ifndef CORE_SETTINGS_H
#define CORE_SETTINGS_H

#include <core/allowance.h>
#include <core/config.h>

/* An operator, who may change the configuration. */
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

/* The source of configuration and members, and the set of HTTP headers that is used. */
typedef enum
{
  PLATFORM_OWN,    /* this project's object API (daemon/src/config/platform.h) */
  PLATFORM_OBJECTS /* the store of metadata objects that platform/ uses */
} PlatformKind;

/* Settings of services that the platform's configuration does not contain. */
typedef struct
{
  double retry_ratio;     /* retries per request, over the whole fleet */
  double retry_burst;     /* and this many more; may be fractional for small fleets */
  gint64 retry_window_us; /* sliding window of both limits */
  double floor_share;     /* share of the slots that ejections leave in service, 0 to 1 */
  double cold_overage;    /* factor (>= 1) of the rate that a cold target can take */
  double cold_slack;      /* and this many requests more in a second */
  Detection detection;
  gboolean keep_connections; /* to targets, for more than one request */
  guint queue;               /* maximum number of requests that wait at one target */
} ServiceDefaults;

typedef struct
{
  char *node; /* name of this VM */
  char *hall; /* data hall of this VM */
  char *callers_address;
  char *operators_address;
  char *nodes_address;
  char *advertise_address;    /* nodes_address as other nodes reach it */
  char *readiness_address;    /* NULL for no listener */
  char *registration_address; /* where targets register; NULL for no listener */
  char *metrics_address;      /* metrics without a token; NULL for no listener */
  char *target_address; /* of the local target, which registers itself; NULL for none */
  char *target_service; /* service of the local target; NULL for none */
  char *platform_address;
  char **platform_contracts; /* NULL-terminated names of the rules that the platform has
                                put in force; its adapter knows them */
  PlatformKind platform;
  gboolean evacuations; /* read the evacuated data halls from the platform */
  gboolean first_start; /* the whole fleet is starting for the first time */
  char **peers;         /* NULL-terminated addresses of other nodes */
  char *fleet_token;
  guint64 fleet_token_digest; /* 64 bits of the token's digest, for short messages */
  GPtrArray *operators;       /* of OperatorAccount */
  guint connections_max;
  gsize header_max;
  gsize body_max;
  gsize held_max;      /* bytes buffered for all callers' requests together */
  gint64 stall_us;     /* timeout for callers that read nothing of an answer */
  gint64 read_us;      /* timeout for reading a whole request */
  gint64 idle_us;      /* timeout for connections without a request */
  gint64 stop_us;      /* longest duration of a planned stop */
  gint64 cut_after_us; /* time after which it may cut running requests; <= stop_us */
  gint64 apply_us;     /* within which a change of the configuration has to be in force */
  gint64 linger_us;    /* time after SIGTERM in which callers are still served */
  gint64 fence_window_us;
  guint fence_entries_max;
  gsize fence_answers_max;
  ServiceDefaults defaults;
  AllowanceRule allowance;
  LogThreshold log;
} Settings;

/* Returns NULL and adds faults if a setting is missing, unknown or invalid. */
Settings *settings_parse (const char *text, gssize len, JsonFaults *faults);
void settings_destroy (Settings *settings);

/* Returns the name of the operator with this token, or NULL. The comparison of tokens is
   constant-time. */
const char *settings_operator (const Settings *settings, const char *token);

/* Returns whether two secrets are equal, in a time that depends only on their lengths. */
gboolean settings_secret_equal (const char *a, const char *b);

#endif
