/*
 * What the files of the balancer share: balancer.c what it knows, balancer-choose.c whom
 * it picks, balancer-status.c what it tells of targets and services.
 */
#ifndef CORE_BALANCER_PRIVATE_H
#define CORE_BALANCER_PRIVATE_H

#include <core/balancer.h>
#include <core/eject.h>

#include "path.h"

/* A sick target of another hall is offered about one trial in so long, by all ingresses
   together. */
#define BALANCER_TRIAL_EVERY_US (SECOND_US / 2)
/* One of the own hall in so long by each: its sidecar takes one at a time, and a refusal
   within the hall costs less than a millisecond. Those that serve repeatable requests are
   few, and three good trials in a row should not take longer than a second. */
#define BALANCER_TRIAL_NEAR_US (SECOND_US / 5)

/* What this ingress holds of one target. */
typedef struct
{
  TargetReport report; /* `target` unused */
  gboolean known;
  guint outstanding; /* this ingress's own, on their way */
  gint64 trial_due_us;
} View;

struct Balancer
{
  char *hall;
  GRand *rand;
  Clock *clock;
  GHashTable *views; /* target → View */
  GHashTable *paths; /* node → Path */
  guint ingresses;
};

/* Found, or made anew. */
View *balancer_view (Balancer *balancer, const char *target);
Path *balancer_path (Balancer *balancer, const char *vm);

/* How long an ingress waits between two offers of trials to one target. */
gint64 balancer_trial_every_us (const Balancer *balancer, const char *hall);

/* Whether what is held of a target comes from its sidecar's present incarnation. */
gboolean balancer_is_current (const View *view, const Path *path);

/* Weighs all targets of a service against its floor; `items` has a place for each.
   Returns the slots that stay in service. */
guint balancer_weigh (Balancer *balancer, const Service *service, EjectItem *items);

#endif
