#include "print.h"

#include <stdio.h>
#include <string.h>

#include <core/json-member.h>

static const char *
text_of (JsonObject *object, const char *name)
{
  return json_member_text (object, name, "");
}

static gint64
int_of (JsonObject *object, const char *name)
{
  return json_member_int (object, name, 0);
}

static JsonArray *
array_of (JsonObject *object, const char *name)
{
  return json_member_array (object, name);
}

static guint
length_of (JsonArray *array)
{
  return array ? json_array_get_length (array) : 0;
}

void
print_plan (JsonObject *plan)
{
  JsonArray *changes = array_of (plan, "changes");
  JsonArray *capacity = array_of (plan, "capacity");

  printf ("plan %s\nbase generation %" G_GINT64_FORMAT "\n", text_of (plan, "id"),
          int_of (plan, "base_generation"));
  if (length_of (changes) == 0)
    printf ("  no changes\n");
  for (guint i = 0; i < length_of (changes); i++)
    {
      const char *change = json_element_text (changes, i);

      printf ("  %s\n", change ? change : "");
    }
  for (guint i = 0; i < length_of (capacity); i++)
    {
      JsonObject *item = json_element_object (capacity, i);

      printf ("  capacity %s: %" G_GINT64_FORMAT " healthy slots now, %" G_GINT64_FORMAT
              " after, floor %" G_GINT64_FORMAT "%s\n",
              text_of (item, "service"), int_of (item, "healthy_slots_now"),
              int_of (item, "healthy_slots_after"), int_of (item, "floor_slots"),
              json_member_bool (item, "below_floor", FALSE) ? "  BELOW THE FLOOR" : "");
    }
}

void
print_services (JsonObject *status, const char *only)
{
  JsonArray *services = array_of (status, "services");

  printf ("%-20s %-14s %7s %7s %10s %8s\n", "SERVICE", "TENANT", "FLOOR", "SLOTS",
          "IN SERVICE", "TARGETS");
  for (guint i = 0; i < length_of (services); i++)
    {
      JsonObject *service = json_element_object (services, i);

      if (only && strcmp (text_of (service, "name"), only) != 0)
        continue;
      printf ("%-20s %-14s %7" G_GINT64_FORMAT " %7" G_GINT64_FORMAT
              " %10" G_GINT64_FORMAT " %8u\n",
              text_of (service, "name"), text_of (service, "tenant"),
              int_of (service, "floor_slots"), int_of (service, "slots"),
              int_of (service, "slots_in_service"),
              length_of (array_of (service, "targets")));
    }
}

void
print_targets (JsonObject *status, const char *only)
{
  JsonArray *services = array_of (status, "services");

  printf ("%-18s %-14s %-14s %-20s %8s %6s %9s %9s\n", "TARGET", "VM", "HALL", "VERDICT",
          "SEVERITY", "IN USE", "MEAN MS", "FAILED %");
  for (guint i = 0; i < length_of (services); i++)
    {
      JsonObject *service = json_element_object (services, i);
      JsonArray *targets = array_of (service, "targets");

      if (only && strcmp (text_of (service, "name"), only) != 0)
        continue;
      for (guint j = 0; j < length_of (targets); j++)
        {
          JsonObject *target = json_element_object (targets, j);

          printf ("%-18s %-14s %-14s %-20s %8" G_GINT64_FORMAT " %6" G_GINT64_FORMAT
                  " %9.1f %9.1f\n",
                  text_of (target, "name"), text_of (target, "vm"),
                  text_of (target, "hall"), text_of (target, "verdict"),
                  int_of (target, "severity"), int_of (target, "in_use"),
                  (double)int_of (target, "mean_latency_us") / 1e3,
                  (double)int_of (target, "failures_ppm") / 1e4);
        }
    }
}

void
print_status (JsonObject *status)
{
  JsonArray *members = array_of (status, "members");

  printf ("node %s in %s, version %s\n", text_of (status, "node"),
          text_of (status, "hall"), text_of (status, "version"));
  printf ("generation %" G_GINT64_FORMAT ", %s%s, %" G_GINT64_FORMAT
          " routes, %" G_GINT64_FORMAT " accounts, %" G_GINT64_FORMAT
          " requests in flight\n",
          int_of (status, "generation"),
          json_member_bool (status, "ready", FALSE) ? "ready" : "not ready",
          json_member_bool (status, "stopping", FALSE) ? ", stopping" : "",
          int_of (status, "routes"), int_of (status, "accounts"),
          int_of (status, "requests_in_flight"));
  print_services (status, NULL);
  print_targets (status, NULL);
  for (guint i = 0; i < length_of (members); i++)
    {
      JsonObject *member = json_element_object (members, i);

      printf ("member %-14s %-14s %-22s %s\n", text_of (member, "node"),
              text_of (member, "hall"), text_of (member, "address"),
              text_of (member, "status"));
    }
}

void
print_events (JsonArray *events)
{
  for (guint i = 0; i < length_of (events); i++)
    {
      JsonObject *event = json_element_object (events, i);

      printf ("%6" G_GINT64_FORMAT " s ago  %-16s %-20s %s\n",
              int_of (event, "seconds_ago"), text_of (event, "event"),
              text_of (event, "subject"), text_of (event, "detail"));
    }
}

static double
double_of (JsonObject *object, const char *name)
{
  return json_member_double (object, name, 0);
}

void
print_accounts (JsonObject *answer)
{
  JsonArray *accounts = array_of (answer, "accounts");

  printf ("%-24s %10s %8s %8s %5s %9s %9s %9s %9s\n", "ACCOUNT", "PER SECOND", "BURST",
          "PRIORITY", "KEYS", "DONE", "NOT RUN", "UNKNOWN", "EXCEEDED");
  for (guint i = 0; i < length_of (accounts); i++)
    {
      JsonObject *item = json_element_object (accounts, i);
      /* The node counts keys only if one account is queried. */
      g_autofree char *keys =
          json_object_has_member (item, "keys")
              ? g_strdup_printf ("%" G_GINT64_FORMAT, int_of (item, "keys"))
              : g_strdup ("-");

      printf ("%-24s %10g %8g %8" G_GINT64_FORMAT " %5s %9" G_GINT64_FORMAT
              " %9" G_GINT64_FORMAT " %9" G_GINT64_FORMAT " %9" G_GINT64_FORMAT "\n",
              text_of (item, "id"), double_of (item, "per_s"), double_of (item, "burst"),
              int_of (item, "priority"), keys, int_of (item, "done"),
              int_of (item, "not-run"), int_of (item, "unknown"),
              int_of (item, "exceeded"));
    }
}

void
print_quarantine (JsonObject *answer)
{
  JsonArray *requests = array_of (answer, "requests");

  printf ("%-10s %-8s %5s %7s %14s %14s\n", "REQUEST", "STATE", "ENDS", "TRIALS",
          "LAST END S AGO", "NEXT TRIAL S");
  for (guint i = 0; i < length_of (requests); i++)
    {
      JsonObject *item = json_element_object (requests, i);

      printf ("%-10s %-8s %5" G_GINT64_FORMAT " %7" G_GINT64_FORMAT " %14.1f %14.1f\n",
              text_of (item, "request"), text_of (item, "state"), int_of (item, "ends"),
              int_of (item, "trials"), (double)int_of (item, "last_end_age_ms") / 1e3,
              (double)int_of (item, "next_trial_ms") / 1e3);
    }
}
