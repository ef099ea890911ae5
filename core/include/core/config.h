/*
 * The configuration: immutable parts, and snapshots that are made of them.
 *
 * A part is the JSON of one service, or of one shard of the routes, accounts or access
 * keys. Its name is a key ("service/taliad", "routes/2a", "accounts/07", "keys/3f"), its
 * identity the SHA-256 of its text. Of access keys it holds digests alone. A head names a
 * generation and the digest of each part. Parts and snapshots are reference-counted; a
 * change shares all parts that it leaves alone.
 */
#ifndef CORE_CONFIG_H
#define CORE_CONFIG_H

#include <core/evacuations.h>
#include <core/json-view.h>

#define CONFIG_SHARDS 64u
/* Of accounts, and of access keys, of which there are more: a change of one at full size
   costs no more than one of a route. */
#define CONFIG_ACCOUNT_SHARDS 256u
#define CONFIG_PRIORITIES 4u
/* Of client accounts, each of which goes before all of a route's. */
#define CONFIG_ACCOUNT_PRIORITIES 16u
/* Bytes of an access key's digest, SHA-256. */
#define CONFIG_KEY_DIGEST 32u
/* Bytes of a part's text at most, of those that come packed: as much as is taken from the
   platform, which a service of 12,000 targets (1.4 MB) stays within. */
#define CONFIG_PART_MAX (2u * 1024 * 1024)
#define CONFIG_DEADLINE_MAX_MS 60000

typedef enum
{
  DETECTION_OFF,
  DETECTION_CAREFUL, /* few false ejections */
  DETECTION_QUICK,   /* short detection time */
  DETECTION_STRICT,  /* one broken exchange is enough, and a good one or two to return */
  DETECTION_COUNT
} Detection;

typedef enum
{
  TARGET_SERVING,
  TARGET_LEAVING,  /* takes nothing new */
  TARGET_EVACUATED /* likewise, until its data hall is taken back */
} TargetState;

/* One target of a service, in an operator's words. */
typedef struct
{
  char *name;
  char *vm; /* the node whose sidecar guards it */
  char *hall;
  char *address; /* where its HTTP is, on its own VM */
  guint slots;
  guint connections;
  TargetState state;
} Target;

typedef struct
{
  char *name;
  char *tenant;
  guint floor_slots;   /* ejections leave at least so many slots in service */
  guint floor_percent; /* and at least this share of the slots of all targets */
  Detection detection;
  guint queue; /* requests that may wait at one target */
  guint retry_percent;
  guint retry_burst;    /* retries that the whole fleet may save up; 0 for the default */
  gboolean fixed_limit; /* all slots are used, however slow the targets are */
  double cold_per_s;  /* requests a second that a cold target is given; 0 for no bound */
  double cold_burst;  /* and so many at once */
  gboolean dynamic;   /* the targets register themselves; the configuration names none */
  gsize answer_max;   /* bytes */
  GPtrArray *targets; /* of Target, by name */
} Service;

/* A service's share of the requests of a route. */
typedef struct
{
  char *service;
  guint weight;
} RouteShare;

/* Of a route: every method, those not known here too. */
#define ROUTE_METHODS_ANY G_MAXUINT
/* Bytes of a target's answer at most, where a service says nothing else. */
#define CONFIG_ANSWER_DEFAULT (4 * 1024 * 1024)

typedef struct
{
  char *host;    /* "" for any */
  char *prefix;  /* matches itself and what follows a '/' */
  char *service; /* of a route that is shared out: the service of its first share */
  GArray *split; /* of RouteShare; empty for a route with one service */
  char *class;
  guint methods; /* bits, 1 << ConfigMethod */
  guint priority;
  gboolean repeatable;
  gboolean account; /* only for callers with an account of the service's tenant */
  guint attempts;   /* targets that one request may reach at most */
  gint64 deadline_us;
  gint64 objective_us; /* an answer after it is late; 0 for none */
} Route;

/* A client account: whose requests they are. */
typedef struct
{
  char *id;
  char *tenant;
  float per_s;    /* requests a second over the whole fleet; 0 for no limit */
  float burst;    /* and so many at once beyond them */
  guint priority; /* 0 first; goes before the route's */
} Account;

/* An access key, by its digest, and the account whose requests carry it. */
typedef struct
{
  guint8 digest[CONFIG_KEY_DIGEST];
  char *account;
} AccessKey;

typedef struct ConfigPart ConfigPart;
typedef struct Snapshot Snapshot;

/* Reads one part; NULL, with faults noted, when it is not valid. */
ConfigPart *config_part_parse (const char *key, GBytes *text, JsonFaults *faults);
ConfigPart *config_part_ref (ConfigPart *part);
void config_part_unref (ConfigPart *part);
const char *config_part_key (const ConfigPart *part);
const char *config_part_digest (const ConfigPart *part);
GBytes *config_part_text (const ConfigPart *part);
/* The text packed, for the way between nodes; packed at the first call, which must not
   come from two threads at once. */
GBytes *config_part_packed (ConfigPart *part);
/* Reads a part that comes packed; NULL, with faults noted, when it is not valid. */
ConfigPart *config_part_open (const char *key, GBytes *packed, JsonFaults *faults);
/* The part's service, or NULL for a shard. */
const Service *config_part_service (const ConfigPart *part);
/* The part's routes, accounts or access keys, or NULL. */
const GPtrArray *config_part_routes (const ConfigPart *part);
const GPtrArray *config_part_accounts (const ConfigPart *part);
const GPtrArray *config_part_keys (const ConfigPart *part);

/* The key of the shard that holds a route, an account or an access key. */
char *config_route_shard (const char *host, const char *prefix);
char *config_account_shard (const char *id);
char *config_key_shard (const guint8 *digest);

/* A head as text: generation, plans accepted lately, and parts by key. */
typedef struct
{
  guint64 generation;
  GPtrArray *plans;  /* of char *, newest last */
  GHashTable *parts; /* key → digest */
} ConfigHead;

ConfigHead *config_head_create (guint64 generation);
/* NULL, with faults noted, when it is not valid. */
ConfigHead *config_head_parse (const char *text, gssize len, JsonFaults *faults);
char *config_head_text (const ConfigHead *head);
void config_head_destroy (ConfigHead *head);
/* Adds an accepted plan's id and forgets the oldest over the bound. */
void config_head_add_plan (ConfigHead *head, const char *id);
gboolean config_head_has_plan (const ConfigHead *head, const char *id);

/*
 * A snapshot of `head` from `parts` (digest → ConfigPart), which hold every part that
 * the head names; NULL when one is missing.
 */
Snapshot *snapshot_create (const ConfigHead *head, GHashTable *parts);
/*
 * `base` with the targets of its dynamic services taken from `targets` (service name →
 * GPtrArray of Target, which are copied), and those in evacuated data halls marked so.
 * All else is shared.
 */
Snapshot *snapshot_with_targets (Snapshot *base,
                                 GHashTable *targets,
                                 const Evacuations *evacuations);
/* Generation 0: nothing configured. */
Snapshot *snapshot_create_empty (void);
Snapshot *snapshot_ref (Snapshot *snapshot);
void snapshot_unref (Snapshot *snapshot);
guint64 snapshot_generation (const Snapshot *snapshot);
const ConfigHead *snapshot_head (const Snapshot *snapshot);
const Service *snapshot_service (const Snapshot *snapshot, const char *name);
/* All services, by name; the array is the snapshot's. */
const GPtrArray *snapshot_services (const Snapshot *snapshot);
ConfigPart *snapshot_part (const Snapshot *snapshot, const char *key);
ConfigPart *snapshot_part_by_digest (const Snapshot *snapshot, const char *digest);
guint snapshot_route_count (const Snapshot *snapshot);
guint snapshot_account_count (const Snapshot *snapshot);
/* Whether any account was ever configured; in constant time. */
gboolean snapshot_has_accounts (const Snapshot *snapshot);

/* The route with the longest prefix of `path` under `host`, before any-host ones. */
const Route *snapshot_route (const Snapshot *snapshot,
                             const char *host,
                             const char *path,
                             const char *method);
/* The account with this id, or NULL. */
const Account *snapshot_account (const Snapshot *snapshot, const char *id);
/* How many access keys an account has; looks through all. */
guint snapshot_key_count (const Snapshot *snapshot, const char *id);
/* The account that a key's digest belongs to, or NULL. */
const Account *snapshot_key_account (const Snapshot *snapshot, const guint8 *digest);

void target_free (Target *target);

/* The target named so in a service, or NULL. */
const Target *service_target (const Service *service, const char *name);
/* Slots of the targets that are not leaving. */
guint service_slots (const Service *service);

#endif
