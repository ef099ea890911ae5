#include "peer-reads.h"

#include <string.h>

#include "log.h"
#include "peers.h"
#include "rumour.h"

/* Time without a byte after which a connection with reads in flight is replaced. An
   answer takes 4 ms between halls and 20 ms on a slow node; a lost packet is sent again
   after 200 ms. Doubled for a node that answers on no connection. */
#define QUIET_FIRST_US (250 * MS_US)
#define QUIET_MAX_US (1 * SECOND_US)
/* A connection without reads is closed after this time. */
#define IDLE_US (1 * SECOND_US)
/* Most connections on which one read is tried. */
#define TRIES_MAX 5u

/* The connection to one node. */
typedef struct
{
  PeerReads *reads;
  char *vm;
  char *address;
  RpcPeer *rpc;
  guint welcomed; /* number of the connection that the node has accepted; 0 for none */
  guint in_flight;
  guint64 received; /* bytes, when the timer was started */
  gint64 quiet_us;  /* allowed now */
  guint dropped;    /* connections that were replaced */
  LoopTimer *timer;
} Link;

typedef struct
{
  PeerReads *reads;
  Link *link; /* of the present try */
  char *vm;
  const RpcProcedure *procedure;
  void *args;
  gint64 deadline_us;
  guint tries;
  guint dropped; /* the link's, when the present try began */
  RpcDoneFunc done;
  gpointer data;
} Read;

struct PeerReads
{
  Node *node;
  GHashTable *links; /* vm → Link */
  gboolean closing;
};

static const RpcProcedure hello = { SW_HELLO, (xdrproc_t)xdr_sw_hello_args,
                                    (xdrproc_t)xdr_sw_hello_res, sizeof (sw_hello_res) };

static void begin_try (Read *read);

static void
link_free (gpointer data)
{
  Link *link = data;

  rpc_peer_destroy (link->rpc);
  loop_timer_destroy (link->timer);
  g_free (link->vm);
  g_free (link->address);
  g_free (link);
}

static guint64
received_bytes (const Link *link)
{
  guint64 sent;
  guint64 received;

  rpc_peer_bytes (link->rpc, &sent, &received);
  return received;
}

static void
replace_connection (Link *link)
{
  g_autofree char *quiet = g_strdup_printf ("%" G_GINT64_FORMAT, link->quiet_us);

  log_event (G_LOG_LEVEL_INFO, "read-connection-silent", "SUBJECT", link->vm, "QUIET_US",
             quiet, NULL);
  link->dropped++;
  link->quiet_us = MIN (2 * link->quiet_us, QUIET_MAX_US);
  loop_timer_start (link->timer, link->quiet_us);
  rpc_peer_disconnect (link->rpc);
}

static void
on_link_timer (gpointer data)
{
  Link *link = data;
  guint64 received = received_bytes (link);

  if (link->in_flight == 0)
    {
      g_hash_table_remove (link->reads->links, link->vm);
      return;
    }
  if (received == link->received)
    {
      replace_connection (link);
      return;
    }
  link->received = received;
  loop_timer_start (link->timer, link->quiet_us);
}

static Link *
link_create (PeerReads *reads, const char *vm, const char *address)
{
  Link *link = g_new0 (Link, 1);

  link->reads = reads;
  link->vm = g_strdup (vm);
  link->address = g_strdup (address);
  link->rpc = rpc_peer_create (reads->node->loop, address);
  link->quiet_us = QUIET_FIRST_US;
  link->timer = loop_timer_create (reads->node->loop, on_link_timer, link);
  return link;
}

/* Returns the link to the node's present address; NULL if the address is unknown. */
static Link *
ensure_link (PeerReads *reads, const char *vm)
{
  const char *address = peers_address (reads->node, vm);
  Link *held = g_hash_table_lookup (reads->links, vm);
  Link *link;

  if (!address || reads->closing)
    return NULL;
  if (held && strcmp (held->address, address) == 0)
    return held;
  link = link_create (reads, vm, address);
  g_hash_table_steal (reads->links, vm);
  g_hash_table_insert (reads->links, link->vm, link);
  /* Its reads go on, on the new link. */
  if (held)
    link_free (held);
  return link;
}

static void
note_call_begun (Link *link)
{
  if (link->in_flight++ > 0)
    return;
  link->received = received_bytes (link);
  loop_timer_start (link->timer, link->quiet_us);
}

static void
note_call_ended (Link *link, RpcOutcome outcome)
{
  if (outcome == RPC_OK || outcome == RPC_DENIED)
    link->quiet_us = QUIET_FIRST_US;
  if (--link->in_flight == 0)
    loop_timer_start (link->timer, IDLE_US);
}

static void
read_finish (Read *read, RpcOutcome outcome, void *result)
{
  read->done (outcome, result, read->data);
  g_free (read->vm);
  g_free (read);
}

/* Tries again if the connection broke, which other connections to the node may not. */
static void
on_failed (Read *read, RpcOutcome outcome)
{
  gboolean replaced = read->link->dropped != read->dropped;
  gboolean broken = outcome == RPC_LOST || (outcome == RPC_UNSENT && replaced);

  if (broken && !read->reads->closing && ++read->tries < TRIES_MAX)
    begin_try (read);
  else
    read_finish (read, replaced ? RPC_TIMEOUT : outcome, NULL);
}

static void
on_answer (RpcOutcome outcome, void *result, gpointer data)
{
  Read *read = data;

  note_call_ended (read->link, outcome);
  if (outcome == RPC_OK)
    read_finish (read, RPC_OK, result);
  else
    on_failed (read, outcome);
}

static void
call (Read *read, const RpcProcedure *procedure, void *args, RpcDoneFunc done)
{
  Node *node = read->reads->node;
  gint64 left_us = read->deadline_us - clock_now (node->clock);

  note_call_begun (read->link);
  peers_count_sent (
      node, read->vm, procedure,
      rpc_peer_call (read->link->rpc, procedure, args, MAX (left_us, 0), done, read));
}

static void
on_hello (RpcOutcome outcome, void *result, gpointer data)
{
  Read *read = data;
  Link *link = read->link;
  sw_hello_res *res = result;

  note_call_ended (link, outcome);
  if (outcome != RPC_OK)
    {
      on_failed (read, outcome);
      return;
    }
  if (strcmp (res->stamp.node, read->vm) != 0 || !res->welcome)
    {
      read_finish (read, RPC_DENIED, NULL);
      return;
    }
  link->welcomed = rpc_peer_connection_number (link->rpc);
  call (read, read->procedure, read->args, on_answer);
}

static gboolean
is_welcome (const Link *link)
{
  return link->welcomed > 0 && rpc_peer_is_open (link->rpc) &&
         rpc_peer_connection_number (link->rpc) == link->welcomed;
}

static void
begin_try (Read *read)
{
  Node *node = read->reads->node;
  sw_hello_args args = { .token = node->settings->fleet_token };

  read->link = read->reads->closing ? NULL : ensure_link (read->reads, read->vm);
  if (!read->link)
    {
      read_finish (read, RPC_UNSENT, NULL);
      return;
    }
  read->dropped = read->link->dropped;
  if (is_welcome (read->link))
    {
      call (read, read->procedure, read->args, on_answer);
      return;
    }
  rumour_fill (members_self (node->members), &args.from);
  call (read, &hello, &args, on_hello);
}

void
peer_reads_call (PeerReads *reads,
                 const char *vm,
                 const RpcProcedure *procedure,
                 void *args,
                 gint64 timeout_us,
                 RpcDoneFunc done,
                 gpointer data)
{
  Read *read = g_new0 (Read, 1);

  read->reads = reads;
  read->vm = g_strdup (vm);
  read->procedure = procedure;
  read->args = args;
  read->deadline_us = clock_now (reads->node->clock) + timeout_us;
  read->done = done;
  read->data = data;
  begin_try (read);
}

PeerReads *
peer_reads_create (Node *node)
{
  PeerReads *reads = g_new0 (PeerReads, 1);

  reads->node = node;
  reads->links = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, link_free);
  return reads;
}

void
peer_reads_destroy (PeerReads *reads)
{
  if (!reads)
    return;
  reads->closing = TRUE;
  g_hash_table_unref (reads->links);
  g_free (reads);
}
