/*
 * Declarations shared by the files of the balancer: balancer.c keeps its state,
 * balancer-choose.c chooses targets, balancer-status.c reports on targets and services.
 */
#ifndef CORE_BALANCER_PRIVATE_H
#define CORE_BALANCER_PRIVATE_H

#include <core/balancer.h>
#include <core/eject.h>
#include <core/target-statements.h>

#include "path.h"

/* Mean interval between trials offered to a sick target of another hall, by all ingresses
   together. */
#define BALANCER_TRIAL_OTHER_US (SECOND_US / 2)
/* Mean interval between trials that each ingress offers to a sick target of its own hall.
   The sidecar accepts one at a time, and a refusal within the hall costs less than 1 ms.
   Few ingresses serve repeatable requests, and three successful trials in a row should
   take at most 1 s. */
#define BALANCER_TRIAL_LOCAL_US (SECOND_US / 5)

/* This ingress's view of one target. */
typedef struct
{
  TargetReport report; /* `target` is unused */
  gboolean known;      /* a report has been received */
  gint64 reported_us;  /* when the last one was */
  guint outstanding;   /* this ingress's attempts in flight */
  gint64 trial_due_us; /* earliest time of the next trial */
} TargetView;

struct Balancer
{
  char *hall;
  GRand *rand;
  Clock *clock;
  GHashTable *views;            /* target → TargetView */
  GHashTable *paths;            /* node → Path */
  TargetStatements *statements; /* beyond the views' incarnations */
  guint ingresses;
};

/* Both return the entry of their key, which the balancer owns, and create it if there is
   none. */
TargetView *balancer_view (Balancer *balancer, const char *target);
Path *balancer_path (Balancer *balancer, const char *vm);

/* Returns the mean interval between the trials that this ingress offers to one target of
   `hall`. */
gint64 balancer_trial_every_us (const Balancer *balancer, const char *hall);

/* Returns whether the view of a target comes from its sidecar's current incarnation; TRUE
   if the membership has reported none. */
gboolean balancer_is_current (const TargetView *view, const Path *path);

/* Returns whether a target is leaving, by its sidecar's current report or by its own word
   in an answer, which also binds while the sidecar knows nothing of it. */
gboolean balancer_is_leaving (const Balancer *balancer,
                              const char *target,
                              const TargetView *view,
                              const Path *path);

/* Ejects sick targets of a service down to its floor (core/eject.h). `items` is filled
   with one item per target. Returns the number of slots that stay in service. */
guint
balancer_apply_ejections (Balancer *balancer, const Service *service, EjectItem *items);

#endif
