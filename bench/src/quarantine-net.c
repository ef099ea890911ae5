#include "quarantine-net.h"

#include <string.h>

#define STEP_US MS_US
#define STEPS (QUARANTINE_SPAN_US / STEP_US)
#define TICK_STEPS 50u
/* Fan-out and intervals of quarantine news in daemon/src/member/gossip.c (SPREAD_...). */
#define NEAR_FANOUT 3u
#define FAR_FANOUT 1u
#define FIRST_STEPS 10u
#define URGENT_STEPS 100u
#define REPEAT_STEPS 600u
#define UPDATES_MAX 4u
/* Sizes by wire/switchmill.x: a message with its RPC header, token digest, sender, view
   digests and the IP and UDP headers; one entry without its crashes; one crash. */
#define MESSAGE_BYTES 128u
#define ENTRY_BYTES 60u
#define END_BYTES 8u
/* Each node probes one other node a second, whether or not it has news. */
#define PROBE_STEPS 1000u
/* Delays of a message within a hall, to another hall, and in a busy receiver. */
#define NEAR_STEPS 1
#define FAR_STEPS_MAX 13
#define BUSY_STEPS_MAX 20
#define HOMES 2u
#define LOSS_PERCENT 5
#define STOPPED_DIVISOR 10u
#define RACK_TARGETS 30u
#define RACK_REQUESTS 10u
#define OTHER_REQUESTS 3u
#define FIRST_CRASH_STEP 100u
#define CRASH_GAP_STEPS 80u

typedef struct
{
  guint step;
  guint to;
  guint count;
  QuarantineUpdate updates[UPDATES_MAX];
} Message;

typedef struct
{
  Quarantine *list;
  gboolean runs;
  guint spread_step; /* when news is sent next; 0 if nothing is scheduled */
  gboolean spread_urgent;
  guint64 bytes;
  gint64 held_us; /* when the node quarantined the deadly request; 0 if it has not */
} SimNode;

typedef struct
{
  const QuarantineCase *params;
  Clock *clock;
  GRand *rand;
  SimNode *nodes;
  GPtrArray **due; /* messages (Message) by the step of their arrival */
  guint step;
  guint32 id_counter;
} Sim;

static const Fingerprint deadly = { 0xdeadull << 48, 1 };

const char *
quarantine_scheme_name (QuarantineScheme scheme)
{
  static const char *const names[QUARANTINE_SCHEMES] = { "spread", "home" };

  return names[scheme];
}

const char *
quarantine_pattern_name (QuarantinePattern pattern)
{
  static const char *const names[QUARANTINE_PATTERNS] = { "plain", "loss", "gone", "rack",
                                                          "join" };

  return names[pattern];
}

static guint
hall_of (const Sim *sim, guint node)
{
  return node % sim->params->halls;
}

static gsize
bytes_of (const Message *message)
{
  gsize bytes = MESSAGE_BYTES;

  for (guint i = 0; i < message->count; i++)
    bytes += ENTRY_BYTES + END_BYTES * message->updates[i].end_count;
  return bytes;
}

/* Takes ownership of the message. */
static void
send_message (Sim *sim, guint from, Message *message)
{
  gboolean near = hall_of (sim, from) == hall_of (sim, message->to);
  gint delay =
      near ? NEAR_STEPS : g_rand_int_range (sim->rand, NEAR_STEPS, FAR_STEPS_MAX);
  guint step =
      sim->step + (guint)(delay + g_rand_int_range (sim->rand, 0, BUSY_STEPS_MAX + 1));
  gboolean lost = sim->params->pattern == QUARANTINE_LOSS &&
                  g_rand_int_range (sim->rand, 0, 100) < LOSS_PERCENT;

  sim->nodes[from].bytes += bytes_of (message);
  if (lost || step >= STEPS || !sim->nodes[message->to].runs)
    g_free (message);
  else
    g_ptr_array_add (sim->due[step], message);
}

static void
schedule_spread (Sim *sim, guint node)
{
  SimNode *own = &sim->nodes[node];
  QuarantineUrgency urgency = quarantine_urgency (own->list);

  if (urgency == QUARANTINE_UPDATES_NONE ||
      (own->spread_step > 0 &&
       (urgency != QUARANTINE_UPDATES_URGENT || own->spread_urgent)))
    return;
  own->spread_urgent = urgency == QUARANTINE_UPDATES_URGENT;
  own->spread_step = sim->step + FIRST_STEPS;
}

static void
send_updates (Sim *sim, guint from, guint to)
{
  Message *message = g_new0 (Message, 1);

  message->to = to;
  message->count =
      quarantine_next_updates (sim->nodes[from].list, message->updates, UPDATES_MAX);
  send_message (sim, from, message);
}

static guint
pick_random_node (Sim *sim, guint from, gboolean near)
{
  for (;;)
    {
      guint node = (guint)g_rand_int_range (sim->rand, 0, (gint32)sim->params->nodes);

      if (node != from && (hall_of (sim, node) == hall_of (sim, from)) == near)
        return node;
    }
}

static void
spread (Sim *sim, guint node)
{
  SimNode *own = &sim->nodes[node];

  own->spread_step = 0;
  own->spread_urgent = quarantine_urgency (own->list) == QUARANTINE_UPDATES_URGENT;
  if (quarantine_urgency (own->list) == QUARANTINE_UPDATES_NONE)
    return;
  for (guint i = 0; i < NEAR_FANOUT; i++)
    send_updates (sim, node, pick_random_node (sim, node, TRUE));
  for (guint i = 0; i < FAR_FANOUT; i++)
    send_updates (sim, node, pick_random_node (sim, node, FALSE));
  own->spread_step = sim->step + (own->spread_urgent ? URGENT_STEPS : REPEAT_STEPS);
}

static void
deliver (Sim *sim, const Message *message)
{
  SimNode *to = &sim->nodes[message->to];
  gboolean any = FALSE;

  if (!to->runs)
    return;
  for (guint i = 0; i < message->count; i++)
    any |= quarantine_merge (to->list, &message->updates[i]);
  if (any)
    schedule_spread (sim, message->to);
}

static guint
home_of (const Sim *sim, const Fingerprint *request, guint number)
{
  return (guint)((request->head >> 17 ^ request->head >> 40) * 2654435761u +
                 number * 7919u) %
         sim->params->nodes;
}

/* Records a crash that `node` has detected at its target. */
static void
note_end (Sim *sim, guint node, const GArray *work)
{
  guint32 id = ++sim->id_counter * 2654435761u;

  if (sim->params->scheme == QUARANTINE_SCHEME_SPREAD)
    {
      quarantine_note_end (sim->nodes[node].list, id, 1, 1, work);
      schedule_spread (sim, node);
      return;
    }
  for (guint i = 0; i < work->len; i++)
    for (guint home = 0; home < HOMES; home++)
      {
        const Fingerprint *request = &g_array_index (work, Fingerprint, i);
        Message *report = g_new0 (Message, 1);

        report->to = home_of (sim, request, home);
        report->count = 1;
        report->updates[0] = (QuarantineUpdate){ .request = *request,
                                                 .service = 1,
                                                 .held_age_us = -1,
                                                 .cleared_age_us = -1,
                                                 .end_count = 1 };
        report->updates[0].end_ids[0] = id;
        send_message (sim, node, report);
      }
}

static GArray *
create_work (Sim *sim, gboolean with_deadly, guint others)
{
  GArray *work = g_array_new (FALSE, FALSE, sizeof (Fingerprint));

  if (with_deadly)
    g_array_append_val (work, deadly);
  for (guint i = 0; i < others; i++)
    {
      Fingerprint other = { (guint64)++sim->id_counter << 20 | 1, 0 };

      g_array_append_val (work, other);
    }
  return work;
}

/* Home nodes disseminate only quarantined requests: this discards the other news. */
static void
discard_suspect_news (Sim *sim, guint node)
{
  QuarantineUpdate updates[UPDATES_MAX];

  if (quarantine_check (sim->nodes[node].list, &deadly).state < QUARANTINE_TRIAL)
    while (quarantine_urgency (sim->nodes[node].list) != QUARANTINE_UPDATES_NONE)
      quarantine_next_updates (sim->nodes[node].list, updates, UPDATES_MAX);
}

static void
tick (Sim *sim, guint node)
{
  SimNode *own = &sim->nodes[node];

  quarantine_tick (own->list);
  if (sim->params->scheme == QUARANTINE_SCHEME_HOME)
    discard_suspect_news (sim, node);
  if (!own->held_us && quarantine_check (own->list, &deadly).state >= QUARANTINE_TRIAL)
    own->held_us = clock_now (sim->clock);
  schedule_spread (sim, node);
}

/* A probe. If the digests differ, the answer has entries of the probed node's list. */
static void
probe (Sim *sim, guint node)
{
  guint other = pick_random_node (sim, node, g_rand_int_range (sim->rand, 0, 4) > 0);
  SimNode *asked = &sim->nodes[other];
  Message *answer;

  if (!asked->runs ||
      quarantine_digest (asked->list) == quarantine_digest (sim->nodes[node].list))
    return;
  answer = g_new0 (Message, 1);
  answer->to = node;
  answer->count = quarantine_next_part (asked->list, answer->updates, UPDATES_MAX);
  send_message (sim, other, answer);
}

static gboolean
is_joining (const Sim *sim, guint node)
{
  return sim->params->pattern == QUARANTINE_JOIN && node == sim->params->nodes - 1;
}

static void
crash_targets (Sim *sim)
{
  guint since = sim->step - FIRST_CRASH_STEP;
  guint ends = since / CRASH_GAP_STEPS;

  if (sim->step >= FIRST_CRASH_STEP && since % CRASH_GAP_STEPS == 0 &&
      ends < QUARANTINE_ENDS_LIMIT)
    {
      g_autoptr (GArray) work = create_work (sim, TRUE, OTHER_REQUESTS);

      note_end (sim, 1 + ends * (sim->params->nodes / 4), work);
    }
  if (sim->params->pattern != QUARANTINE_RACK || sim->step != FIRST_CRASH_STEP)
    return;
  for (guint i = 0; i < RACK_TARGETS; i++)
    {
      g_autoptr (GArray) work = create_work (sim, FALSE, RACK_REQUESTS);

      note_end (sim, (2 + i * sim->params->halls) % sim->params->nodes, work);
    }
}

static void
run_step (Sim *sim)
{
  GPtrArray *due = sim->due[sim->step];

  crash_targets (sim);
  for (guint i = 0; i < due->len; i++)
    deliver (sim, g_ptr_array_index (due, i));
  for (guint i = 0; i < sim->params->nodes; i++)
    {
      SimNode *node = &sim->nodes[i];

      if (is_joining (sim, i) && sim->step == STEPS / 2)
        node->runs = TRUE;
      if (!node->runs)
        continue;
      if (node->spread_step == sim->step)
        spread (sim, i);
      if ((sim->step + i) % TICK_STEPS == 0)
        tick (sim, i);
      if ((sim->step + i * 7919u) % PROBE_STEPS == 0)
        probe (sim, i);
    }
  clock_advance (sim->clock, STEP_US);
}

static Sim *
sim_create (const QuarantineCase *params)
{
  Sim *sim = g_new0 (Sim, 1);

  sim->params = params;
  sim->clock = clock_create_manual (1000 * SECOND_US);
  sim->rand = g_rand_new_with_seed (params->seed);
  sim->nodes = g_new0 (SimNode, params->nodes);
  sim->due = g_new0 (GPtrArray *, STEPS);
  sim->id_counter = params->seed * 100000;
  for (guint i = 0; i < STEPS; i++)
    sim->due[i] = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < params->nodes; i++)
    {
      sim->nodes[i].list = quarantine_create (sim->clock);
      /* Nodes that detect a crash keep running; home node 0 stops as well. */
      sim->nodes[i].runs =
          !is_joining (sim, i) &&
          !(params->pattern == QUARANTINE_GONE &&
            (i % STOPPED_DIVISOR == 3 || i == home_of (sim, &deadly, 0)));
    }
  return sim;
}

static void
sim_destroy (Sim *sim)
{
  for (guint i = 0; i < STEPS; i++)
    g_ptr_array_unref (sim->due[i]);
  for (guint i = 0; i < sim->params->nodes; i++)
    quarantine_destroy (sim->nodes[i].list);
  g_free (sim->due);
  g_free (sim->nodes);
  g_rand_free (sim->rand);
  clock_destroy (sim->clock);
  g_free (sim);
}

static guint
count_wrongly_held (const Sim *sim, guint node)
{
  const GArray *entries = quarantine_entries (sim->nodes[node].list);
  guint held = 0;

  for (guint i = 0; i < entries->len; i++)
    {
      const QuarantineEntry *entry = &g_array_index (entries, QuarantineEntry, i);

      held += entry->held_us && !fingerprint_equal (&entry->request, &deadly);
    }
  return held;
}

static QuarantineResult
measure (const Sim *sim)
{
  guint third = FIRST_CRASH_STEP + CRASH_GAP_STEPS * (QUARANTINE_ENDS_LIMIT - 1);
  gint64 third_us = 1000 * SECOND_US + third * STEP_US;
  QuarantineResult result = { 0 };
  guint64 bytes = 0;

  for (guint i = 0; i < sim->params->nodes; i++)
    {
      const SimNode *node = &sim->nodes[i];
      gint64 began_us =
          is_joining (sim, i) ? 1000 * SECOND_US + STEPS / 2 * STEP_US : third_us;

      bytes += node->bytes;
      result.worst_bytes = MAX (result.worst_bytes, (double)node->bytes);
      result.innocent += count_wrongly_held (sim, i);
      if (!node->runs || result.last_us < 0)
        continue;
      result.last_us =
          node->held_us ? MAX (result.last_us, node->held_us - began_us) : -1;
    }
  result.mean_bytes = (double)bytes / sim->params->nodes;
  return result;
}

QuarantineResult
quarantine_net_run (const QuarantineCase *params)
{
  Sim *sim = sim_create (params);
  QuarantineResult result;

  for (sim->step = 0; sim->step < STEPS; sim->step++)
    run_step (sim);
  result = measure (sim);
  sim_destroy (sim);
  return result;
}
