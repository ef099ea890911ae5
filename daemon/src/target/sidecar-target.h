/*
 * One target of this VM: its settings, admission, and detection.
 */
#ifndef DAEMON_SIDECAR_TARGET_H
#define DAEMON_SIDECAR_TARGET_H

#include <core/admission.h>
#include <core/config.h>
#include <core/detector.h>
#include <core/proof.h>
#include <core/shedding.h>
#include <wire/message.h>

typedef struct
{
  char *name;
  char *service;
  char *address;
  TargetState state;
  Detection detection;
  gsize answer_max;
  Warmup *warmup;
  Admission *admission; /* bounded by it */
  Detector *detector;
  Shedding *shedding;
  Proof proof;
  gint64 answered_us;   /* when the last whole answer came; 0 for never */
  gint64 next_trial_us; /* while it is sick */
  guint32 serial;
  guint told_severity; /* as last published */
  gboolean told_leaving;
  gboolean told_shedding;
  gboolean present; /* named by the configuration in force */
} SidecarTarget;

SidecarTarget *
sidecar_target_create (const Service *service, const Target *target, Clock *clock);
void sidecar_target_destroy (SidecarTarget *target);

/* Takes new settings. */
void sidecar_target_update (SidecarTarget *target,
                            const Service *service,
                            const Target *config,
                            Clock *clock);

/* Whether it takes nothing new: it leaves, has gone, or its whole node drains. */
gboolean sidecar_target_is_leaving (const SidecarTarget *target, gboolean draining);

/* The target's own word of how much longer it is cold; 0 for warm. */
void sidecar_target_note_cold (SidecarTarget *target, gint64 cold_us);

/* What is said of it in answers; the text is borrowed. Raises the serial. */
void
sidecar_target_state (SidecarTarget *target, gboolean draining, sw_target_state *state);

#endif
