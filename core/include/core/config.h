/*
 * The configuration: immutable parts, and snapshots made of them.
 *
 * A part is the JSON text of one service, or of one shard of the routes, accounts or
 * access keys. Its name is a key ("service/taliad", "routes/2a", "accounts/07",
 * "keys/3f"), and the SHA-256 of its text is its digest. Parts contain only digests of
 * access keys, never the keys. A head lists the digests of all parts of one generation.
 * Parts and snapshots are reference-counted, and generations share unchanged parts.
 */
#ifndef CORE_CONFIG_H
#define CORE_CONFIG_H

#include <core/evacuations.h>
#include <core/json-view.h>

/* Number of shards of the routes. */
#define CONFIG_ROUTE_SHARDS 64u
/* Number of shards of the accounts, and of the access keys. There are more accounts and
   keys than routes; with 256 shards the change of one at full size costs no more than the
   change of a route. */
#define CONFIG_ACCOUNT_SHARDS 256u
/* Number of priorities of routes; 0 is the highest. */
#define CONFIG_PRIORITIES 4u
/* Number of priorities of accounts; 0 is the highest. They take precedence over those of
   routes. */
#define CONFIG_ACCOUNT_PRIORITIES 16u
/* Length in bytes of an access key's SHA-256 digest. */
#define CONFIG_KEY_DIGEST_LEN 32u
/* Maximum length in bytes of the text of a part that is received compressed. Answers
   of the platform have the same limit; a service of 12,000 targets takes 1.4 MB. */
#define CONFIG_PART_MAX (2u * 1024 * 1024)
#define CONFIG_DEADLINE_MAX_MS 60000

typedef enum
{
  DETECTION_OFF,
  DETECTION_CAREFUL, /* few false ejections */
  DETECTION_QUICK,   /* short detection time */
  DETECTION_STRICT, /* ejects after one broken exchange, readmits after one or two good */
  DETECTION_COUNT
} Detection;

typedef enum
{
  TARGET_SERVING,
  TARGET_LEAVING,  /* gets no new requests */
  TARGET_EVACUATED /* likewise, until its hall is taken back */
} TargetState;

/* One target of a service, as configured or registered. */
typedef struct
{
  char *name;
  char *vm; /* name of the node whose sidecar forwards requests to it */
  char *hall;
  char *address; /* of its HTTP server, on its own VM */
  guint slots;
  guint connections;
  TargetState state;
} Target;

typedef struct
{
  char *name;
  char *tenant;
  guint floor_slots;   /* ejections leave at least this many slots in service */
  guint floor_percent; /* and at least this percentage of the serving targets' slots */
  Detection detection;
  guint queue; /* maximum number of requests that wait at one target */
  guint retry_percent;
  guint retry_burst; /* fleet-wide retries per window beyond retry_percent; 0: default */
  gboolean fixed_limit;      /* limit concurrency by slots only, not by latency */
  double cold_per_s;         /* requests/s that a cold target gets; 0 for no limit */
  double cold_burst;         /* and the burst in requests beyond that rate */
  gboolean keep_connections; /* to targets, for more than one request */
  gboolean dynamic;          /* targets register themselves; none are configured */
  gsize answer_max;          /* maximum size of an answer in bytes */
  GPtrArray *targets;        /* of Target, sorted by name */
} Service;

/* A service's share of the requests of a route. */
typedef struct
{
  char *service;
  guint weight;
} RouteShare;

/* Route.methods for all methods, including those without a bit of their own. */
#define ROUTE_METHODS_ANY G_MAXUINT
/* Default of Service.answer_max in bytes. */
#define CONFIG_ANSWER_MAX_DEFAULT (4 * 1024 * 1024)

typedef struct
{
  char *host;    /* "" for any */
  char *prefix;  /* matches equal paths and paths that continue with '/' */
  char *service; /* of a split route: the service of its first share */
  GArray *split; /* of RouteShare; empty if the route has one service */
  char *class;
  guint methods; /* bits from route_method_bit, or ROUTE_METHODS_ANY */
  guint priority;
  gboolean repeatable;
  gboolean account; /* only callers with an account of the service's tenant */
  guint attempts;   /* maximum number of targets that one request may reach */
  gint64 deadline_us;
  gint64 objective_us; /* answers that take longer count as late; 0 for none */
} Route;

/* A client account, to which requests belong. */
typedef struct
{
  char *id;
  char *tenant;
  float per_s;    /* requests/s over the whole fleet; 0 for no limit */
  float burst;    /* burst in requests, beyond that rate */
  guint priority; /* 0 is the highest; takes precedence over the route's */
} Account;

/* The SHA-256 digest of an access key, and the id of its account. */
typedef struct
{
  guint8 digest[CONFIG_KEY_DIGEST_LEN];
  char *account;
} AccessKey;

typedef struct ConfigPart ConfigPart;
typedef struct Snapshot Snapshot;

/* Parses one part. Returns NULL and adds faults if it is not valid. */
ConfigPart *config_part_parse (const char *key, GBytes *text, JsonFaults *faults);
ConfigPart *config_part_ref (ConfigPart *part);
void config_part_unref (ConfigPart *part);
const char *config_part_key (const ConfigPart *part);
const char *config_part_digest (const ConfigPart *part);
GBytes *config_part_text (const ConfigPart *part);
/* Returns the text compressed, as nodes send it to each other; the part owns it. The
   first call compresses it and must not run in two threads at once. */
GBytes *config_part_packed (ConfigPart *part);
/* Decompresses and parses a part. Returns NULL and adds faults if it is not valid. */
ConfigPart *
config_part_parse_packed (const char *key, GBytes *packed, JsonFaults *faults);
/* Returns the part's service, or NULL for a shard. */
const Service *config_part_service (const ConfigPart *part);
/* Each returns the part's routes, accounts or access keys, or NULL if it has none. */
const GPtrArray *config_part_routes (const ConfigPart *part);
const GPtrArray *config_part_accounts (const ConfigPart *part);
const GPtrArray *config_part_keys (const ConfigPart *part);

/* Each returns the part key of the shard of a route, account or access key; the caller
   frees it. */
char *config_route_shard (const char *host, const char *prefix);
char *config_account_shard (const char *id);
char *config_key_shard (const guint8 *digest);

/* The list of a generation's parts, with the ids of recently accepted plans. */
typedef struct
{
  guint64 generation;
  GPtrArray *plans;  /* of char *, plan ids, newest last */
  GHashTable *parts; /* key → digest */
} ConfigHead;

ConfigHead *config_head_create (guint64 generation);
/* Returns NULL and adds faults if the text is not valid. */
ConfigHead *config_head_parse (const char *text, gssize len, JsonFaults *faults);
/* Returns the head as JSON; the caller frees it. */
char *config_head_text (const ConfigHead *head);
void config_head_destroy (ConfigHead *head);
/* Adds the id of an accepted plan. Only the latest 150 ids are kept. */
void config_head_add_plan (ConfigHead *head, const char *id);
gboolean config_head_has_plan (const ConfigHead *head, const char *id);

/*
 * Creates a snapshot of `head` with references to the parts in `parts` (digest →
 * ConfigPart). Returns NULL if a part that the head lists is missing.
 */
Snapshot *snapshot_create (const ConfigHead *head, GHashTable *parts);
/*
 * Creates a snapshot like `base` whose dynamic services have the targets in `targets`
 * (service name → GPtrArray of Target, which are copied). The state of serving targets in
 * evacuated data halls becomes TARGET_EVACUATED. The parts are shared with `base`.
 */
Snapshot *snapshot_with_targets (Snapshot *base,
                                 GHashTable *targets,
                                 const Evacuations *evacuations);
/* Creates a snapshot of generation 0, with nothing configured. */
Snapshot *snapshot_create_empty (void);
Snapshot *snapshot_ref (Snapshot *snapshot);
void snapshot_unref (Snapshot *snapshot);
guint64 snapshot_generation (const Snapshot *snapshot);
const ConfigHead *snapshot_head (const Snapshot *snapshot);
const Service *snapshot_service (const Snapshot *snapshot, const char *name);
/* Returns all services, sorted by name; the snapshot owns the array. */
const GPtrArray *snapshot_services (const Snapshot *snapshot);
ConfigPart *snapshot_part (const Snapshot *snapshot, const char *key);
ConfigPart *snapshot_part_by_digest (const Snapshot *snapshot, const char *digest);
/* Returns the parts of `snapshot` that `fresh` does not have, borrowed from it. */
GPtrArray *snapshot_replaced_parts (const Snapshot *snapshot, const Snapshot *fresh);
guint snapshot_route_count (const Snapshot *snapshot);
guint snapshot_account_count (const Snapshot *snapshot);
/* Returns whether any account is or was configured: shards that a plan has emptied are
   kept, so this stays true after the last account is removed. The time does not depend on
   the number of accounts. */
gboolean snapshot_has_accounts (const Snapshot *snapshot);

/* Returns the route for `method` with the longest prefix of `path` among those for
   `host`; if there is none, among those for any host; else NULL. */
const Route *snapshot_route (const Snapshot *snapshot,
                             const char *host,
                             const char *path,
                             const char *method);
/* Returns the account with this id, or NULL. */
const Account *snapshot_account (const Snapshot *snapshot, const char *id);
/* Counts the access keys of an account. Scans all keys. */
guint snapshot_account_key_count (const Snapshot *snapshot, const char *id);
/* Returns the account of the access key with this digest, or NULL. */
const Account *snapshot_account_by_key (const Snapshot *snapshot, const guint8 *digest);

void target_free (Target *target);

/* Returns the target with this name, or NULL. */
const Target *service_target (const Service *service, const char *name);
/* Returns the total slots of the targets in state TARGET_SERVING. */
guint service_slots (const Service *service);

#endif
