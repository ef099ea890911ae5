#include <core/plan.h>

#include <stdarg.h>

#include <string.h>
#include <core/json-write.h>

#include "intent.h"

/* The effect of a plan on the capacity of one service, in slots. */
typedef struct
{
  char *service;
  guint floor;
  guint before;
  guint after;
  gboolean refused;
} Capacity;

struct Plan
{
  char *id;
  guint64 base_generation;
  GPtrArray *parts;
  ConfigHead *head;
  GPtrArray *changes; /* of char * */
  GArray *capacities; /* of Capacity */
};

static void
clear_capacity (gpointer data)
{
  g_free (((Capacity *)data)->service);
}

static guint
healthy_slots (const Service *service, PlanHealthyFunc healthy, gpointer data)
{
  guint slots = 0;

  for (guint i = 0; service && i < service->targets->len; i++)
    {
      const Target *target = g_ptr_array_index (service->targets, i);

      if (target->state == TARGET_SERVING && healthy (service->name, target->name, data))
        slots += target->slots;
    }
  return slots;
}

/*
 * Compares the healthy slots of a service before and after the plan with its floor. The
 * plan is refused if the service ends below its floor and the plan is the cause: it adds
 * the service, removes healthy slots or raises the floor. New targets must count as
 * healthy, although nothing is known of them yet: replacing a target must not be reported
 * as a loss of capacity.
 */
static void
add_service_capacity (Plan *plan,
                      const Snapshot *base,
                      const Service *after,
                      PlanHealthyFunc healthy,
                      gpointer data)
{
  const Service *before = snapshot_service (base, after->name);
  Capacity capacity = { .service = g_strdup (after->name), .floor = after->floor_slots };

  capacity.before = healthy_slots (before, healthy, data);
  capacity.after = healthy_slots (after, healthy, data);
  capacity.refused =
      capacity.after < capacity.floor && (!before || capacity.after < capacity.before ||
                                          before->floor_slots < capacity.floor);
  g_array_append_val (plan->capacities, capacity);
}

static void note_change (Plan *plan, const char *format, ...) G_GNUC_PRINTF (2, 3);

static void
note_change (Plan *plan, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  g_ptr_array_add (plan->changes, g_strdup_vprintf (format, args));
  va_end (args);
}

/* An evacuation is not part of what an intent describes: a plan that leaves such a target
   serving changes nothing. */
static gboolean
changes_state (const Target *before, const Target *after)
{
  if (before->state == TARGET_EVACUATED)
    return after->state == TARGET_LEAVING;
  return before->state != after->state;
}

static void
describe_targets (Plan *plan, const Service *before, const Service *after)
{
  static const char *const states[] = {
    [TARGET_SERVING] = "serving",
    [TARGET_LEAVING] = "leaving",
    [TARGET_EVACUATED] = "evacuated",
  };

  for (guint i = 0; i < after->targets->len; i++)
    {
      const Target *target = g_ptr_array_index (after->targets, i);
      const Target *old = service_target (before, target->name);

      if (!old)
        note_change (plan, "service %s: adds target %s", after->name, target->name);
      else if (changes_state (old, target))
        note_change (plan, "service %s: state of target %s changes from %s to %s",
                     after->name, target->name, states[old->state],
                     states[target->state]);
      else if (strcmp (old->address, target->address) != 0 ||
               old->slots != target->slots || strcmp (old->vm, target->vm) != 0)
        note_change (plan, "service %s: changes target %s", after->name, target->name);
    }
  for (guint i = 0; i < before->targets->len; i++)
    {
      const Target *old = g_ptr_array_index (before->targets, i);

      if (!service_target (after, old->name))
        note_change (plan, "service %s: removes target %s", after->name, old->name);
    }
}

static void
describe_service (Plan *plan, const Snapshot *base, const Service *after)
{
  const Service *before = snapshot_service (base, after->name);

  if (!before)
    {
      note_change (plan, "adds service %s with %u targets", after->name,
                   after->targets->len);
      return;
    }
  if (before->floor_slots != after->floor_slots)
    note_change (plan, "service %s: floor changes from %u to %u slots", after->name,
                 before->floor_slots, after->floor_slots);
  if (before->detection != after->detection || before->queue != after->queue ||
      before->retry_percent != after->retry_percent ||
      before->answer_max != after->answer_max ||
      strcmp (before->tenant, after->tenant) != 0)
    note_change (plan, "service %s: changes settings", after->name);
  describe_targets (plan, before, after);
}

static guint
count_of (const ConfigPart *part)
{
  if (config_part_routes (part))
    return config_part_routes (part)->len;
  return config_part_keys (part) ? config_part_keys (part)->len
                                 : config_part_accounts (part)->len;
}

static const Account *
find_account_in_part (const ConfigPart *part, const char *id)
{
  const GPtrArray *accounts = part ? config_part_accounts (part) : NULL;

  for (guint i = 0; accounts && i < accounts->len; i++)
    {
      const Account *account = g_ptr_array_index (accounts, i);

      if (strcmp (account->id, id) == 0)
        return account;
    }
  return NULL;
}

/* Lists changes of existing accounts; describe_shard reports new ones by the count. */
static void
describe_accounts (Plan *plan, const ConfigPart *before, const ConfigPart *after)
{
  const GPtrArray *accounts = config_part_accounts (after);

  for (guint i = 0; before && i < accounts->len; i++)
    {
      const Account *account = g_ptr_array_index (accounts, i);
      const Account *old = find_account_in_part (before, account->id);

      if (!old)
        continue;
      if (old->per_s != account->per_s || old->burst != account->burst)
        note_change (
            plan,
            "account %s: allowance changes from %g requests/s with a burst of %g to %g "
            "requests/s with a burst of %g",
            account->id, old->per_s, old->burst, account->per_s, account->burst);
      if (old->priority != account->priority)
        note_change (plan, "account %s: priority changes from %u to %u", account->id,
                     old->priority, account->priority);
    }
}

static void
describe_shard (Plan *plan, const Snapshot *base, const ConfigPart *part)
{
  const ConfigPart *before = snapshot_part (base, config_part_key (part));
  const char *area = config_part_routes (part) ? "routes"
                     : config_part_keys (part) ? "keys"
                                               : "accounts";

  note_change (plan, "%s: changes from %u to %u %s", config_part_key (part),
               before ? count_of (before) : 0, count_of (part), area);
  if (config_part_accounts (part))
    describe_accounts (plan, before, part);
}

static char *
compute_plan_id (const Plan *plan)
{
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  g_autofree char *base =
      g_strdup_printf ("%" G_GUINT64_FORMAT "\n", plan->base_generation);
  GList *keys =
      g_list_sort (g_hash_table_get_keys (plan->head->parts), (GCompareFunc)strcmp);
  char *id;

  g_checksum_update (sum, (const guchar *)base, -1);
  for (GList *l = keys; l; l = l->next)
    {
      g_checksum_update (sum, l->data, -1);
      g_checksum_update (sum, (const guchar *)" ", 1);
      g_checksum_update (sum, g_hash_table_lookup (plan->head->parts, l->data), -1);
      g_checksum_update (sum, (const guchar *)"\n", 1);
    }
  id = g_strdup (g_checksum_get_string (sum));
  g_checksum_free (sum);
  g_list_free (keys);
  return id;
}

static ConfigHead *
create_next_head (const Snapshot *base)
{
  const ConfigHead *old = snapshot_head (base);
  ConfigHead *head = config_head_create (old->generation + 1);
  GHashTableIter iter;
  gpointer key;
  gpointer digest;

  for (guint i = 0; i < old->plans->len; i++)
    g_ptr_array_add (head->plans, g_strdup (g_ptr_array_index (old->plans, i)));
  g_hash_table_iter_init (&iter, old->parts);
  while (g_hash_table_iter_next (&iter, &key, &digest))
    g_hash_table_insert (head->parts, g_strdup (key), g_strdup (digest));
  return head;
}

static void
add_part (Plan *plan,
          const Snapshot *base,
          const char *key,
          const char *text,
          PlanHealthyFunc healthy,
          gpointer data,
          JsonFaults *faults)
{
  g_autoptr (GBytes) bytes = g_bytes_new (text, strlen (text));
  ConfigPart *part = config_part_parse (key, bytes, faults);
  const Service *service;

  if (!part)
    return;
  if (g_strcmp0 (g_hash_table_lookup (plan->head->parts, key),
                 config_part_digest (part)) == 0)
    {
      config_part_unref (part);
      return;
    }
  g_ptr_array_add (plan->parts, part);
  g_hash_table_insert (plan->head->parts, g_strdup (key),
                       g_strdup (config_part_digest (part)));
  service = config_part_service (part);
  if (!service)
    {
      describe_shard (plan, base, part);
      return;
    }
  describe_service (plan, base, service);
  add_service_capacity (plan, base, service, healthy, data);
}

Plan *
plan_create (const Snapshot *base,
             const char *intent,
             gssize len,
             PlanHealthyFunc healthy,
             gpointer data,
             JsonFaults *faults)
{
  guint before = json_faults_count (faults);
  g_autoptr (GHashTable) texts = intent_apply (base, intent, len, faults);
  g_autoptr (GList) keys = NULL;
  Plan *plan;

  if (!texts)
    return NULL;
  plan = g_new0 (Plan, 1);
  plan->base_generation = snapshot_generation (base);
  plan->parts = g_ptr_array_new_with_free_func ((GDestroyNotify)config_part_unref);
  plan->head = create_next_head (base);
  plan->changes = g_ptr_array_new_with_free_func (g_free);
  plan->capacities = g_array_new (FALSE, FALSE, sizeof (Capacity));
  g_array_set_clear_func (plan->capacities, clear_capacity);

  keys = g_list_sort (g_hash_table_get_keys (texts), (GCompareFunc)strcmp);
  for (GList *l = keys; l; l = l->next)
    {
      const char *text = g_hash_table_lookup (texts, l->data);

      if (*text)
        add_part (plan, base, l->data, text, healthy, data, faults);
      else if (g_hash_table_remove (plan->head->parts, l->data))
        note_change (plan, "removes %s", (const char *)l->data);
    }
  plan->id = compute_plan_id (plan);
  config_head_add_plan (plan->head, plan->id);
  if (json_faults_count (faults) == before)
    return plan;
  plan_destroy (plan);
  return NULL;
}

void
plan_destroy (Plan *plan)
{
  if (!plan)
    return;
  g_free (plan->id);
  g_ptr_array_unref (plan->parts);
  config_head_destroy (plan->head);
  g_ptr_array_unref (plan->changes);
  g_array_unref (plan->capacities);
  g_free (plan);
}

const char *
plan_id (const Plan *plan)
{
  return plan->id;
}

guint64
plan_base_generation (const Plan *plan)
{
  return plan->base_generation;
}

gboolean
plan_is_empty (const Plan *plan)
{
  return plan->changes->len == 0;
}

gboolean
plan_is_refused (const Plan *plan)
{
  for (guint i = 0; i < plan->capacities->len; i++)
    if (g_array_index (plan->capacities, Capacity, i).refused)
      return TRUE;
  return FALSE;
}

const GPtrArray *
plan_parts (const Plan *plan)
{
  return plan->parts;
}

const ConfigHead *
plan_head (const Plan *plan)
{
  return plan->head;
}

static void
add_capacity (JsonBuilder *builder, const Capacity *capacity)
{
  json_builder_begin_object (builder);
  json_write_string (builder, "service", capacity->service);
  json_write_int (builder, "floor_slots", capacity->floor);
  json_write_int (builder, "healthy_slots_now", capacity->before);
  json_write_int (builder, "healthy_slots_after", capacity->after);
  json_write_bool (builder, "below_floor", capacity->refused);
  json_builder_end_object (builder);
}

char *
plan_text (const Plan *plan)
{
  JsonBuilder *builder = json_builder_new ();

  json_builder_begin_object (builder);
  json_write_string (builder, "id", plan->id);
  json_write_int (builder, "base_generation", (gint64)plan->base_generation);
  json_builder_set_member_name (builder, "changes");
  json_builder_begin_array (builder);
  for (guint i = 0; i < plan->changes->len; i++)
    json_builder_add_string_value (builder, g_ptr_array_index (plan->changes, i));
  json_builder_end_array (builder);
  json_builder_set_member_name (builder, "capacity");
  json_builder_begin_array (builder);
  for (guint i = 0; i < plan->capacities->len; i++)
    add_capacity (builder, &g_array_index (plan->capacities, Capacity, i));
  json_builder_end_array (builder);
  json_write_bool (builder, "below_floor", plan_is_refused (plan));
  json_builder_end_object (builder);
  return json_text (builder);
}
