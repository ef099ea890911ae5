#include "fleet-private.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <json-glib/json-glib.h>

char *
fleet_intent (Fleet *fleet, guint slots, guint floor, const char *extra)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (text,
                          "{\"services\":[{\"name\":\"pay\",\"tenant\":\"wales\","
                          "\"floor_slots\":%u,\"queue\":50,%s\"targets\":[",
                          floor, extra ? extra : "");
  for (guint i = 0; i < fleet->nodes; i++)
    {
      g_autofree char *address = fleet_address ("targets", i);

      g_string_append_printf (
          text,
          "%s{\"name\":\"pay-%u\",\"vm\":\"vm-%u\",\"hall\":\"hall-%u\","
          "\"address\":\"%s\",\"slots\":%u}",
          i ? "," : "", i, i, i % 3, address, slots);
    }
  g_string_append (text,
                   "]}],\"routes\":[{\"prefix\":\"/pay\",\"service\":\"pay\","
                   "\"class\":\"payment\",\"methods\":[\"POST\"],\"priority\":0,"
                   "\"deadline_ms\":3000},{\"prefix\":\"/read\",\"service\":\"pay\","
                   "\"class\":\"read\",\"deadline_ms\":3000}]}");
  return g_string_free (text, FALSE);
}

char *
fleet_plan (Fleet *fleet, guint node, const char *intent, gboolean force)
{
  g_autoptr (Answer) answer =
      fleet_call_operators (fleet, node, "POST", "/v1/plan", intent);
  g_autoptr (JsonNode) plan = NULL;
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  g_autoptr (JsonNode) root = NULL;
  JsonObject *object;

  if (answer->status != 200)
    fail_msg ("plan: %ld %s", answer->status, answer->body);
  plan = json_from_string (answer->body, NULL);
  object = json_node_get_object (plan);
  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "intent");
  json_builder_add_string_value (builder, intent);
  json_builder_set_member_name (builder, "base_generation");
  json_builder_add_int_value (builder,
                              json_object_get_int_member (object, "base_generation"));
  json_builder_set_member_name (builder, "id");
  json_builder_add_string_value (builder, json_object_get_string_member (object, "id"));
  json_builder_set_member_name (builder, "force");
  json_builder_add_boolean_value (builder, force);
  json_builder_end_object (builder);
  root = json_builder_get_root (builder);
  return json_to_string (root, FALSE);
}

long
fleet_apply (Fleet *fleet, guint node, const char *intent, gboolean force)
{
  g_autofree char *body = fleet_plan (fleet, node, intent, force);
  g_autoptr (Answer) answer =
      fleet_call_operators (fleet, node, "POST", "/v1/confirm", body);

  return answer->status;
}

gint64
fleet_status (Fleet *fleet, guint node, const char *path)
{
  g_autoptr (Answer) answer =
      fleet_call_operators (fleet, node, "GET", "/v1/status", NULL);
  g_autoptr (JsonNode) root =
      answer->status ? json_from_string (answer->body, NULL) : NULL;
  g_autoptr (JsonNode) found = root ? json_path_query (path, root, NULL) : NULL;
  JsonArray *matches;

  if (!found)
    return -1;
  matches = json_node_get_array (found);
  if (json_array_get_length (matches) == 0)
    return -1;
  if (json_node_get_value_type (json_array_get_element (matches, 0)) == G_TYPE_BOOLEAN)
    return json_array_get_boolean_element (matches, 0);
  return json_array_get_int_element (matches, 0);
}

void
fleet_await (Fleet *fleet, guint node, const char *path, gint64 at_least)
{
  for (guint i = 0; i < FLEET_WAIT_TRIES; i++)
    {
      if (fleet_status (fleet, node, path) >= at_least)
        return;
      g_usleep (FLEET_POLL_US);
    }
  fail_msg ("node %u: %s never reached %" G_GINT64_FORMAT, node, path, at_least);
}
