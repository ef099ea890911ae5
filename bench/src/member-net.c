#include "member-net.h"

#include <stdio.h>
#include <stdlib.h>

#define STEP_US (50 * MS_US)
#define UPDATES_MAX 550u
/* The fixed part of a gossip message: RPC header, token digest, generation, view digest,
   sender, counts, and the IP and UDP headers. */
#define MESSAGE_BYTES (40u + 8u + 48u + 28u)
#define NONE G_MAXUINT

static char *
address_of (guint i)
{
  return g_strdup_printf ("10.0.%u.%u:7000", i / 256, i % 256);
}

static guint
index_of (const char *address)
{
  unsigned a = 0;
  unsigned b = 0;

  if (sscanf (address, "10.0.%u.%u", &a, &b) != 2)
    abort ();
  return a * 256 + b;
}

static void
start_node (MemberNet *net, guint i)
{
  NetNode *node = &net->nodes[i];
  g_autofree char *name = g_strdup_printf ("node-%u", i);
  g_autofree char *hall = g_strdup_printf ("hall-%u", i % net->halls);
  g_autofree char *address = address_of (i);
  static const char *const seeds[] = { "10.0.0.0:7000", "10.0.0.1:7000", NULL };
  Member self = { .node = name, .hall = hall, .address = address };

  members_destroy (node->members);
  self.incarnation = (guint64)g_rand_int (net->rand) << 32 | g_rand_int (net->rand) | 1;
  node->members =
      members_create (&self, seeds, &members_timing_default, net->rand, net->clock);
  node->hall = i % net->halls;
  node->runs = TRUE;
  node->starts++;
}

MemberNet *
member_net_create (guint count, guint halls, guint seed)
{
  MemberNet *net = g_new0 (MemberNet, 1);

  net->count = count;
  net->halls = halls;
  net->isolated_hall = halls;
  net->cut_from = NONE;
  net->cut_to = NONE;
  net->clock = clock_create_manual (0);
  net->rand = g_rand_new_with_seed (seed);
  net->nodes = g_new0 (NetNode, count);
  for (guint i = 0; i < count; i++)
    start_node (net, i);
  return net;
}

void
member_net_destroy (MemberNet *net)
{
  for (guint i = 0; i < net->count; i++)
    members_destroy (net->nodes[i].members);
  g_free (net->nodes);
  g_rand_free (net->rand);
  clock_destroy (net->clock);
  g_free (net);
}

static gboolean
passes (MemberNet *net, guint from, guint to)
{
  if (!net->nodes[to].runs || (from == net->cut_from && to == net->cut_to))
    return FALSE;
  if ((net->nodes[from].hall == net->isolated_hall) !=
      (net->nodes[to].hall == net->isolated_hall))
    return FALSE;
  return (guint)g_rand_int_range (net->rand, 0, 100) >= net->loss_percent;
}

static void
count_sent (MemberNet *net, guint from, guint to, gsize bytes)
{
  net->nodes[from].sent_bytes += bytes;
  if (net->nodes[from].hall != net->nodes[to].hall)
    net->nodes[from].other_hall_bytes += bytes;
}

static void
merge_update (Members *members, const MemberUpdate *update)
{
  MemberDelta delta = members_delta (update->member);

  if (update->delta)
    members_merge_delta (members, &delta);
  else
    members_merge (members, update->member);
}

/* Sends a message with news. Returns TRUE if it was delivered and merged. */
static gboolean
send_updates (MemberNet *net, guint from, guint to)
{
  NetNode *sender = &net->nodes[from];
  g_autofree char *name = g_strdup_printf ("node-%u", to);
  const GArray *updates = members_next_updates (sender->members, name, UPDATES_MAX);

  sender->messages++;
  count_sent (net, from, to, MESSAGE_BYTES);
  for (guint i = 0; i < updates->len; i++)
    count_sent (net, from, to,
                members_update_size (&g_array_index (updates, MemberUpdate, i)));
  if (!passes (net, from, to))
    return FALSE;
  for (guint i = 0; i < updates->len; i++)
    merge_update (net->nodes[to].members, &g_array_index (updates, MemberUpdate, i));
  return TRUE;
}

/* A host accepts a session only from a live member in the incarnation that it knows. */
static gboolean
admits (MemberNet *net, guint host, guint guest)
{
  const Member *self = members_self (net->nodes[guest].members);
  const Member *held = members_find (net->nodes[host].members, self->node);

  return held && held->incarnation == self->incarnation && members_is_alive (held);
}

/* Compares views by buckets if they have differed for long enough, as nodes do by TCP. */
static void
repair (MemberNet *net, guint i, guint with)
{
  NetNode *node = &net->nodes[i];
  Members *other = net->nodes[with].members;
  guint64 buckets[MEMBERS_BUCKETS];
  GPtrArray *differing;

  g_autofree char *name = g_strdup_printf ("node-%u", with);

  if (!members_compare_due (node->members, name, members_digest (other)) ||
      !admits (net, with, i))
    return;
  members_buckets (node->members, buckets);
  differing = members_differing (other, buckets);
  count_sent (net, i, with, sizeof buckets);
  for (guint j = 0; j < differing->len; j++)
    {
      MemberUpdate whole = { g_ptr_array_index (differing, j), FALSE };

      count_sent (net, with, i, members_update_size (&whole));
      members_merge (node->members, g_ptr_array_index (differing, j));
    }
}

static gboolean
exchange (MemberNet *net, guint from, guint to)
{
  if (!send_updates (net, from, to) || !send_updates (net, to, from))
    return FALSE;
  repair (net, from, to);
  return TRUE;
}

static void
perform (MemberNet *net, guint i, const MembersAction *action)
{
  NetNode *node = &net->nodes[i];
  guint to = index_of (action->address);
  g_autofree char *name = g_strdup_printf ("node-%u", to);
  guint subject;

  if (action->kind == MEMBERS_PROBE)
    {
      if (exchange (net, i, to))
        members_answered (node->members, action->sequence, name);
      return;
    }
  subject = (guint)atoi (action->subject + sizeof "node-" - 1);
  if (send_updates (net, i, to) && exchange (net, to, subject) &&
      send_updates (net, to, i))
    members_answered (node->members, action->sequence, name);
}

static void
tick (MemberNet *net, guint i)
{
  NetNode *node = &net->nodes[i];
  g_autoptr (GPtrArray) actions = NULL;

  if (!node->runs || members_next_tick_us (node->members) > clock_now (net->clock))
    return;
  actions = members_tick (node->members);
  for (guint j = 0; j < actions->len; j++)
    perform (net, i, g_ptr_array_index (actions, j));
}

void
member_net_run (MemberNet *net, guint seconds)
{
  gint64 end = clock_now (net->clock) + seconds * SECOND_US;

  while (clock_now (net->clock) < end)
    {
      for (guint i = 0; i < net->count; i++)
        tick (net, i);
      clock_advance (net->clock, STEP_US);
    }
}

void
member_net_stop (MemberNet *net, guint i)
{
  net->nodes[i].runs = FALSE;
}

void
member_net_restart (MemberNet *net, guint i)
{
  start_node (net, i);
}

gboolean
member_net_runs (const MemberNet *net, guint i)
{
  return net->nodes[i].runs;
}

gboolean
member_net_sees (MemberNet *net, guint i, guint subject)
{
  g_autofree char *name = g_strdup_printf ("node-%u", subject);
  const Member *member = members_find (net->nodes[i].members, name);

  return member && members_is_alive (member);
}
