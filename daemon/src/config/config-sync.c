#include "config-sync.h"

#include <string.h>

#include "gossip.h"
#include "ingress.h"
#include "log.h"
#include "peers.h"
#include "adapter.h"
#include "sidecar.h"

#define WATCH_PAUSE_US (1 * SECOND_US)
/* Every node reads the head now and then, should all gossip have passed it by. */
#define POLL_EVERY_US (60 * SECOND_US)
#define PEER_TIMEOUT_US (3 * SECOND_US)
/* How many peers a starting node hears before it trusts the highest that they have. */
#define PEERS_TO_ASK 5u
#define START_RETRY_US (500 * MS_US)
#define START_PATIENCE_US (10 * SECOND_US)
#define FETCHES_AT_ONCE 8u
#define FETCH_PAUSE_US (250 * MS_US)

struct ConfigSync
{
  Node *node;
  const ConfigSource *kind;
  gpointer source_data;
  Snapshot *base;       /* as it was configured */
  Snapshot *snapshot;   /* with the targets that registered themselves */
  Directory *directory; /* of these targets */
  char *head_text;
  gboolean ready;
  LoopTimer *poll;
  LoopTimer *watch;
  LoopTimer *start;
  LoopTimer *fetch;
  gboolean watching;
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
  gint64 created_us;
};

typedef struct
{
  ConfigSync *sync;
  char *key;
  char *digest;
} Fetch;

static const RpcProcedure head_procedure = { SW_HEAD, wire_void,
                                             (xdrproc_t)xdr_sw_head_res,
                                             sizeof (sw_head_res) };
static const RpcProcedure part_procedure = { SW_PART, (xdrproc_t)xdr_sw_part_args,
                                             (xdrproc_t)xdr_sw_part_res,
                                             sizeof (sw_part_res) };

static void fetch_more (ConfigSync *sync);

Snapshot *
config_sync_snapshot (const ConfigSync *sync)
{
  return sync->snapshot;
}

gboolean
config_sync_ready (const ConfigSync *sync)
{
  return sync->ready;
}

static void
drop_wanted (ConfigSync *sync)
{
  g_clear_pointer (&sync->wanted, config_head_destroy);
  g_clear_pointer (&sync->wanted_text, g_free);
  g_clear_pointer (&sync->source, g_free);
  sync->missing_before = 0;
}

/* Makes the snapshot in force from the configuration and the directory. */
static void
compose (ConfigSync *sync)
{
  Node *node = sync->node;
  Snapshot *snapshot =
      snapshot_with_targets (sync->base, directory_targets (sync->directory));

  snapshot_unref (sync->snapshot);
  sync->snapshot = snapshot;
  balancer_prune (node->balancer, snapshot);
  sidecar_apply (node->sidecar, snapshot);
}

void
config_sync_set_registration (ConfigSync *sync,
                              const char *vm,
                              const char *hall,
                              const Registration *registration)
{
  if (directory_set (sync->directory, vm, hall, registration))
    compose (sync);
}

static void
apply (ConfigSync *sync)
{
  Node *node = sync->node;
  Snapshot *base = snapshot_create (sync->wanted, sync->parts);
  g_autofree char *generation = NULL;

  if (!base)
    return;
  snapshot_unref (sync->base);
  sync->base = base;
  g_free (sync->head_text);
  sync->head_text = g_steal_pointer (&sync->wanted_text);
  g_hash_table_remove_all (sync->parts);
  drop_wanted (sync);
  sync->ready = TRUE;
  compose (sync);
  metrics_add (node->metrics, METRIC_CONFIG_APPLIED, 1);
  metrics_set (node->metrics, METRIC_CONFIG_GENERATION, snapshot_generation (base));
  generation = g_strdup_printf ("%" G_GUINT64_FORMAT, snapshot_generation (base));
  events_add (node->events, "config-applied", generation, NULL);
  gossip_push (node->gossip);
}

static void
take_part (ConfigSync *sync, const Fetch *fetch, GBytes *text)
{
  JsonFaults *faults = json_faults_create ();
  ConfigPart *part = config_part_parse (fetch->key, text, faults);

  if (part && strcmp (config_part_digest (part), fetch->digest) == 0)
    g_hash_table_insert (sync->parts, g_strdup (fetch->digest), config_part_ref (part));
  else
    log_event (G_LOG_LEVEL_WARNING, "config-part-bad", "SUBJECT", fetch->key, "DETAIL",
               json_faults_count (faults) ? json_faults_get (faults, 0)
                                          : "digest differs",
               NULL);
  config_part_unref (part);
  json_faults_destroy (faults);
}

static void
fetch_done (Fetch *fetch)
{
  ConfigSync *sync = fetch->sync;

  sync->fetching--;
  g_free (fetch->key);
  g_free (fetch->digest);
  g_free (fetch);
  fetch_more (sync);
}

static void
on_source_part (GBytes *text, gpointer data)
{
  Fetch *fetch = data;

  if (text)
    take_part (fetch->sync, fetch, text);
  fetch_done (fetch);
}

static void
fetch_from_platform (Fetch *fetch)
{
  ConfigSync *sync = fetch->sync;

  sync->kind->part (sync->source_data, fetch->digest, on_source_part, fetch);
}

static void
on_peer_part (RpcOutcome outcome, void *result, gpointer data)
{
  Fetch *fetch = data;
  sw_part_res *res = result;

  if (outcome == RPC_OK && res->found)
    {
      g_autoptr (GBytes) text = g_bytes_new (res->part.part_val, res->part.part_len);

      take_part (fetch->sync, fetch, text);
      fetch_done (fetch);
      return;
    }
  if (outcome != RPC_OK)
    g_clear_pointer (&fetch->sync->source, g_free);
  fetch_from_platform (fetch);
}

static void
on_part_session (const PeerStamp *stamp, gpointer data)
{
  Fetch *fetch = data;
  ConfigSync *sync = fetch->sync;
  sw_part_args args = { .digest = fetch->digest };

  if (stamp && sync->source)
    peers_call (sync->node->peers, sync->source, &part_procedure, &args, PEER_TIMEOUT_US,
                on_peer_part, fetch);
  else
    on_peer_part (RPC_UNSENT, NULL, fetch);
}

static void
start_fetch (ConfigSync *sync, const char *key, const char *digest)
{
  Fetch *fetch = g_new0 (Fetch, 1);
  g_autofree char *source = g_strdup (sync->source);

  fetch->sync = sync;
  fetch->key = g_strdup (key);
  fetch->digest = g_strdup (digest);
  sync->fetching++;
  if (source)
    peers_open (sync->node->peers, source, PEER_TIMEOUT_US, on_part_session, fetch);
  else
    fetch_from_platform (fetch);
}

/* The parts of the wanted head that are still missing: key → digest, borrowed. */
static GHashTable *
missing_parts (ConfigSync *sync)
{
  GHashTable *missing = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer key;
  gpointer digest;

  g_hash_table_iter_init (&iter, sync->wanted->parts);
  while (g_hash_table_iter_next (&iter, &key, &digest))
    {
      ConfigPart *held = snapshot_part_by_digest (sync->snapshot, digest);

      if (held && strcmp (config_part_key (held), key) == 0)
        g_hash_table_insert (sync->parts, g_strdup (digest), config_part_ref (held));
      else if (!g_hash_table_contains (sync->parts, digest))
        g_hash_table_insert (missing, key, digest);
    }
  return missing;
}

/* Any other node that is alive, by name; NULL when there is none. */
static char *
random_peer (ConfigSync *sync)
{
  Node *node = sync->node;
  GPtrArray *all = members_all (node->members);
  guint first = (guint)g_rand_int_range (node->rand, 0, (gint32)all->len);

  for (guint i = 0; i < all->len; i++)
    {
      const Member *member = g_ptr_array_index (all, (first + i) % all->len);

      if (member != members_self (node->members) && member->status == MEMBER_ALIVE)
        return g_strdup (member->node);
    }
  return NULL;
}

/*
 * Where to fetch parts of a head that the platform gave. A node that starts has to fetch
 * all of them, and a whole hall may start at once: most of that is left to other nodes.
 */
static char *
choose_source (ConfigSync *sync)
{
  return snapshot_generation (sync->snapshot) > 0 ? NULL : random_peer (sync);
}

static void
fetch_more (ConfigSync *sync)
{
  g_autoptr (GHashTable) missing = NULL;
  gboolean progress;

  /* One batch at a time: which parts are on their way then needs no bookkeeping. */
  if (!sync->wanted || sync->fetching > 0)
    return;
  missing = missing_parts (sync);
  if (g_hash_table_size (missing) == 0)
    {
      apply (sync);
      return;
    }
  progress = g_hash_table_size (missing) != sync->missing_before;
  /* Neither the source nor the platform had any: another node may. */
  if (!progress)
    {
      g_free (sync->source);
      sync->source = random_peer (sync);
    }
  sync->missing_before = g_hash_table_size (missing);
  loop_timer_start (sync->fetch, progress ? 0 : FETCH_PAUSE_US);
}

static void
fetch_batch (gpointer data)
{
  ConfigSync *sync = data;
  g_autoptr (GHashTable) missing = NULL;
  g_autoptr (GPtrArray) keys = NULL;
  GHashTableIter iter;
  gpointer key;

  if (!sync->wanted || sync->fetching > 0)
    return;
  missing = missing_parts (sync);
  if (g_hash_table_size (missing) == 0)
    {
      /* The last of them came from elsewhere since this batch was planned. */
      apply (sync);
      return;
    }
  keys = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, missing);
  while (g_hash_table_iter_next (&iter, &key, NULL) && keys->len < FETCHES_AT_ONCE)
    g_ptr_array_add (keys, key);
  for (guint i = 0; i < keys->len; i++)
    {
      const char *name = g_ptr_array_index (keys, i);

      start_fetch (sync, name, g_hash_table_lookup (missing, name));
    }
}

/* Takes a head's text in; fetches its parts when it is newer than all known. */
static void
want_head (ConfigSync *sync, const char *text, gsize len, const char *source)
{
  JsonFaults *faults = json_faults_create ();
  ConfigHead *head = config_head_parse (text, (gssize)len, faults);

  if (!head)
    log_event (G_LOG_LEVEL_WARNING, "config-head-bad", "DETAIL",
               json_faults_get (faults, 0), NULL);
  json_faults_destroy (faults);
  if (!head)
    return;
  if (head->generation <= snapshot_generation (sync->snapshot) ||
      (sync->wanted && head->generation <= sync->wanted->generation))
    {
      config_head_destroy (head);
      return;
    }
  drop_wanted (sync);
  sync->wanted = head;
  sync->wanted_text = g_strndup (text, len);
  sync->source = source ? g_strdup (source) : choose_source (sync);
  fetch_more (sync);
}

/* Another node's head has come, or has not. */
typedef struct
{
  ConfigSync *sync;
  char *vm;
  guint round; /* of the start's questions; 0 for none */
} HeadCall;

/*
 * Without the platform a node may serve once all whom it asked in one round have
 * answered, or, when some stay silent for long, once any has. How far behind it can then
 * be: a change that was accepted and had not reached any of those who answered.
 */
static void
check_start (ConfigSync *sync)
{
  gint64 age = clock_now (sync->node->clock) - sync->created_us;

  if (sync->ready || sync->wanted || sync->answered == 0)
    return;
  if (snapshot_generation (sync->base) == 0 && !sync->kind->serves_empty)
    return;
  if (sync->answered < sync->asked && age < START_PATIENCE_US)
    return;
  sync->ready = TRUE;
  events_add (sync->node->events, "config-ready", "peers", "the highest among peers");
}

static void
on_peer_head (RpcOutcome outcome, void *result, gpointer data)
{
  HeadCall *call = data;
  ConfigSync *sync = call->sync;
  sw_head_res *res = result;

  if (outcome == RPC_OK)
    {
      if (res->head.head_len)
        want_head (sync, res->head.head_val, res->head.head_len, call->vm);
      if (call->round == sync->round)
        sync->answered++;
      check_start (sync);
    }
  g_free (call->vm);
  g_free (call);
}

static void
on_peer_open (const PeerStamp *stamp, gpointer data)
{
  HeadCall *call = data;

  if (stamp)
    {
      peers_call (call->sync->node->peers, call->vm, &head_procedure, NULL,
                  PEER_TIMEOUT_US, on_peer_head, call);
      return;
    }
  g_free (call->vm);
  g_free (call);
}

static void
ask_peer (ConfigSync *sync, const char *vm, guint round)
{
  HeadCall *call = g_new0 (HeadCall, 1);

  call->sync = sync;
  call->vm = g_strdup (vm);
  call->round = round;
  peers_open (sync->node->peers, vm, PEER_TIMEOUT_US, on_peer_open, call);
}

void
config_sync_note_generation (ConfigSync *sync, const char *vm, guint64 generation)
{
  if (generation <= snapshot_generation (sync->snapshot) ||
      (sync->wanted && generation <= sync->wanted->generation))
    return;
  ask_peer (sync, vm, 0);
}

static void
take_reading (ConfigSync *sync, const ConfigReading *reading)
{
  for (guint i = 0; reading->parts && i < reading->parts->len; i++)
    {
      ConfigPart *part = g_ptr_array_index (reading->parts, i);

      g_hash_table_insert (sync->parts, g_strdup (config_part_digest (part)),
                           config_part_ref (part));
    }
  if (reading->outcome == CONFIG_READ_HEAD)
    want_head (sync, reading->head, reading->head_len, NULL);
  if (!sync->wanted)
    g_hash_table_remove_all (sync->parts);
  if ((reading->outcome == CONFIG_READ_NONE && sync->kind->serves_empty) ||
      (reading->outcome == CONFIG_READ_HEAD && !sync->wanted))
    sync->ready = TRUE;
}

static void
on_polled (const ConfigReading *reading, gpointer data)
{
  ConfigSync *sync = data;

  sync->polling = FALSE;
  take_reading (sync, reading);
}

void
config_sync_poll (ConfigSync *sync)
{
  if (sync->polling)
    return;
  sync->polling = TRUE;
  sync->kind->read (sync->source_data, on_polled, sync);
}

static void
on_poll_timer (gpointer data)
{
  ConfigSync *sync = data;
  double jitter = g_rand_double_range (sync->node->rand, 0.5, 1.5);

  loop_timer_start (sync->poll, (gint64)(POLL_EVERY_US * jitter));
  config_sync_poll (sync);
}

/* Rendezvous hashing over the live view: the same few of each hall come out first. */
gboolean
config_sync_is_watcher (const ConfigSync *sync)
{
  Node *node = sync->node;
  const Member *self = members_self (node->members);
  GPtrArray *all = members_all (node->members);
  guint own = g_str_hash (self->node);
  guint before = 0;

  for (guint i = 0; i < all->len; i++)
    {
      const Member *member = g_ptr_array_index (all, i);

      if (member == self || !members_is_alive (member) ||
          strcmp (member->hall, self->hall) != 0)
        continue;
      if (g_str_hash (member->node) < own)
        before++;
    }
  return before < sync->kind->watchers_per_hall;
}

static void
on_watched (const ConfigReading *reading, gpointer data)
{
  ConfigSync *sync = data;
  /* A missing object is answered at once; it too must not be asked for in a circle. */
  gboolean failed =
      reading->outcome == CONFIG_READ_FAILED || reading->outcome == CONFIG_READ_NONE;

  sync->watching = FALSE;
  take_reading (sync, reading);
  loop_timer_start (sync->watch, failed ? WATCH_PAUSE_US : 0);
}

static void
on_watch_timer (gpointer data)
{
  ConfigSync *sync = data;

  if (!config_sync_is_watcher (sync))
    {
      loop_timer_start (sync->watch, WATCH_PAUSE_US);
      return;
    }
  if (sync->watching)
    return;
  sync->watching = TRUE;
  sync->kind->watch (sync->source_data, on_watched, sync);
}

/* Until this node may serve: the platform is asked, and a few of the others. */
static void
on_start_timer (gpointer data)
{
  ConfigSync *sync = data;
  Node *node = sync->node;
  g_autoptr (GPtrArray) all = NULL;

  if (sync->ready)
    return;
  loop_timer_start (sync->start, START_RETRY_US);
  config_sync_poll (sync);
  if (sync->wanted)
    return;
  all = g_ptr_array_copy (members_all (node->members), NULL, NULL);
  sync->round++;
  sync->asked = 0;
  sync->answered = 0;
  for (guint i = 0; i < all->len && sync->asked < PEERS_TO_ASK; i++)
    {
      const Member *member = g_ptr_array_index (all, i);

      if (member == members_self (node->members) || !members_is_alive (member))
        continue;
      sync->asked++;
      ask_peer (sync, member->node, sync->round);
    }
}

ConfigSync *
config_sync_create (Node *node)
{
  ConfigSync *sync = g_new0 (ConfigSync, 1);

  sync->node = node;
  sync->kind = node->adapter->config;
  sync->source_data = sync->kind->create (node);
  sync->base = snapshot_create_empty ();
  sync->snapshot = snapshot_create_empty ();
  sync->directory = directory_create ();
  sync->created_us = clock_now (node->clock);
  sync->parts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                       (GDestroyNotify)config_part_unref);
  sync->poll = loop_timer_create (node->loop, on_poll_timer, sync);
  sync->watch = loop_timer_create (node->loop, on_watch_timer, sync);
  sync->start = loop_timer_create (node->loop, on_start_timer, sync);
  sync->fetch = loop_timer_create (node->loop, fetch_batch, sync);
  loop_timer_start (sync->start, 0);
  loop_timer_start (sync->watch, WATCH_PAUSE_US);
  loop_timer_start (sync->poll, POLL_EVERY_US);
  return sync;
}

void
config_sync_destroy (ConfigSync *sync)
{
  if (!sync)
    return;
  loop_timer_destroy (sync->poll);
  loop_timer_destroy (sync->watch);
  loop_timer_destroy (sync->start);
  loop_timer_destroy (sync->fetch);
  drop_wanted (sync);
  g_hash_table_unref (sync->parts);
  snapshot_unref (sync->snapshot);
  snapshot_unref (sync->base);
  directory_destroy (sync->directory);
  sync->kind->destroy (sync->source_data);
  g_free (sync->head_text);
  g_free (sync);
}

void
config_sync_answer_head (ConfigSync *sync, sw_head_res *res)
{
  res->generation = snapshot_generation (sync->snapshot);
  res->head.head_val = sync->head_text ? sync->head_text : "";
  res->head.head_len = (u_int)strlen (res->head.head_val);
}

void
config_sync_answer_part (ConfigSync *sync, const sw_part_args *args, sw_part_res *res)
{
  ConfigPart *part = snapshot_part_by_digest (sync->snapshot, args->digest);
  gsize len = 0;

  if (!part)
    return;
  res->found = TRUE;
  res->part.part_val = (char *)g_bytes_get_data (config_part_text (part), &len);
  res->part.part_len = (u_int)len;
}
