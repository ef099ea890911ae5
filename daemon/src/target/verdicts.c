#include "verdicts.h"

#include <wire/convert.h>
#include <core/json-write.h>

#include "gossip.h"
#include "registry.h"
#include "sidecar-target.h"
#include "target-departures.h"

static void
note_verdict (Node *node, SidecarTarget *target, gboolean leaving)
{
  guint severity = detector_severity (target->detector);
  gboolean shedding = shedding_is_on (target->shedding);

  if ((severity > 0) != (target->published_severity > 0))
    events_add (node->events, severity ? "target-sick" : "target-well", target->name,
                detector_why (target->detector));
  if (leaving != target->published_leaving)
    events_add (node->events, leaving ? "target-leaving" : "target-serving", target->name,
                NULL);
  if (shedding != target->published_shedding)
    events_add (node->events, shedding ? "target-sheds" : "target-takes", target->name,
                NULL);
  target->published_shedding = shedding;
  target->published_severity = severity;
  target->published_leaving = leaving;
}

/* Records the changes since the last call. Returns FALSE if there are none. */
static gboolean
note_changes (Node *node, GHashTable *targets, gboolean draining)
{
  gboolean changed = registry_take_changed (node->registry);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      SidecarTarget *target = value;
      gboolean leaving = sidecar_target_is_leaving (target, draining);
      guint severity = detector_severity (target->detector);

      if (severity == target->published_severity &&
          leaving == target->published_leaving &&
          shedding_is_on (target->shedding) == target->published_shedding)
        continue;
      note_verdict (node, target, leaving);
      changed = TRUE;
    }
  return changed;
}

static sw_verdict
verdict_on (SidecarTarget *target)
{
  sw_verdict verdict = { ++target->serial, target->published_severity, 0 };

  if (target->published_leaving)
    verdict.flags |= SW_VERDICT_DRAINING;
  if (target->published_shedding)
    verdict.flags |= SW_VERDICT_SHEDDING;
  if (detector_is_abrupt (target->detector))
    verdict.flags |= SW_VERDICT_ABRUPT;
  return verdict;
}

/* Tells this node's own balancer, which gossip does not. Reports alone would not: none
   comes from a target that is passed over because of the verdict. */
static void
apply_verdict (Node *node, const SidecarTarget *target, const sw_verdict *said)
{
  TargetVerdict verdict = { node->incarnation,
                            said->serial,
                            said->severity,
                            (said->flags & SW_VERDICT_DRAINING) != 0,
                            (said->flags & SW_VERDICT_SHEDDING) != 0,
                            (said->flags & SW_VERDICT_ABRUPT) != 0 };

  balancer_note_verdict (node->balancer, target->name, &verdict);
}

void
verdicts_publish (Node *node, GHashTable *targets, gboolean draining)
{
  g_autofree sw_target_name *names = NULL;
  g_autofree sw_verdict *verdicts = NULL;
  sw_registration registration = { 0 };
  sw_target_name departed[DEPARTURES_PER_VM_MAX];
  sw_member_payload payload_words = { 0 };
  sw_member_state state_words = { 0 };
  g_autoptr (GBytes) payload = NULL;
  g_autoptr (GBytes) state = NULL;
  GHashTableIter iter;
  gpointer value;
  guint count = 0;

  if (!note_changes (node, targets, draining))
    return;
  names = g_new0 (sw_target_name, SW_VERDICTS_MAX);
  verdicts = g_new0 (sw_verdict, SW_VERDICTS_MAX);
  g_hash_table_iter_init (&iter, targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      SidecarTarget *target = value;
      sw_verdict verdict = verdict_on (target);

      apply_verdict (node, target, &verdict);
      if (count == SW_VERDICTS_MAX)
        continue;
      names[count] = target->name;
      verdicts[count++] = verdict;
    }
  payload_words.targets.targets_val = names;
  payload_words.targets.targets_len = count;
  payload_words.registrations.registrations_val = &registration;
  payload_words.registrations.registrations_len =
      registry_fill (node->registry, &registration);
  payload_words.departed.departed_val = departed;
  payload_words.departed.departed_len = target_departures_own (node, departed);
  state_words.verdicts.verdicts_val = verdicts;
  state_words.verdicts.verdicts_len = count;
  payload = wire_pack ((xdrproc_t)xdr_sw_member_payload, &payload_words);
  state = wire_pack ((xdrproc_t)xdr_sw_member_state, &state_words);
  members_publish (node->members, payload, state);
  gossip_push (node->gossip);
}

static void
write_named_rate (const SidecarTarget *target, JsonBuilder *builder)
{
  json_builder_set_member_name (builder, "named_rate");
  json_builder_begin_object (builder);
  json_write_double (builder, "per_s", named_rate_per_s (target->named_rate));
  json_write_int (builder, "age_ms", named_rate_age_us (target->named_rate) / MS_US);
  json_write_int (builder, "starts", target->limited_starts.count);
  json_builder_end_object (builder);
}

void
verdicts_write (GHashTable *targets, gboolean draining, JsonBuilder *builder)
{
  GHashTableIter iter;
  gpointer value;

  json_builder_begin_array (builder);
  g_hash_table_iter_init (&iter, targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      SidecarTarget *target = value;
      sw_target_state state = { 0 };

      sidecar_target_state (target, draining, &state);
      json_builder_begin_object (builder);
      json_write_string (builder, "target", target->name);
      json_write_int (builder, "severity", state.severity);
      json_write_string (builder, "why", detector_why (target->detector));
      json_write_int (builder, "in_use", state.in_use);
      json_write_int (builder, "limit", state.limit);
      json_write_int (builder, "queued", state.queued);
      json_write_int (builder, "mean_latency_us", state.latency_us);
      json_write_int (builder, "failures_ppm", state.failures_ppm);
      json_write_bool (builder, "leaving", state.draining);
      json_write_bool (builder, "shedding", state.shedding);
      if (named_rate_is_in_force (target->named_rate))
        write_named_rate (target, builder);
      target_calls_write_status (target->calls, builder);
      json_write_bool (builder, "announced_leaving", target->announced_leaving);
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
}
