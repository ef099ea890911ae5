#include "sidecar-target.h"

#include "rate-wire.h"

SidecarTarget *
sidecar_target_create (Node *node, const Service *service, const Target *config)
{
  Clock *clock = node->clock;
  SidecarTarget *target = g_new0 (SidecarTarget, 1);

  target->name = g_strdup (config->name);
  target->calls = target_calls_create (node, target->name);
  target->admission = admission_create (config->slots, service->queue, clock);
  target->start_limit = start_limit_create (clock);
  admission_set_start_limit (target->admission, target->start_limit);
  target->named_rate = named_rate_create (clock);
  target->detection = service->detection;
  target->detector = detector_create (service->detection, clock);
  target->shedding = shedding_create (clock);
  sidecar_target_update (target, service, config, clock);
  return target;
}

void
sidecar_target_destroy (SidecarTarget *target)
{
  target_calls_destroy (target->calls);
  admission_destroy (target->admission);
  start_limit_destroy (target->start_limit);
  named_rate_destroy (target->named_rate);
  detector_destroy (target->detector);
  shedding_destroy (target->shedding);
  g_free (target->name);
  g_free (target->service);
  g_free (target->address);
  g_free (target);
}

void
sidecar_target_update (SidecarTarget *target,
                       const Service *service,
                       const Target *config,
                       Clock *clock)
{
  g_free (target->service);
  target->service = g_strdup (service->name);
  g_free (target->address);
  target->address = g_strdup (config->address);
  target_calls_update (target->calls, config->address, service->keep_connections,
                       MAX (config->connections, config->slots));
  /* The target may have become cold while its hall was evacuated. It counts as cold until
     it reports again. */
  if (target->state == TARGET_EVACUATED && config->state != TARGET_EVACUATED)
    start_limit_assume_cold (target->start_limit);
  target->state = config->state;
  start_limit_set_cold_rate (target->start_limit, service->cold_per_s,
                             service->cold_burst);
  target->answer_max = service->answer_max;
  target->present = TRUE;
  admission_resize (target->admission, config->slots, service->queue);
  admission_set_adaptive (target->admission, !service->fixed_limit);
  if (target->detection == service->detection)
    return;
  target->detection = service->detection;
  detector_destroy (target->detector);
  target->detector = detector_create (service->detection, clock);
}

gboolean
sidecar_target_is_leaving (const SidecarTarget *target, gboolean draining)
{
  return draining || target->state == TARGET_LEAVING || target->announced_leaving ||
         !target->present;
}

void
sidecar_target_note_cold (SidecarTarget *target, gint64 cold_us)
{
  start_limit_note_cold (target->start_limit, cold_us);
}

void
sidecar_target_state (SidecarTarget *target, gboolean draining, sw_target_state *state)
{
  state->target = target->name;
  state->serial = ++target->serial;
  state->in_use = admission_in_use (target->admission);
  state->limit = admission_limit (target->admission);
  state->queued = admission_queued (target->admission);
  detector_summary (target->detector, &state->latency_us, &state->failures_ppm,
                    &state->samples);
  state->severity = detector_severity (target->detector);
  state->slow = detector_is_slow (target->detector);
  state->shedding = shedding_is_on (target->shedding);
  state->abrupt = detector_is_abrupt (target->detector);
  state->draining = sidecar_target_is_leaving (target, draining);
  state->rate_milli = rate_wire_pack (named_rate_state (target->named_rate),
                                      named_rate_per_s (target->named_rate));
  state->announced_leaving = target->announced_leaving;
}
