/* Tests of the configuration: faults with their JSON paths, routes, plans, evacuations,
   and a configuration of the users' full size. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <string.h>

#include <core/plan.h>

#define ROUTES 17000u
#define ACCOUNTS 44000u

static gboolean
healthy (const char *service, const char *target, gpointer data)
{
  return !data || strcmp (target, data) != 0;
}

static Plan *
make_plan (const Snapshot *base, const char *intent, gpointer sick)
{
  JsonFaults *faults = json_faults_create ();
  Plan *plan = plan_create (base, intent, -1, healthy, sick, faults);

  if (!plan)
    fail_msg ("%s", json_faults_get (faults, 0));
  json_faults_destroy (faults);
  return plan;
}

/* Builds the snapshot of a plan as a node does for an accepted head: from the parts of
   `base` and the new ones of the plan. Takes over the reference to `base`. */
static Snapshot *
apply (Snapshot *base, const Plan *plan)
{
  g_autoptr (GHashTable) parts = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer key;
  Snapshot *snapshot;

  g_hash_table_iter_init (&iter, snapshot_head (base)->parts);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      ConfigPart *part = snapshot_part (base, key);

      g_hash_table_insert (parts, (char *)config_part_digest (part), part);
    }
  for (guint i = 0; i < plan_parts (plan)->len; i++)
    {
      ConfigPart *part = g_ptr_array_index (plan_parts (plan), i);

      g_hash_table_insert (parts, (char *)config_part_digest (part), part);
    }
  snapshot = snapshot_create (plan_head (plan), parts);
  assert_non_null (snapshot);
  snapshot_unref (base);
  return snapshot;
}

static Snapshot *
apply_intent (Snapshot *base, const char *intent)
{
  Plan *plan = make_plan (base, intent, NULL);
  Snapshot *snapshot = apply (base, plan);

  plan_destroy (plan);
  return snapshot;
}

static const char two_targets[] =
    "{\"services\":[{\"name\":\"pay\",\"tenant\":\"w\",\"floor_slots\":10,\"targets\":["
    "{\"name\":\"a\",\"vm\":\"v1\",\"hall\":\"h\",\"address\":\"127.0.0.1:1\",\"slots\":"
    "10},"
    "{\"name\":\"b\",\"vm\":\"v2\",\"hall\":\"h\",\"address\":\"127.0.0.1:2\",\"slots\":"
    "10}]}],"
    "\"routes\":[{\"prefix\":\"/\",\"service\":\"pay\"},"
    "{\"prefix\":\"/pay/\",\"service\":\"pay\",\"methods\":[\"POST\"],\"class\":\"fee\"},"
    "{\"prefix\":\"/pay\",\"service\":\"pay\",\"class\":\"read\"},"
    "{\"host\":\"x.example\",\"prefix\":\"/"
    "pay\",\"service\":\"pay\",\"class\":\"host\"}]}";

static void
expect_fault (const char *intent, const char *path, const char *expected)
{
  Snapshot *base = apply_intent (snapshot_create_empty (), two_targets);
  JsonFaults *faults = json_faults_create ();
  g_autofree char *text = NULL;

  assert_null (plan_create (base, intent, -1, healthy, NULL, faults));
  text = json_faults_text (faults);
  if (!strstr (text, path) || !strstr (text, expected))
    fail_msg ("wanted %s: %s; got %s", path, expected, text);
  json_faults_destroy (faults);
  snapshot_unref (base);
}

static void
test_faults_name_their_path (void **state)
{
  expect_fault ("{", "$", "not JSON");
  expect_fault ("[]", "$", "must be an object");
  expect_fault ("{\"servces\":[]}", "$", "unknown key \"servces\"");
  expect_fault ("{\"services\":[{\"name\":\"x\"}]}", "$.services[0].tenant",
                "is missing");
  expect_fault ("{\"services\":[{\"name\":\"x y\",\"tenant\":\"t\"}]}",
                "$.services[0].name", "may hold letters");
  expect_fault ("{\"services\":[{\"name\":\"x\",\"tenant\":\"t\",\"queue\":\"many\"}]}",
                "$.services[0].queue", "whole number");
  expect_fault ("{\"services\":[{\"name\":\"x\",\"tenant\":\"t\",\"floor_slots\":5}]}",
                "$.services[0]", "over the capacity");
  expect_fault (
      "{\"services\":[{\"name\":\"x\",\"tenant\":\"t\",\"detection\":\"magic\"}]}",
      "$.services[0].detection", "must be one of");
  expect_fault ("{\"routes\":[{\"prefix\":\"/z\",\"service\":\"none\"}]}", "$.routes[0]",
                "names unknown service");
  expect_fault ("{\"routes\":[{\"prefix\":\"z\",\"service\":\"pay\"}]}", "$.routes[0]",
                "must begin with '/'");
  expect_fault ("{\"drain\":[\"nobody\"]}", "$.drain[0]", "no target");
  expect_fault ("{\"remove_services\":[\"pay\"]}", "$.remove_services",
                "names unknown service");
  expect_fault (
      "{\"services\":[{\"name\":\"x\",\"tenant\":\"t\",\"targets\":[{\"name\":\"a\","
      "\"vm\":\"v\",\"hall\":\"h\",\"address\":\"127.0.0.1:1\",\"slots\":1}]}]}",
      "$.services", "is listed in both");
  expect_fault (
      "{\"accounts\":[{\"id\":\"g\",\"tenant\":\"t\",\"keys_sha256\":[\"12\"]}]}",
      "$.accounts[0]", "64 lower-case");
}

static void
expect_class (const Snapshot *snapshot,
              const char *host,
              const char *path,
              const char *method,
              const char *class)
{
  const Route *route = snapshot_route (snapshot, host, path, method);

  if (!class)
    {
      assert_null (route);
      return;
    }
  assert_non_null (route);
  assert_string_equal (route->class, class);
}

static void
test_longest_prefix_by_whole_segments (void **state)
{
  Snapshot *snapshot = apply_intent (snapshot_create_empty (), two_targets);

  expect_class (snapshot, "", "/pay/fee/7", "POST", "fee");
  expect_class (snapshot, "", "/pay", "GET", "read");
  expect_class (snapshot, "", "/payments", "GET", "default");
  expect_class (snapshot, "", "/payments", "POST", NULL);
  expect_class (snapshot, "x.example", "/pay/1", "GET", "host");
  expect_class (snapshot, "x.example", "/pay/1", "POST", "fee");
  expect_class (snapshot, "", "/", "BREW", NULL);
  assert_false (snapshot_route (snapshot, "", "/pay", "POST")->repeatable);
  assert_true (snapshot_route (snapshot, "", "/pay", "GET")->repeatable);
  snapshot_unref (snapshot);
}

static void
test_plan_id_depends_on_result_and_base (void **state)
{
  Snapshot *base = apply_intent (snapshot_create_empty (), two_targets);
  Plan *one = make_plan (base, "{\"drain\":[\"a\"]}", NULL);
  Plan *same = make_plan (base, "{ \"drain\" : [ \"a\" ] }", NULL);
  Plan *other = make_plan (base, "{\"drain\":[\"b\"]}", NULL);
  Plan *nothing = make_plan (base, two_targets, NULL);

  assert_string_equal (plan_id (one), plan_id (same));
  assert_string_not_equal (plan_id (one), plan_id (other));
  assert_true (plan_is_empty (nothing));
  assert_false (plan_is_empty (one));
  assert_true (config_head_has_plan (plan_head (one), plan_id (one)));
  assert_int_equal (plan_head (one)->generation, 2);
  plan_destroy (one);
  plan_destroy (same);
  plan_destroy (other);
  plan_destroy (nothing);
  snapshot_unref (base);
}

static void
test_plan_below_a_floor_counts_healthy_targets_only (void **state)
{
  Snapshot *base = apply_intent (snapshot_create_empty (), two_targets);
  Plan *fine = make_plan (base, "{\"drain\":[\"a\"]}", NULL);
  Plan *breaking = make_plan (base, "{\"drain\":[\"a\"]}", "b");
  Plan *harmless = make_plan (base, "{\"drain\":[\"b\"]}", "b");

  assert_false (plan_is_refused (fine));
  assert_true (plan_is_refused (breaking));
  assert_false (plan_is_refused (harmless));
  plan_destroy (fine);
  plan_destroy (breaking);
  plan_destroy (harmless);
  snapshot_unref (base);
}

static void
test_full_size_loads_and_one_change_touches_one_part (void **state)
{
  GString *intent = g_string_new ("{\"accounts\":[");
  Snapshot *snapshot = apply_intent (snapshot_create_empty (), two_targets);
  Plan *plan;

  for (guint i = 0; i < ACCOUNTS; i++)
    g_string_append_printf (
        intent, "%s{\"id\":\"g%u\",\"tenant\":\"w\",\"keys_sha256\":[\"%064x\"]}",
        i ? "," : "", i, i);
  g_string_append (intent, "],\"routes\":[");
  for (guint i = 0; i < ROUTES; i++)
    g_string_append_printf (intent, "%s{\"prefix\":\"/r/%u\",\"service\":\"pay\"}",
                            i ? "," : "", i);
  g_string_append (intent, "]}");
  snapshot = apply_intent (snapshot, intent->str);
  assert_int_equal (snapshot_account_count (snapshot), ACCOUNTS);
  assert_int_equal (snapshot_route_count (snapshot), ROUTES + 4);
  assert_non_null (snapshot_account (snapshot, "g43999"));
  assert_null (snapshot_account (snapshot, "g44000"));
  assert_string_equal (snapshot_route (snapshot, "", "/r/16999/x", "GET")->prefix,
                       "/r/16999");
  plan = make_plan (snapshot,
                    "{\"routes\":[{\"prefix\":\"/r/5\",\"service\":\"pay\","
                    "\"class\":\"new\"}]}",
                    NULL);
  assert_int_equal (plan_parts (plan)->len, 1);
  for (guint i = 0; i < plan_parts (plan)->len; i++)
    assert_true (g_bytes_get_size (config_part_text (
                     g_ptr_array_index (plan_parts (plan), i))) < 1000000);
  plan_destroy (plan);
  snapshot_unref (snapshot);
  g_string_free (intent, TRUE);
}

/* An evacuation takes all targets of a hall out of service and no others. Taking the hall
   back restores them. */
static void
test_a_hall_is_evacuated_and_taken_back (void **state)
{
  static const char first[] =
      "{\"services\":[{\"name\":\"s\",\"tenant\":\"t\",\"floor_slots\":2,\"targets\":["
      "{\"name\":\"a1\",\"vm\":\"v1\",\"hall\":\"a\",\"address\":\"127.0.0.1:1\","
      "\"slots\":2},"
      "{\"name\":\"a2\",\"vm\":\"v2\",\"hall\":\"a\",\"address\":\"127.0.0.1:2\","
      "\"slots\":2},"
      "{\"name\":\"b1\",\"vm\":\"v3\",\"hall\":\"b\",\"address\":\"127.0.0.1:3\","
      "\"slots\":2}"
      "]}]}";
  Snapshot *snapshot = apply_intent (snapshot_create_empty (), first);
  JsonFaults *faults = json_faults_create ();

  assert_int_equal (service_slots (snapshot_service (snapshot, "s")), 6);
  snapshot = apply_intent (snapshot, "{\"evacuate\":[\"a\"]}");
  assert_int_equal (service_slots (snapshot_service (snapshot, "s")), 2);
  assert_int_equal (service_target (snapshot_service (snapshot, "s"), "b1")->state,
                    TARGET_SERVING);
  snapshot = apply_intent (snapshot, "{\"take_back\":[\"a\"]}");
  assert_int_equal (service_slots (snapshot_service (snapshot, "s")), 6);
  assert_null (
      plan_create (snapshot, "{\"evacuate\":[\"c\"]}", -1, healthy, NULL, faults));
  assert_true (g_str_has_prefix (json_faults_get (faults, 0), "$.evacuate[0]"));
  json_faults_destroy (faults);
  snapshot_unref (snapshot);
}

/* A target in a hall that the platform has evacuated has a state that no intent gives. */
static void
test_a_plan_for_a_service_in_an_evacuated_hall (void **state)
{
  static const char first[] =
      "{\"services\":[{\"name\":\"s\",\"tenant\":\"t\",\"targets\":["
      "{\"name\":\"a1\",\"vm\":\"v1\",\"hall\":\"a\",\"address\":\"127.0.0.1:1\","
      "\"slots\":2},"
      "{\"name\":\"a2\",\"vm\":\"v2\",\"hall\":\"a\",\"address\":\"127.0.0.1:2\","
      "\"slots\":2}]}]}";
  Snapshot *base = apply_intent (snapshot_create_empty (), first);
  Evacuations *evacuations = evacuations_create ();
  g_autoptr (GHashTable) targets = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GPtrArray) halls = g_ptr_array_new ();
  g_autofree char *text = NULL;
  Snapshot *snapshot;
  Plan *plan;

  g_ptr_array_add (halls, (gpointer) "a");
  evacuations_update (evacuations, 1, 1, halls);
  snapshot = snapshot_with_targets (base, targets, evacuations);
  assert_int_equal (service_target (snapshot_service (snapshot, "s"), "a1")->state,
                    TARGET_EVACUATED);
  plan = make_plan (snapshot, "{\"drain\":[\"a1\"]}", NULL);
  text = plan_text (plan);
  assert_non_null (strstr (text, "state of target a1 changes from evacuated to leaving"));
  /* The plan leaves the hall as it is. */
  assert_null (strstr (text, "target a2"));
  plan_destroy (plan);
  snapshot_unref (snapshot);
  snapshot_unref (base);
  evacuations_destroy (evacuations);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_a_hall_is_evacuated_and_taken_back),
    cmocka_unit_test (test_a_plan_for_a_service_in_an_evacuated_hall),
    cmocka_unit_test (test_faults_name_their_path),
    cmocka_unit_test (test_longest_prefix_by_whole_segments),
    cmocka_unit_test (test_plan_id_depends_on_result_and_base),
    cmocka_unit_test (test_plan_below_a_floor_counts_healthy_targets_only),
    cmocka_unit_test (test_full_size_loads_and_one_change_touches_one_part),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
