#include "leave-acks.h"

#include <core/http-status.h>
#include <core/target-starts.h>

#include "adapter.h"
#include "gossip.h"
#include "log.h"
#include "peer-reads.h"

/* The store answers in milliseconds. After this other nodes are asked to save the end. */
#define STORE_WAIT_US (100 * MS_US)
/* Targets take a call that is not answered within a second for lost. */
#define ANSWER_MAX_US (700 * MS_US)
/* Nodes that are asked: in this hall, and in other halls. */
#define NEAR_MAX 3u
#define FAR_MAX 3u

typedef struct
{
  LeaveAcks *acks;
  HttpRequest *request; /* NULL once it is answered */
  char *start;
  gint64 began_us;
  LoopTimer *timer;
  sw_depart_args args;
  gboolean saving;  /* the store has not answered */
  gboolean asked;   /* other nodes have been */
  guint unanswered; /* of them */
  guint holders;    /* of them: those that hold it, or have saved it */
} LeaveAck;

struct LeaveAcks
{
  Node *node;
  GHashTable *open; /* set of LeaveAck */
  char *safe;       /* the last start whose end is held; NULL for none */
};

static const RpcProcedure depart = { SW_DEPART, (xdrproc_t)xdr_sw_depart_args, wire_void,
                                     0 };

static void
ack_free (gpointer data)
{
  LeaveAck *ack = data;

  if (ack->request)
    http_request_unref (ack->request);
  loop_timer_destroy (ack->timer);
  g_free (ack->start);
  g_free (ack);
}

/* Frees an acknowledgement that is answered and has no calls in progress. */
static void
release (LeaveAck *ack)
{
  if (!ack->request && !ack->saving && ack->unanswered == 0)
    g_hash_table_remove (ack->acks->open, ack);
}

static void
note_safe (LeaveAcks *acks, const char *start)
{
  g_free (acks->safe);
  acks->safe = g_strdup (start);
}

/* `held_by` names who holds the end; NULL for nobody. */
static void
answer (LeaveAck *ack, const char *held_by)
{
  LeaveAcks *acks = ack->acks;
  g_autofree char *holders = g_strdup_printf ("%u", ack->holders);
  g_autofree char *took = g_strdup_printf ("%" G_GINT64_FORMAT,
                                           clock_now (acks->node->clock) - ack->began_us);

  if (held_by)
    note_safe (acks, ack->start);
  log_event (held_by ? G_LOG_LEVEL_INFO : G_LOG_LEVEL_WARNING,
             held_by ? "leave-acknowledged" : "leave-unacknowledged", "SUBJECT",
             ack->start, "HELD_BY", held_by, "HOLDERS", holders, "TOOK_US", took, NULL);
  http_request_answer_json (ack->request, held_by ? HTTP_OK : HTTP_UNAVAILABLE,
                            held_by ? "{}" : "{\"error\":\"not held\"}");
  g_clear_pointer (&ack->request, http_request_unref);
  loop_timer_stop (ack->timer);
}

static gboolean
has_store (const LeaveAck *ack)
{
  return ack->acks->node->adapter->save_departures != NULL;
}

/* Answers by what the other nodes have said. */
static void
answer_by_nodes (LeaveAck *ack)
{
  const char *holder = has_store (ack) ? "store-by-node" : "nodes";

  answer (ack, ack->holders > 0 ? holder : NULL);
}

/* Returns whether nothing more is to be learnt about who holds the end: it is saved if
   one node has saved it. */
static gboolean
is_settled (const LeaveAck *ack)
{
  return (has_store (ack) && ack->holders > 0) || (ack->unanswered == 0 && !ack->saving);
}

static void
on_told (RpcOutcome outcome, void *result, gpointer data)
{
  LeaveAck *ack = data;

  ack->unanswered--;
  ack->holders += outcome == RPC_OK;
  if (ack->request && is_settled (ack))
    answer_by_nodes (ack);
  release (ack);
}

static gint64
left_us (const LeaveAck *ack)
{
  return ack->began_us + ANSWER_MAX_US - clock_now (ack->acks->node->clock);
}

static void
tell_others (LeaveAck *ack)
{
  Node *node = ack->acks->node;
  g_autoptr (GPtrArray) picked = gossip_pick_members (node->gossip, NEAR_MAX, FAR_MAX);

  ack->asked = TRUE;
  loop_timer_start (ack->timer, left_us (ack));
  /* The count stays above zero until all have been called. */
  ack->unanswered = picked->len + 1;
  for (guint i = 0; i < picked->len; i++)
    {
      const Member *member = g_ptr_array_index (picked, i);

      peer_reads_call (node->reads, member->node, &depart, &ack->args, left_us (ack),
                       on_told, ack);
    }
  ack->unanswered--;
  if (ack->request && is_settled (ack))
    answer_by_nodes (ack);
}

static void
on_saved (gboolean saved, gpointer data)
{
  LeaveAck *ack = data;

  ack->saving = FALSE;
  if (saved)
    note_safe (ack->acks, ack->start);
  if (ack->request && saved)
    answer (ack, "store");
  else if (ack->request && !ack->asked)
    tell_others (ack);
  else if (ack->request && ack->unanswered == 0)
    answer_by_nodes (ack);
  release (ack);
}

static void
on_timer (gpointer data)
{
  LeaveAck *ack = data;

  if (!ack->asked)
    tell_others (ack);
  else
    answer_by_nodes (ack);
  release (ack);
}

/* Returns whether there is nobody who could hold an end for this node. */
static gboolean
is_alone (const Node *node)
{
  return !node->adapter->save_departures && members_count_alive (node->members) <= 1;
}

void
leave_acks_add (LeaveAcks *acks, HttpRequest *request, const char *start)
{
  Node *node = acks->node;
  LeaveAck *ack;

  if ((acks->safe && target_start_is_up_to (start, acks->safe)) || is_alone (node))
    {
      http_request_answer_json (request, HTTP_OK, "{}");
      return;
    }
  ack = g_new0 (LeaveAck, 1);
  ack->acks = acks;
  ack->request = http_request_ref (request);
  ack->start = g_strdup (start);
  ack->args.start = ack->start;
  ack->began_us = clock_now (node->clock);
  ack->timer = loop_timer_create (node->loop, on_timer, ack);
  g_hash_table_add (acks->open, ack);
  loop_timer_start (ack->timer, STORE_WAIT_US);
  ack->saving = TRUE;
  if (node->adapter->save_departures)
    node->adapter->save_departures (node->discovery, on_saved, ack);
  else
    on_saved (FALSE, ack);
}

LeaveAcks *
leave_acks_create (Node *node)
{
  LeaveAcks *acks = g_new0 (LeaveAcks, 1);

  acks->node = node;
  acks->open = g_hash_table_new_full (NULL, NULL, ack_free, NULL);
  return acks;
}

void
leave_acks_destroy (LeaveAcks *acks)
{
  if (!acks)
    return;
  g_hash_table_unref (acks->open);
  g_free (acks->safe);
  g_free (acks);
}
