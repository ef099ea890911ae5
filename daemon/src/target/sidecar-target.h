/*
 * One target of this VM: its settings, admission and health.
 */
#ifndef DAEMON_SIDECAR_TARGET_H
#define DAEMON_SIDECAR_TARGET_H

#include <core/admission.h>
#include <core/config.h>
#include <core/detector.h>
#include <core/named-rate.h>
#include <core/proof.h>
#include <core/shedding.h>
#include <wire/message.h>

#include "target-calls.h"

/* Starts since the target named a rate. */
typedef struct
{
  guint count;
  guint trials;
  guint repeats;
} LimitedStarts;

typedef struct
{
  char *name;
  char *service;
  char *address;
  TargetState state;
  Detection detection;
  gsize answer_max;
  TargetCalls *calls;
  StartLimit *start_limit;
  Admission *admission; /* bounded by `start_limit` */
  NamedRate *named_rate;
  LimitedStarts limited_starts;
  Detector *detector;
  Shedding *shedding;
  Proof proof;
  gint64 answered_us;       /* time of the last complete answer; 0 for none */
  gint64 next_trial_us;     /* used while the target is sick */
  guint32 serial;           /* of the last report of its state */
  guint published_severity; /* as last published in gossip, like the next two */
  gboolean published_leaving;
  gboolean published_shedding;
  gint64 malformed_logged_us; /* time of the last log line; 0 for none */
  gboolean announced_leaving; /* in an answer; never taken back */
  gboolean present;           /* listed in the current configuration */
} SidecarTarget;

SidecarTarget *
sidecar_target_create (Node *node, const Service *service, const Target *target);
void sidecar_target_destroy (SidecarTarget *target);

/* Applies new settings. */
void sidecar_target_update (SidecarTarget *target,
                            const Service *service,
                            const Target *config,
                            Clock *clock);

/* Returns whether the target takes no new requests because it is leaving, by its
   configuration or its own word, is not in the configuration any more, or its node
   drains. */
gboolean sidecar_target_is_leaving (const SidecarTarget *target, gboolean draining);

/* Takes the target's own report of how much longer it stays cold; 0 if it is warm. */
void sidecar_target_note_cold (SidecarTarget *target, gint64 cold_us);

/* Fills in the state that answers carry, and increments the serial. The target's name is
   borrowed. */
void
sidecar_target_state (SidecarTarget *target, gboolean draining, sw_target_state *state);

#endif
