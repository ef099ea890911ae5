/* Tests of targets that register themselves, and of routes split among services. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#include <core/directory.h>
#include <core/plan.h>
#include <core/split.h>

static const char intent_text[] =
    "{\"services\":[{\"name\":\"pay\",\"tenant\":\"t\",\"dynamic\":true,"
    "\"floor_percent\":70},{\"name\":\"pay2\",\"tenant\":\"t\",\"dynamic\":true}],"
    "\"routes\":[{\"host\":\"h\",\"prefix\":\"/p/\",\"methods\":[\"*\"],\"attempts\":2,"
    "\"split\":[{\"service\":\"pay\",\"weight\":90},{\"service\":\"pay2\",\"weight\":10}]"
    "},"
    "{\"host\":\"h\",\"prefix\":\"/one\",\"service\":\"pay\"}]}";

static Snapshot *
snapshot_of (const char *intent)
{
  JsonFaults *faults = json_faults_create ();
  Snapshot *empty = snapshot_create_empty ();
  Plan *plan = plan_create (empty, intent, (gssize)strlen (intent), NULL, NULL, faults);
  g_autoptr (GHashTable) parts = g_hash_table_new (g_str_hash, g_str_equal);
  Snapshot *snapshot;

  assert_non_null (plan);
  for (guint i = 0; i < plan_parts (plan)->len; i++)
    {
      ConfigPart *part = g_ptr_array_index (plan_parts (plan), i);

      g_hash_table_insert (parts, (char *)config_part_digest (part), part);
    }
  snapshot = snapshot_create (plan_head (plan), parts);
  assert_non_null (snapshot);
  plan_destroy (plan);
  snapshot_unref (empty);
  json_faults_destroy (faults);
  return snapshot;
}

static void
test_registered_targets_belong_to_their_service (void **state)
{
  Snapshot *base = snapshot_of (intent_text);
  Evacuations *none = evacuations_create ();
  Directory *directory = directory_create ();
  Registration words = { "i-1", "pay", "", 4, FALSE };
  Snapshot *snapshot;
  const Service *service;

  assert_true (directory_set (directory, "vm-1", "hall", &words));
  assert_false (directory_set (directory, "vm-1", "hall", &words));
  words.name = "i-2";
  words.leaving = TRUE;
  assert_true (directory_set (directory, "vm-2", "hall", &words));
  snapshot = snapshot_with_targets (base, directory_targets (directory), none);
  evacuations_destroy (none);
  service = snapshot_service (snapshot, "pay");
  assert_int_equal (service->targets->len, 2);
  assert_string_equal (service_target (service, "i-1")->vm, "vm-1");
  assert_int_equal (service_target (service, "i-2")->state, TARGET_LEAVING);
  assert_int_equal (service_slots (service), 4);
  assert_int_equal (snapshot_service (snapshot, "pay2")->targets->len, 0);
  assert_int_equal (snapshot_generation (snapshot), snapshot_generation (base));
  snapshot_unref (base);
  snapshot_unref (snapshot);
  directory_destroy (directory);
}

static void
test_a_restart_replaces_and_a_departure_removes (void **state)
{
  Directory *directory = directory_create ();
  Registration words = { "i-1", "pay", "", 4, FALSE };
  GPtrArray *targets;

  directory_set (directory, "vm-1", "hall", &words);
  words.name = "i-9";
  words.service = "pay2";
  assert_true (directory_set (directory, "vm-1", "hall", &words));
  assert_null (g_hash_table_lookup (directory_targets (directory), "pay"));
  targets = g_hash_table_lookup (directory_targets (directory), "pay2");
  assert_int_equal (targets->len, 1);
  assert_true (directory_set (directory, "vm-1", "hall", NULL));
  assert_false (directory_set (directory, "vm-1", "hall", NULL));
  assert_int_equal (g_hash_table_size (directory_targets (directory)), 0);
  directory_destroy (directory);
}

static void
test_shares_follow_the_weights (void **state)
{
  Snapshot *snapshot = snapshot_of (intent_text);
  const Route *route = snapshot_route (snapshot, "h", "/p/x", "BREW");
  g_autoptr (GRand) rand = g_rand_new_with_seed (1);
  Splitter *splitter = splitter_create (rand);
  guint second = 0;

  assert_non_null (route);
  assert_int_equal (route->attempts, 2);
  for (guint i = 0; i < 100; i++)
    second += strcmp (splitter_pick (splitter, route), "pay2") == 0;
  assert_int_equal (second, 10);
  splitter_destroy (splitter);
  snapshot_unref (snapshot);
}

/* With two requests at each of 100 nodes, the service with a weight of 10 % still gets
   about a tenth of them. */
static void
test_shares_follow_the_weights_over_a_fleet (void **state)
{
  Snapshot *snapshot = snapshot_of (intent_text);
  const Route *route = snapshot_route (snapshot, "h", "/p/x", "BREW");
  g_autoptr (GRand) rand = g_rand_new_with_seed (7);
  guint second = 0;

  for (guint node = 0; node < 100; node++)
    {
      Splitter *splitter = splitter_create (rand);

      for (guint i = 0; i < 2; i++)
        second += strcmp (splitter_pick (splitter, route), "pay2") == 0;
      splitter_destroy (splitter);
    }
  assert_in_range (second, 10, 30);
  snapshot_unref (snapshot);
}

static void
test_only_a_wildcard_covers_unknown_methods (void **state)
{
  Snapshot *snapshot = snapshot_of (intent_text);

  assert_non_null (snapshot_route (snapshot, "h", "/one", "GET"));
  assert_null (snapshot_route (snapshot, "h", "/one", "BREW"));
  snapshot_unref (snapshot);
}

static void
test_a_dynamic_service_with_targets_is_rejected (void **state)
{
  static const char text[] =
      "{\"services\":[{\"name\":\"s\",\"tenant\":\"t\",\"dynamic\":true,\"targets\":["
      "{\"name\":\"a\",\"vm\":\"v\",\"hall\":\"h\",\"address\":\"127.0.0.1:1\","
      "\"slots\":1}]}]}";
  JsonFaults *faults = json_faults_create ();
  Snapshot *empty = snapshot_create_empty ();

  assert_null (plan_create (empty, text, sizeof text - 1, NULL, NULL, faults));
  assert_true (json_faults_count (faults) > 0);
  snapshot_unref (empty);
  json_faults_destroy (faults);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_registered_targets_belong_to_their_service),
    cmocka_unit_test (test_a_restart_replaces_and_a_departure_removes),
    cmocka_unit_test (test_shares_follow_the_weights),
    cmocka_unit_test (test_shares_follow_the_weights_over_a_fleet),
    cmocka_unit_test (test_only_a_wildcard_covers_unknown_methods),
    cmocka_unit_test (test_a_dynamic_service_with_targets_is_rejected),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
