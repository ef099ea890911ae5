/*
 * Load balancer of an ingress. It keeps the ingress's view of the targets and of the
 * paths to their nodes, and chooses a target for each attempt: it ejects sick targets
 * down to the service's floor, spreads load over the halls, sends trials to sick targets,
 * and avoids broken paths.
 */
#ifndef CORE_BALANCER_H
#define CORE_BALANCER_H

#include <core/clock.h>
#include <core/config.h>
#include <core/named-rate.h>

typedef struct Balancer Balancer;

/* A sidecar's report on one of its targets. */
typedef struct
{
  const char *target;
  guint64 incarnation; /* of the sidecar */
  guint serial; /* rises within an incarnation; reports with a lower one are dropped */
  guint in_use;
  guint limit;
  guint queued;
  guint latency_us;
  guint failures_ppm;
  guint samples;
  guint severity;
  gboolean slow; /* sick only because it is slow */
  gboolean draining;
  gboolean shedding; /* it recently refused work although it had free slots */
  NamedRateState rate_state;
  double rate_per_s;          /* that the target has named, if it is in force */
  gboolean announced_leaving; /* the target has said in an answer that it leaves */
  gboolean abrupt; /* sick, and it closes connections at once without an answer */
} TargetReport;

/* The part of a report that is spread by gossip. */
typedef struct
{
  guint64 incarnation;
  guint serial;
  guint severity;
  gboolean draining;
  gboolean shedding;
  gboolean abrupt;
} TargetVerdict;

/* Whether a request may be used as a trial, to see if a sick target has recovered. */
typedef enum
{
  BALANCER_NO_TRIAL,
  BALANCER_TRIAL_DUE
} BalancerTrial;

/* Preference between the data halls; "own" is the hall of the ingress. */
typedef enum
{
  BALANCER_BY_LOAD,   /* own hall, unless its pick is loaded and another's is less so */
  BALANCER_OWN_FIRST, /* own hall, if it has a candidate */
  BALANCER_OTHERS_FIRST, /* another hall, if one has a candidate */
  BALANCER_OWN_BEST,     /* own hall only: the target with the shortest wait */
  BALANCER_SHORTEST_WAIT /* own hall, unless the wait in another is clearly shorter */
} BalancerHalls;

/* Use of targets that shed load, refusing work although they have free slots. */
typedef enum
{
  BALANCER_SHEDDING_LAST,  /* only if there is no steady candidate */
  BALANCER_SHEDDING_NEVER, /* never */
  BALANCER_SHEDDING_ONLY   /* choose only among them */
} BalancerShedding;

/* Parameters of a choice. */
typedef struct
{
  BalancerTrial trial;
  BalancerHalls halls;
  BalancerShedding shedding;
  const GPtrArray *tried; /* names of targets to leave out; may be NULL */
  gboolean needs_slot;    /* leaves out targets that can hardly have a free slot yet */
} BalancerCriteria;

typedef struct
{
  const Target *target; /* borrowed from the service; NULL if none is suitable */
  gboolean trial;       /* the target is sick, and the request is a trial of it */
  gboolean local;       /* the target is in the ingress's own hall */
  gboolean sick;        /* the target is sick and was chosen nevertheless */
  gboolean abrupt; /* most sick targets of the service fail at once, without a hang */
  gint64 retry_after_us; /* delay for the caller if there is no target */
} BalancerChoice;

/* `hall` is the ingress's own. `rand` and `clock` are borrowed and must outlive the
   balancer. */
Balancer *balancer_create (const char *hall, GRand *rand, Clock *clock);
void balancer_destroy (Balancer *balancer);

/* Removes targets that are not in the snapshot and have no attempt in flight. */
void balancer_prune (Balancer *balancer, const Snapshot *snapshot);

void balancer_note_report (Balancer *balancer, const TargetReport *report);

/* Returns whether the target has named a rate by the last report that knew, also of an
   earlier incarnation of its sidecar, and stores it in `per_s`. */
gboolean
balancer_named_rate (const Balancer *balancer, const char *target, double *per_s);

/* Records a verdict. Verdicts share incarnations and serial numbers with reports. */
void balancer_note_verdict (Balancer *balancer,
                            const char *target,
                            const TargetVerdict *verdict);

/*
 * Records the membership's view of a node. A node without a record counts as alive.
 * Reports from an incarnation other than the recorded one are ignored in choices.
 */
void balancer_set_member (Balancer *balancer,
                          const char *vm,
                          guint64 incarnation,
                          gboolean alive);

/* Sets the number of ingresses in the fleet, among which the trials are divided. */
void balancer_set_ingresses (Balancer *balancer, guint count);

/* Opens or closes the path to a node. Over a closed path this ingress sends requests only
   if no target is reachable otherwise. */
void balancer_set_path (Balancer *balancer, const char *vm, gboolean open);

/* Marks a node that did not answer promptly. Its targets are chosen only if there is no
   other healthy one, until balancer_note_path reports an answer, for at most 1 s. */
void balancer_doubt_path (Balancer *balancer, const char *vm);

/* Records whether a node's sidecar answered a call, for its path's circuit breaker. */
void balancer_note_path (Balancer *balancer, const char *vm, gboolean answered);

/* Chooses a target for one attempt. Only repeatable requests may be used for trials, and
   a trial is chosen only if `criteria->tried` is NULL. */
BalancerChoice balancer_choose (Balancer *balancer,
                                const Service *service,
                                const BalancerCriteria *criteria);

/* Record the start and the end of an attempt at a target. */
void balancer_attempt_started (Balancer *balancer, const char *target);
void balancer_attempt_ended (Balancer *balancer, const char *target);

/* Returns the median failure rate of a service's targets, in failures per million, for
   a sidecar to compare its own targets with; 0 if fewer than two are known. */
guint balancer_failures_ppm (Balancer *balancer, const Service *service);

/* The ingress's view of one target. */
typedef struct
{
  TargetReport report; /* `target` is borrowed from the service */
  gboolean known;      /* a report has been received */
  gboolean alive;      /* the node, according to the membership */
  gboolean path_open;  /* requests may be sent to the node */
  gboolean ejected;
} TargetStatus;

TargetStatus
balancer_status (Balancer *balancer, const Service *service, const Target *target);

/* Returns the number of a service's slots that are available and not ejected. */
guint balancer_slots_in_service (Balancer *balancer, const Service *service);

#endif
