#include "model.h"

#include <string.h>

#include <core/names.h>
#include <core/json-write.h>

#define SLOTS_MAX 100000
#define ANSWER_MAX (8 * 1024 * 1024)
#define RETRY_PERCENT_DEFAULT 20
/* Limit of cold_per_s and cold_burst, more than any target gets, cold or not. */
#define COLD_PER_S_MAX 1e6

static const char *const detection_names[] = { "off", "careful", "quick", "strict",
                                               NULL };
static const char *const state_names[] = { "serving", "leaving", NULL };
/* By TargetState. TARGET_EVACUATED is never written: it follows from the state of the
   data hall and is not part of the configuration. */
static const char *const written_state_names[] = { "serving", "leaving", "serving" };

void
target_free (Target *target)
{
  g_free (target->name);
  g_free (target->vm);
  g_free (target->hall);
  g_free (target->address);
  g_free (target);
}

static Target *
target_read (JsonView *view)
{
  Target *target = g_new0 (Target, 1);

  target->name = g_strdup (names_required (view, "name"));
  target->vm = g_strdup (names_required (view, "vm"));
  target->hall = g_strdup (names_required (view, "hall"));
  target->address = g_strdup (names_required_address (view, "address"));
  target->slots = (guint)json_view_int (view, "slots", 1, SLOTS_MAX, 1);
  target->connections =
      (guint)json_view_int (view, "connections", 1, SLOTS_MAX, target->slots);
  target->state = json_view_choice (view, "state", state_names, TARGET_SERVING);
  if (!json_view_has (view, "slots"))
    json_faults_add (json_view_faults (view), json_view_path (view),
                     "\"slots\" is missing");
  if (target->connections < target->slots)
    json_faults_add (json_view_faults (view), json_view_path (view),
                     "\"connections\" must not be less than \"slots\"");
  return target;
}

static Target *
target_copy (const Target *target)
{
  Target *copy = g_memdup2 (target, sizeof *target);

  copy->name = g_strdup (target->name);
  copy->vm = g_strdup (target->vm);
  copy->hall = g_strdup (target->hall);
  copy->address = g_strdup (target->address);
  return copy;
}

static gint
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp ((*(Target *const *)a)->name, (*(Target *const *)b)->name);
}

static void
read_targets (Service *service, JsonView *view)
{
  guint count = json_view_array_length (view, "targets");

  for (guint i = 0; i < count; i++)
    {
      JsonView *item = json_view_array_object (view, "targets", i);

      if (!item)
        continue;
      g_ptr_array_add (service->targets, target_read (item));
      json_view_close (item);
    }
  g_ptr_array_sort (service->targets, compare_names);
  for (guint i = 1; i < service->targets->len; i++)
    {
      const Target *before = g_ptr_array_index (service->targets, i - 1);
      const Target *target = g_ptr_array_index (service->targets, i);

      if (*target->name && strcmp (before->name, target->name) == 0)
        json_faults_add (json_view_faults (view), json_view_path (view),
                         "target \"%s\" is listed more than once", target->name);
    }
}

static guint
total_slots (const Service *service)
{
  guint slots = 0;

  for (guint i = 0; i < service->targets->len; i++)
    slots += ((const Target *)g_ptr_array_index (service->targets, i))->slots;
  return slots;
}

Service *
service_read (JsonView *view)
{
  Service *service = g_new0 (Service, 1);

  service->targets = g_ptr_array_new_with_free_func ((GDestroyNotify)target_free);
  service->name = g_strdup (names_required (view, "name"));
  service->tenant = g_strdup (names_required (view, "tenant"));
  service->floor_slots = (guint)json_view_int (view, "floor_slots", 0, G_MAXINT, 0);
  service->detection =
      json_view_choice (view, "detection", detection_names, DETECTION_CAREFUL);
  service->queue = (guint)json_view_int (view, "queue", 0, SLOTS_MAX, 0);
  service->retry_percent =
      (guint)json_view_int (view, "retry_percent", 0, 100, RETRY_PERCENT_DEFAULT);
  service->retry_burst = (guint)json_view_int (view, "retry_burst", 0, G_MAXINT, 0);
  service->cold_per_s = json_view_double (view, "cold_per_s", 0, COLD_PER_S_MAX, 0);
  service->cold_burst = json_view_double (view, "cold_burst", 0, COLD_PER_S_MAX, 0);
  service->fixed_limit = json_view_bool (view, "fixed_limit", FALSE);
  service->keep_connections = json_view_bool (view, "keep_connections", FALSE);
  service->dynamic = json_view_bool (view, "dynamic", FALSE);
  service->floor_percent = (guint)json_view_int (view, "floor_percent", 0, 100, 0);
  service->answer_max =
      (gsize)json_view_int (view, "answer_max", 1, ANSWER_MAX, CONFIG_ANSWER_MAX_DEFAULT);
  read_targets (service, view);
  if (service->dynamic && service->targets->len > 0)
    json_faults_add (json_view_faults (view), json_view_path (view),
                     "a dynamic service must not list targets");
  if (service->floor_slots > total_slots (service))
    json_faults_add (json_view_faults (view), json_view_path (view),
                     "the floor of %u slots is over the capacity of %u slots",
                     service->floor_slots, total_slots (service));
  return service;
}

Service *
service_with_targets (const Service *service, const GPtrArray *targets)
{
  Service *copy = g_memdup2 (service, sizeof *service);

  copy->name = g_strdup (service->name);
  copy->tenant = g_strdup (service->tenant);
  copy->targets = g_ptr_array_new_with_free_func ((GDestroyNotify)target_free);
  for (guint i = 0; targets && i < targets->len; i++)
    g_ptr_array_add (copy->targets, target_copy (g_ptr_array_index (targets, i)));
  g_ptr_array_sort (copy->targets, compare_names);
  return copy;
}

void
service_free (Service *service)
{
  if (!service)
    return;
  g_free (service->name);
  g_free (service->tenant);
  g_ptr_array_unref (service->targets);
  g_free (service);
}

static void
target_write (const Target *target, JsonBuilder *builder)
{
  json_builder_begin_object (builder);
  json_write_string (builder, "name", target->name);
  json_write_string (builder, "vm", target->vm);
  json_write_string (builder, "hall", target->hall);
  json_write_string (builder, "address", target->address);
  json_write_int (builder, "slots", target->slots);
  json_write_int (builder, "connections", target->connections);
  json_write_string (builder, "state", written_state_names[target->state]);
  json_builder_end_object (builder);
}

void
service_write (const Service *service, JsonBuilder *builder)
{
  json_builder_begin_object (builder);
  json_write_string (builder, "name", service->name);
  json_write_string (builder, "tenant", service->tenant);
  json_write_int (builder, "floor_slots", service->floor_slots);
  json_write_string (builder, "detection", detection_names[service->detection]);
  json_write_int (builder, "queue", service->queue);
  json_write_int (builder, "retry_percent", service->retry_percent);
  json_write_int (builder, "retry_burst", service->retry_burst);
  json_write_int (builder, "floor_percent", service->floor_percent);
  if (service->cold_per_s > 0)
    json_write_double (builder, "cold_per_s", service->cold_per_s);
  if (service->cold_burst > 0)
    json_write_double (builder, "cold_burst", service->cold_burst);
  json_write_bool (builder, "fixed_limit", service->fixed_limit);
  if (service->keep_connections)
    json_write_bool (builder, "keep_connections", TRUE);
  json_write_bool (builder, "dynamic", service->dynamic);
  json_write_int (builder, "answer_max", (gint64)service->answer_max);
  json_builder_set_member_name (builder, "targets");
  json_builder_begin_array (builder);
  for (guint i = 0; i < service->targets->len; i++)
    target_write (g_ptr_array_index (service->targets, i), builder);
  json_builder_end_array (builder);
  json_builder_end_object (builder);
}

const Target *
service_target (const Service *service, const char *name)
{
  for (guint i = 0; i < service->targets->len; i++)
    {
      const Target *target = g_ptr_array_index (service->targets, i);

      if (strcmp (target->name, name) == 0)
        return target;
    }
  return NULL;
}

guint
service_slots (const Service *service)
{
  guint slots = 0;

  for (guint i = 0; i < service->targets->len; i++)
    {
      const Target *target = g_ptr_array_index (service->targets, i);

      if (target->state == TARGET_SERVING)
        slots += target->slots;
    }
  return slots;
}
