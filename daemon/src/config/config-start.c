#include "config-sync-private.h"

#include "log.h"
#include "peer-reads.h"
#include "peers.h"

/* Number of peers whose answers a starting node awaits before it trusts the highest
   generation among them. */
#define PEERS_TO_ASK 5u
#define START_RETRY_US (500 * MS_US)
/* After this time the answer of one peer is enough. */
#define START_WAIT_MAX_US (10 * SECOND_US)
/* A head that a node has not delivered by then is requested from another one. */
#define HEAD_TIMEOUT_MAX_US (3 * SECOND_US)
/* Maximum number of head requests in flight for announced generations. Many nodes
   announce a change at once, and several of them are asked, each once at a time, because
   one may be gone. */
#define ANNOUNCED_REQUESTS_MAX 4u
/* Nodes remembered that have announced the highest generation. */
#define HOLDERS_MAX 8u
/* Delay before a generation that was announced from another hall is requested there.
   Within it a node of the own hall announces it too, because each hall has nodes that
   watch the store. Traffic between halls is expensive. */
#define FAR_HEAD_DELAY_US (200 * MS_US)

/* A head request to another node. */
typedef struct
{
  ConfigSync *sync;
  char *vm;
  guint round;        /* of the requests at startup; 0 for an announced generation */
  guint64 generation; /* that was announced; 0 at startup */
  gint64 began_us;
} HeadCall;

static const RpcProcedure head_procedure = { SW_HEAD, wire_void,
                                             (xdrproc_t)xdr_sw_head_res,
                                             sizeof (sw_head_res) };

static void request_announced_head (ConfigSync *sync, const char *vm, guint64 generation);

/*
 * Without the platform a node may serve once all peers asked in one round have answered
 * or, START_WAIT_MAX_US after its start, once any of them has. Its configuration then
 * lacks at most changes that had reached none of the peers that answered.
 */
static void
check_start (ConfigSync *sync)
{
  gint64 age = clock_now (sync->node->clock) - sync->created_us;

  if (sync->ready || sync->wanted || sync->answered == 0)
    return;
  if (snapshot_generation (sync->base) == 0 && !sync->kind->serves_empty)
    return;
  if (sync->answered < sync->asked && age < START_WAIT_MAX_US)
    return;
  sync->ready = TRUE;
  events_add (sync->node->events, "config-ready", "peers",
              "serving the highest generation found among peers");
}

static void
log_head (const HeadCall *call, RpcOutcome outcome)
{
  config_sync_note_read (call->sync, &(ConfigPeerRead){ .event = "config-head-late",
                                                        .subject = "head",
                                                        .vm = call->vm,
                                                        .outcome = outcome,
                                                        .began_us = call->began_us });
}

static gboolean
is_newer_generation (const ConfigSync *sync, guint64 generation)
{
  return generation > snapshot_generation (sync->snapshot) &&
         !(sync->wanted && generation <= sync->wanted->generation) &&
         !(sync->next && generation <= sync->next->generation);
}

/* Ends the request of an announced head. If the node has announced a higher generation
   meanwhile, its answer may be from before that, and it is asked again. */
static void
end_announced_request (ConfigSync *sync, const HeadCall *call)
{
  guint64 announced = *(guint64 *)g_hash_table_lookup (sync->announcers, call->vm);

  g_hash_table_remove (sync->announcers, call->vm);
  if (announced > call->generation && is_newer_generation (sync, announced))
    request_announced_head (sync, call->vm, announced);
}

static void
head_call_free (HeadCall *call)
{
  if (call->round == 0)
    end_announced_request (call->sync, call);
  g_free (call->vm);
  g_free (call);
}

static void
on_peer_head (RpcOutcome outcome, void *result, gpointer data)
{
  HeadCall *call = data;
  ConfigSync *sync = call->sync;
  sw_head_res *res = result;

  log_head (call, outcome);
  if (outcome == RPC_OK)
    {
      if (res->head.head_len)
        config_fetch_start_if_newer (sync, res->head.head_val, res->head.head_len,
                                     call->vm);
      if (call->round == sync->round)
        sync->answered++;
      check_start (sync);
    }
  head_call_free (call);
}

static void
request_head (ConfigSync *sync, const char *vm, guint round, guint64 generation)
{
  HeadCall *call = g_new0 (HeadCall, 1);

  call->sync = sync;
  call->vm = g_strdup (vm);
  call->round = round;
  call->generation = generation;
  call->began_us = clock_now (sync->node->clock);
  peer_reads_call (sync->node->reads, vm, &head_procedure, NULL,
                   config_sync_patience_us (sync, HEAD_TIMEOUT_MAX_US), on_peer_head,
                   call);
}

static void
request_announced_head (ConfigSync *sync, const char *vm, guint64 generation)
{
  guint64 *announced = g_hash_table_lookup (sync->announcers, vm);

  if (announced)
    {
      *announced = MAX (*announced, generation);
      return;
    }
  if (g_hash_table_size (sync->announcers) >= ANNOUNCED_REQUESTS_MAX)
    return;
  announced = g_new (guint64, 1);
  *announced = generation;
  g_hash_table_insert (sync->announcers, g_strdup (vm), announced);
  request_head (sync, vm, 0, generation);
}

void
config_request_far_head (gpointer data)
{
  ConfigSync *sync = data;
  g_autofree char *vm = g_steal_pointer (&sync->far_source);

  if (vm && is_newer_generation (sync, sync->far_generation))
    request_announced_head (sync, vm, sync->far_generation);
}

static void
note_holder (ConfigSync *sync, const char *vm, guint64 generation)
{
  guint at;

  if (generation < sync->holders_generation)
    return;
  if (generation > sync->holders_generation)
    g_ptr_array_set_size (sync->holders, 0);
  sync->holders_generation = generation;
  if (g_ptr_array_find_with_equal_func (sync->holders, vm, g_str_equal, &at))
    g_ptr_array_remove_index (sync->holders, at);
  g_ptr_array_add (sync->holders, g_strdup (vm));
  if (sync->holders->len > HOLDERS_MAX)
    g_ptr_array_remove_index (sync->holders, 0);
}

void
config_sync_note_generation (ConfigSync *sync, const char *vm, guint64 generation)
{
  sync->heard_us = clock_now (sync->node->clock);
  note_holder (sync, vm, generation);
  if (!is_newer_generation (sync, generation))
    return;
  if (peers_in_own_hall (sync->node, vm))
    {
      request_announced_head (sync, vm, generation);
      return;
    }
  if (sync->far_source && generation <= sync->far_generation)
    return;
  /* The first announcement starts the timer; the highest generation is requested. */
  if (!sync->far_source)
    loop_timer_start (sync->far, FAR_HEAD_DELAY_US);
  g_free (sync->far_source);
  sync->far_source = g_strdup (vm);
  sync->far_generation = generation;
}

void
config_start_round (gpointer data)
{
  ConfigSync *sync = data;
  Node *node = sync->node;
  g_autoptr (GPtrArray) all = NULL;

  if (sync->ready)
    return;
  loop_timer_start (sync->start, START_RETRY_US);
  if (!sync->watching)
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
      request_head (sync, member->node, sync->round, 0);
    }
}
