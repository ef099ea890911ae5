#include "overload.h"

#include <core/admission.h>
#include <core/detector.h>
#include <core/dispatch.h>
#include <core/eject.h>

#define TARGETS 4u
#define SLOTS 10u
#define QUEUE 20u
#define SERVICE_US (10 * MS_US)
#define DEADLINE_US (200 * MS_US)
#define LENGTH_US (6 * SECOND_US)
/* Requests that arrive earlier are not counted, so that queues and failure detection have
   reached a steady state. */
#define SETTLE_US (2 * SECOND_US)
#define ATTEMPTS_MAX 3u
#define RETRY_WINDOW_US SECOND_US
#define CAPACITY_PER_SECOND ((double)TARGETS * SLOTS * SECOND_US / SERVICE_US)
#define FLOOR_SLOTS (TARGETS * SLOTS / 2)

typedef struct Request Request;

typedef struct
{
  Admission *admission; /* used if guarded */
  GQueue queue;         /* used otherwise; unbounded */
  guint in_use;
  Detector *detector;
  gboolean sick;
} SimTarget;

struct Request
{
  Dispatch *dispatch;
  gint64 began_us;
  gint64 deadline_us;
  guint priority;
  guint attempts;
  guint target;
  guint tried;       /* bit mask of targets */
  gboolean answered; /* the caller has its answer; a target may still be running it */
  guint refs;
};

typedef enum
{
  EVENT_ARRIVAL,
  EVENT_SERVED,
  EVENT_RESUME,
  EVENT_DEADLINE
} EventKind;

typedef struct
{
  gint64 at_us;
  EventKind kind;
  Request *request;
  guint target;
} Event;

typedef struct
{
  const OverloadCase *params;
  Clock *clock;
  GRand *rand;
  GSequence *events;
  SimTarget targets[TARGETS];
  RetryBudget *budget;
  guint64 asked[OVERLOAD_PRIORITIES];
  guint64 good[OVERLOAD_PRIORITIES];
  guint64 attempts;
  guint64 given_up;
  gint64 given_up_us;
} Sim;

static void perform_step (Sim *sim, Request *request, DispatchStep step);
static void send_unguarded (Sim *sim, Request *request);

static gint
compare_events (gconstpointer a, gconstpointer b, gpointer data)
{
  gint64 x = ((const Event *)a)->at_us;
  gint64 y = ((const Event *)b)->at_us;

  return (x > y) - (x < y);
}

static void
schedule (Sim *sim, gint64 after_us, EventKind kind, Request *request, guint target)
{
  Event *event = g_new (Event, 1);

  *event = (Event){ clock_now (sim->clock) + after_us, kind, request, target };
  if (request)
    request->refs++;
  g_sequence_insert_sorted (sim->events, event, compare_events, NULL);
}

static void
release (Request *request)
{
  if (--request->refs > 0)
    return;
  dispatch_destroy (request->dispatch);
  g_free (request);
}

static gboolean
is_measured (const Request *request)
{
  return request->began_us >= SETTLE_US;
}

static void
answer (Sim *sim, Request *request, gboolean good)
{
  gint64 now = clock_now (sim->clock);

  if (request->answered)
    return;
  request->answered = TRUE;
  if (!is_measured (request))
    return;
  if (good && now <= request->deadline_us)
    sim->good[request->priority]++;
  else
    {
      sim->given_up++;
      sim->given_up_us += now - request->began_us;
    }
}

static void
start (Sim *sim, Request *request, guint target)
{
  if (is_measured (request))
    sim->attempts++;
  schedule (sim, (gint64)(SERVICE_US * g_rand_double_range (sim->rand, 0.8, 1.2)),
            EVENT_SERVED, request, target);
}

/* Chooses the less loaded of two random targets, without ejected and tried ones. */
static gboolean
choose (Sim *sim, Request *request)
{
  EjectItem items[TARGETS] = { 0 };
  static const char *const names[TARGETS] = { "a", "b", "c", "d" };
  guint open[TARGETS];
  guint count = 0;
  guint a;
  guint b;

  for (guint i = 0; i < TARGETS; i++)
    items[i] = (EjectItem){ names[i], SLOTS, detector_severity (sim->targets[i].detector),
                            TRUE, FALSE };
  eject_apply (items, TARGETS, FLOOR_SLOTS);
  for (guint i = 0; i < TARGETS; i++)
    if (!items[i].ejected && !(request->tried & 1u << i))
      open[count++] = i;
  if (count == 0)
    return FALSE;
  a = open[g_rand_int_range (sim->rand, 0, (gint32)count)];
  b = open[g_rand_int_range (sim->rand, 0, (gint32)count)];
  request->target = admission_in_use (sim->targets[a].admission) +
                                admission_queued (sim->targets[a].admission) <=
                            admission_in_use (sim->targets[b].admission) +
                                admission_queued (sim->targets[b].admission)
                        ? a
                        : b;
  request->tried |= 1u << request->target;
  return TRUE;
}

static void
refused (Sim *sim, Request *request)
{
  perform_step (sim, request,
                dispatch_sent (request->dispatch, DISPATCH_REFUSED, REASON_OVERLOAD, 0));
}

static void
send_guarded (Sim *sim, Request *request)
{
  Admission *admission = sim->targets[request->target].admission;
  RetryKind kind = dispatch_retry_kind (request->dispatch);
  AdmissionParams order = { request->priority, request->deadline_us, 0 };
  Request *displaced;

  if (!retry_budget_allows (sim->budget, kind))
    {
      refused (sim, request);
      return;
    }
  retry_budget_note (sim->budget, kind);

  switch (admission_offer (admission, request, &order))
    {
    case ADMISSION_START:
      start (sim, request, request->target);
      break;
    case ADMISSION_QUEUED:
      displaced = admission_displaced (admission);
      if (displaced)
        refused (sim, displaced);
      break;
    default:
      refused (sim, request);
      break;
    }
}

static void
perform_step (Sim *sim, Request *request, DispatchStep step)
{
  switch (step.kind)
    {
    case DISPATCH_CHOOSE:
      perform_step (sim, request,
                    dispatch_chosen (request->dispatch, choose (sim, request), 0));
      break;
    case DISPATCH_SEND:
      send_guarded (sim, request);
      break;
    case DISPATCH_PAUSE:
      schedule (sim, step.wait_us, EVENT_RESUME, request, 0);
      break;
    default:
      answer (sim, request, step.outcome == OUTCOME_DONE);
      break;
    }
}

static void
served_guarded (Sim *sim, Request *request, guint i)
{
  SimTarget *target = &sim->targets[i];
  DetectorSample sample = { target->sick, FALSE, SERVICE_US, SERVICE_US, 0 };
  Request *next;

  detector_observe (target->detector, &sample);
  admission_release (target->admission, target->sick ? -1 : SERVICE_US);
  if (!request->answered)
    perform_step (sim, request,
                  dispatch_sent (request->dispatch,
                                 target->sick ? DISPATCH_FAILED : DISPATCH_DONE,
                                 REASON_BROKEN, 0));
  while ((next = admission_expired (target->admission)))
    refused (sim, next);
  while ((next = admission_next (target->admission)))
    start (sim, next, i);
}

/* Sends without the fleet's mechanisms: round robin, unbounded queues, and retries
   without a budget. */
static void
send_unguarded (Sim *sim, Request *request)
{
  SimTarget *target;

  if (request->answered || request->attempts >= ATTEMPTS_MAX)
    {
      answer (sim, request, FALSE);
      return;
    }
  request->target = (request->target + 1) % TARGETS;
  request->attempts++;
  target = &sim->targets[request->target];
  if (target->in_use < SLOTS)
    {
      target->in_use++;
      start (sim, request, request->target);
      return;
    }
  request->refs++;
  g_queue_push_tail (&target->queue, request);
}

static void
served_unguarded (Sim *sim, Request *request, guint i)
{
  SimTarget *target = &sim->targets[i];
  Request *next = g_queue_pop_head (&target->queue);

  if (target->sick)
    send_unguarded (sim, request);
  else
    answer (sim, request, TRUE);
  if (!next)
    {
      target->in_use--;
      return;
    }
  start (sim, next, i);
  release (next);
}

static void
arrive (Sim *sim)
{
  Request *request = g_new0 (Request, 1);
  DispatchPolicy policy = { .repeatable = TRUE,
                            .slack_us = SECOND_US / 2,
                            .attempts_max = ATTEMPTS_MAX };
  gint64 gap = (gint64)((double)SECOND_US / (sim->params->load * CAPACITY_PER_SECOND) *
                        g_rand_double_range (sim->rand, 0, 2));

  request->refs = 1;
  request->began_us = clock_now (sim->clock);
  request->deadline_us = request->began_us + DEADLINE_US;
  request->priority = (guint)g_rand_int_range (sim->rand, 0, OVERLOAD_PRIORITIES);
  request->target = (guint)g_rand_int_range (sim->rand, 0, TARGETS);
  if (is_measured (request))
    sim->asked[request->priority]++;
  if (clock_now (sim->clock) + gap < LENGTH_US)
    schedule (sim, gap, EVENT_ARRIVAL, NULL, 0);
  schedule (sim, DEADLINE_US, EVENT_DEADLINE, request, 0);
  policy.deadline_us = request->deadline_us;
  request->dispatch = dispatch_create (&policy, sim->rand, sim->clock);
  if (sim->params->guarded)
    perform_step (sim, request, dispatch_begin (request->dispatch));
  else
    send_unguarded (sim, request);
  release (request);
}

static void
handle (Sim *sim, const Event *event)
{
  switch (event->kind)
    {
    case EVENT_ARRIVAL:
      arrive (sim);
      break;
    case EVENT_SERVED:
      if (sim->params->guarded)
        served_guarded (sim, event->request, event->target);
      else
        served_unguarded (sim, event->request, event->target);
      break;
    case EVENT_RESUME:
      if (!event->request->answered)
        perform_step (sim, event->request, dispatch_resume (event->request->dispatch));
      break;
    default:
      answer (sim, event->request, FALSE);
      break;
    }
}

static void
run (Sim *sim)
{
  schedule (sim, 0, EVENT_ARRIVAL, NULL, 0);
  while (!g_sequence_is_empty (sim->events))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (sim->events);
      Event *event = g_sequence_get (first);

      g_sequence_remove (first);
      clock_advance (sim->clock, event->at_us - clock_now (sim->clock));
      handle (sim, event);
      if (event->request)
        release (event->request);
      g_free (event);
    }
}

OverloadResult
overload_run (const OverloadCase *params, guint seed)
{
  Sim sim = { .params = params,
              .clock = clock_create_manual (0),
              .rand = g_rand_new_with_seed (seed),
              .events = g_sequence_new (NULL) };
  OverloadResult result = { 0 };
  guint64 asked = 0;
  guint64 good = 0;

  sim.budget = retry_budget_create (20, RETRY_WINDOW_US, sim.clock);
  for (guint i = 0; i < TARGETS; i++)
    {
      sim.targets[i].admission = admission_create (SLOTS, QUEUE, sim.clock);
      sim.targets[i].detector = detector_create (
          params->no_detection ? DETECTION_OFF : DETECTION_QUICK, sim.clock);
      sim.targets[i].sick = params->sick && i < TARGETS / 2;
    }
  run (&sim);
  for (guint i = 0; i < OVERLOAD_PRIORITIES; i++)
    {
      asked += sim.asked[i];
      good += sim.good[i];
      result.by_priority[i] =
          sim.asked[i] ? (double)sim.good[i] / (double)sim.asked[i] : 0;
    }
  result.goodput =
      (double)good / (CAPACITY_PER_SECOND * (LENGTH_US - SETTLE_US) / SECOND_US);
  result.attempts = (double)sim.attempts / (double)asked;
  if (sim.given_up)
    result.refused_ms = (double)sim.given_up_us / (double)sim.given_up / 1e3;
  for (guint i = 0; i < TARGETS; i++)
    {
      admission_destroy (sim.targets[i].admission);
      detector_destroy (sim.targets[i].detector);
    }
  retry_budget_destroy (sim.budget);
  g_sequence_free (sim.events);
  g_rand_free (sim.rand);
  clock_destroy (sim.clock);
  return result;
}
