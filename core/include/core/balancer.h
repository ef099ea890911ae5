/*
 * The ingress's choice of a target: its view of targets and of the nodes before them,
 * the floor, spread over the halls, trials of ejected targets, broken paths.
 */
#ifndef CORE_BALANCER_H
#define CORE_BALANCER_H

#include <core/clock.h>
#include <core/config.h>

typedef struct Balancer Balancer;

/* What a sidecar says of one of its targets. */
typedef struct
{
  const char *target;
  guint64 incarnation; /* the sidecar's */
  guint serial;        /* rises within one incarnation; an older one is dropped */
  guint in_use;
  guint limit;
  guint queued;
  guint latency_us;
  guint failures_ppm;
  guint samples;
  guint severity;
  gboolean slow; /* sick by slowness alone */
  gboolean draining;
  gboolean shedding; /* it has lately turned work away though it had free slots */
  gboolean abrupt;   /* sick, and it breaks off at once what it is sent */
} TargetReport;

/* The part of a report that gossip carries. */
typedef struct
{
  guint64 incarnation;
  guint serial;
  guint severity;
  gboolean draining;
  gboolean shedding;
  gboolean abrupt;
} TargetVerdict;

/* Whether a request may be spent on learning whether a sick target is well again. */
typedef enum
{
  BALANCER_NO_TRIAL,
  BALANCER_TRIAL_DUE
} BalancerTrial;

/* Which data halls a request had better stay in. */
typedef enum
{
  BALANCER_BY_LOAD,      /* its own, while that is not much more loaded */
  BALANCER_OWN_FIRST,    /* its own, if any target there is left */
  BALANCER_OTHERS_FIRST, /* another, if any target there is left */
  BALANCER_OWN_BEST,     /* its own alone, and there the one with the shortest wait */
  BALANCER_SHORTEST_WAIT /* its own, while another's wait is not much shorter */
} BalancerHalls;

/* What becomes of targets that turn work away though they have free slots. */
typedef enum
{
  BALANCER_SHEDDING_LAST,  /* one of them where there is no other */
  BALANCER_SHEDDING_NEVER, /* none rather than one of them */
  BALANCER_SHEDDING_ONLY   /* none rather than another */
} BalancerShedding;

/* What is wanted of a choice. */
typedef struct
{
  BalancerTrial trial;
  BalancerHalls halls;
  BalancerShedding shedding;
  const GPtrArray *tried; /* names that are left out; may be NULL */
} BalancerWish;

typedef struct
{
  const Target *target;  /* NULL when none can take it */
  gboolean trial;        /* an ejected target, given a chance to show that it is well */
  gboolean local;        /* it is of this ingress's hall */
  gboolean sick;         /* it is held sick, and was chosen all the same */
  gboolean abrupt;       /* the service's sick targets break off at once what they get */
  gint64 retry_after_us; /* for none */
} BalancerChoice;

/* `hall` is the ingress's own; `rand` and `clock` are borrowed. */
Balancer *balancer_create (const char *hall, GRand *rand, Clock *clock);
void balancer_destroy (Balancer *balancer);

/* Forgets targets that the snapshot no longer names. */
void balancer_prune (Balancer *balancer, const Snapshot *snapshot);

void balancer_note_report (Balancer *balancer, const TargetReport *report);

/* Of the same sidecar and serial numbers as reports. */
void balancer_note_verdict (Balancer *balancer,
                            const char *target,
                            const TargetVerdict *verdict);

/*
 * What the membership says of a node; nodes never spoken of count as reachable. Reports
 * of another incarnation than the node's present one no longer count.
 */
void balancer_set_member (Balancer *balancer,
                          const char *vm,
                          guint64 incarnation,
                          gboolean alive);

/* How many ingresses share the fleet: they share the trials too. */
void balancer_set_ingresses (Balancer *balancer, guint count);

/* Closes the path to a node, or opens it: it gets nothing from here while another can. */
void balancer_set_path (Balancer *balancer, const char *vm, gboolean open);

/* A node has not answered at once: it gets work where nobody else can take it, until
   balancer_note_path says that it answered, and for a second at the most. */
void balancer_doubt_path (Balancer *balancer, const char *vm);

/* How a call to a node's sidecar went, for the breaker of the path there. */
void balancer_note_path (Balancer *balancer, const char *vm, gboolean answered);

/* Picks a target for one attempt. Trials are for requests that may be repeated. */
BalancerChoice
balancer_choose (Balancer *balancer, const Service *service, const BalancerWish *wish);

/* An attempt is on its way to a target, or has come back. */
void balancer_begin (Balancer *balancer, const char *target);
void balancer_end (Balancer *balancer, const char *target);

/* The median of the failures of a service's targets in a million, for a sidecar to
   compare its own with; 0 when too few are known. */
guint balancer_failures_ppm (Balancer *balancer, const Service *service);

/* How the ingress sees one target. */
typedef struct
{
  TargetReport report; /* `target` borrowed from the service */
  gboolean known;      /* a report has come */
  gboolean alive;
  gboolean path_open; /* the breaker lets work through */
  gboolean ejected;
} TargetStatus;

TargetStatus
balancer_status (Balancer *balancer, const Service *service, const Target *target);

/* Slots of a service that are in service now: available and not ejected. */
guint balancer_slots_in_service (Balancer *balancer, const Service *service);

#endif
