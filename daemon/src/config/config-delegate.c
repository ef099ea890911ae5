#include "config-sync-private.h"

#include "log.h"
#include "peer-reads.h"
#include "peers.h"

/* Nodes that are asked in one round while none watches. */
#define ASKED_PER_ROUND 4u
/* Rounds within the bound of a change. The pause between rounds without success is
   doubled up to DOUBLINGS_MAX times, because the store may be down for all nodes. */
#define ROUNDS_PER_BOUND 8
#define DOUBLINGS_MAX 3u
#define PAUSE_MIN_US (50 * MS_US)
/* A duty ends when it has not been renewed for this many times that bound. */
#define DUTY_BOUNDS 2
/* Time for the call beside an overdue watch to be answered, before others are asked. */
#define FIRST_ROUND_DELAY_US (50 * MS_US)

/* A watcher whose question awaits this node's read of the store. */
typedef struct
{
  RpcConn *conn;
  guint32 xid;
} Caller;

struct ConfigDelegate
{
  ConfigSync *sync;
  /* While this node is a watcher that the store does not answer. */
  gboolean active;
  LoopTimer *round;
  char *vm;     /* the node that watches in its place, NULL for none */
  guint rounds; /* without success, in a row */
  /* While another watcher's duty is delegated to this node. */
  gint64 duty_until_us;
  gboolean reaches_store; /* by the last answer, or the lack of it */
  gint64 answered_us;     /* when the store has last answered */
  gint64 failed_us;       /* when the last read has failed */
  GArray *callers;        /* of Caller */
};

/* A question to another node. */
typedef struct
{
  ConfigDelegate *delegate;
  char *vm;
} Question;

static const RpcProcedure delegate_procedure = { SW_DELEGATE, wire_void,
                                                 (xdrproc_t)xdr_sw_delegate_res,
                                                 sizeof (sw_delegate_res) };

static void
clear_caller (gpointer data)
{
  rpc_conn_unref (((Caller *)data)->conn);
}

static gint64
bound_us (const ConfigDelegate *delegate)
{
  return delegate->sync->node->settings->apply_us;
}

static gint64
now_us (const ConfigDelegate *delegate)
{
  return clock_now (delegate->sync->node->clock);
}

static gint64
pause_us (const ConfigDelegate *delegate)
{
  gint64 pause = bound_us (delegate) / ROUNDS_PER_BOUND;

  return MAX (pause << MIN (delegate->rounds, DOUBLINGS_MAX), PAUSE_MIN_US);
}

static void
log_delegation (const ConfigDelegate *delegate, const char *event)
{
  log_event (G_LOG_LEVEL_INFO, event, "SUBJECT", delegate->vm, NULL);
}

static void
note_watching (ConfigDelegate *delegate, const char *vm)
{
  delegate->vm = g_strdup (vm);
  delegate->rounds = 1;
  metrics_add (delegate->sync->node->metrics, METRIC_WATCHES_DELEGATED, 1);
  log_delegation (delegate, "watch-delegated");
  loop_timer_start (delegate->round, pause_us (delegate));
}

static void
note_not_watching (ConfigDelegate *delegate)
{
  log_delegation (delegate, "watch-delegate-lost");
  g_clear_pointer (&delegate->vm, g_free);
  delegate->rounds = 0;
  loop_timer_start (delegate->round, 0);
}

static void
on_answer (RpcOutcome outcome, void *result, gpointer data)
{
  Question *question = data;
  ConfigDelegate *delegate = question->delegate;
  const sw_delegate_res *res = result;
  gboolean watching = outcome == RPC_OK && res->watching;

  if (delegate->active && watching && !delegate->vm)
    note_watching (delegate, question->vm);
  else if (delegate->active && !watching && g_strcmp0 (question->vm, delegate->vm) == 0)
    note_not_watching (delegate);
  g_free (question->vm);
  g_free (question);
}

static void
ask (ConfigDelegate *delegate, const char *vm)
{
  Question *question = g_new0 (Question, 1);

  question->delegate = delegate;
  question->vm = g_strdup (vm);
  peer_reads_call (delegate->sync->node->reads, vm, &delegate_procedure, NULL,
                   MAX (bound_us (delegate) / 2, PAUSE_MIN_US), on_answer, question);
}

/* Asks random live nodes of any hall: those nearby may have lost the store together. */
static void
ask_others (ConfigDelegate *delegate)
{
  const Node *node = delegate->sync->node;
  g_autoptr (GPtrArray) all = g_ptr_array_copy (members_all (node->members), NULL, NULL);
  guint asked = 0;

  while (all->len > 0 && asked < ASKED_PER_ROUND)
    {
      guint i = (guint)g_rand_int_range (node->rand, 0, (gint32)all->len);
      const Member *member = g_ptr_array_steal_index_fast (all, i);

      if (member == members_self (node->members) || !members_is_alive (member))
        continue;
      asked++;
      ask (delegate, member->node);
    }
}

static void
end (ConfigDelegate *delegate)
{
  if (delegate->vm)
    log_delegation (delegate, "watch-resumed");
  delegate->active = FALSE;
  g_clear_pointer (&delegate->vm, g_free);
  loop_timer_stop (delegate->round);
}

static void
on_round (gpointer data)
{
  ConfigDelegate *delegate = data;

  if (!config_watch_is_chosen (delegate->sync))
    {
      end (delegate);
      return;
    }
  loop_timer_start (delegate->round, pause_us (delegate));
  if (delegate->vm)
    {
      ask (delegate, delegate->vm);
      return;
    }
  delegate->rounds++;
  ask_others (delegate);
}

ConfigDelegate *
config_delegate_create (ConfigSync *sync)
{
  ConfigDelegate *delegate = g_new0 (ConfigDelegate, 1);

  delegate->sync = sync;
  delegate->round = loop_timer_create (sync->node->loop, on_round, delegate);
  delegate->callers = g_array_new (FALSE, FALSE, sizeof (Caller));
  g_array_set_clear_func (delegate->callers, clear_caller);
  return delegate;
}

void
config_delegate_destroy (ConfigDelegate *delegate)
{
  loop_timer_destroy (delegate->round);
  g_array_unref (delegate->callers);
  g_free (delegate->vm);
  g_free (delegate);
}

void
config_delegate_begin (ConfigDelegate *delegate)
{
  delegate->reaches_store = FALSE;
  if (delegate->active || !config_watch_is_chosen (delegate->sync))
    return;
  delegate->active = TRUE;
  delegate->rounds = 0;
  loop_timer_start (delegate->round, FIRST_ROUND_DELAY_US);
}

static gboolean
is_on_duty (const ConfigDelegate *delegate)
{
  return now_us (delegate) < delegate->duty_until_us;
}

gboolean
config_delegate_is_on_duty (const ConfigDelegate *delegate)
{
  return is_on_duty (delegate);
}

static void
reply (const ConfigDelegate *delegate, const Caller *caller, gboolean watching)
{
  Node *node = delegate->sync->node;
  sw_delegate_res res = { watching };
  gsize bytes =
      rpc_conn_reply (caller->conn, caller->xid, (xdrproc_t)xdr_sw_delegate_res, &res);

  traffic_add (node->traffic, TRAFFIC_CONFIG,
               peers_in_own_hall (node, rpc_conn_peer (caller->conn)), bytes);
}

static void
take_duty (ConfigDelegate *delegate)
{
  gboolean began = !is_on_duty (delegate);

  delegate->duty_until_us = now_us (delegate) + DUTY_BOUNDS * bound_us (delegate);
  if (began)
    loop_timer_start (delegate->sync->watch, 0);
}

void
config_delegate_note_answer (ConfigDelegate *delegate, gboolean answered)
{
  g_autoptr (GArray) callers = g_steal_pointer (&delegate->callers);

  delegate->callers = g_array_new (FALSE, FALSE, sizeof (Caller));
  g_array_set_clear_func (delegate->callers, clear_caller);
  delegate->reaches_store = answered;
  if (answered && delegate->active)
    end (delegate);
  if (answered)
    delegate->answered_us = now_us (delegate);
  else
    delegate->failed_us = now_us (delegate);
  if (answered && callers->len > 0)
    take_duty (delegate);
  for (guint i = 0; i < callers->len; i++)
    reply (delegate, &g_array_index (callers, Caller, i), answered);
}

/* Returns whether a read has failed so lately that another one is not worth a call. */
static gboolean
has_just_failed (const ConfigDelegate *delegate)
{
  return delegate->failed_us > 0 &&
         now_us (delegate) - delegate->failed_us < bound_us (delegate) / ROUNDS_PER_BOUND;
}

/* Returns whether this node watches a store that answers it. A watcher that has not been
   answered for a while may have lost the store as well, and not know it yet. */
static gboolean
is_watching (const ConfigDelegate *delegate)
{
  gint64 age_us = now_us (delegate) - delegate->answered_us;

  return delegate->reaches_store && delegate->sync->is_watcher &&
         (is_on_duty (delegate) || age_us < bound_us (delegate) / ROUNDS_PER_BOUND);
}

void
config_sync_answer_delegate (ConfigSync *sync, RpcConn *conn, guint32 xid)
{
  ConfigDelegate *delegate = sync->delegate;
  Caller caller = { conn, xid };

  if (is_watching (delegate))
    {
      take_duty (delegate);
      reply (delegate, &caller, TRUE);
      return;
    }
  if (has_just_failed (delegate))
    {
      reply (delegate, &caller, FALSE);
      return;
    }
  rpc_conn_ref (conn);
  g_array_append_val (delegate->callers, caller);
  config_sync_poll (sync);
}
