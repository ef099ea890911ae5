/* Tests that ejections never push the capacity in service below the floor, under seeded
 * schedules of verdicts, departures and reconfigurations. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <string.h>

#include <core/balancer.h>
#include <core/eject.h>

#define SCHEDULES 5000
#define STEPS 40
#define TARGETS_MAX 12

/* Returns a snapshot of one service with `count` targets. */
static Snapshot *
make_snapshot (guint64 generation, guint count, guint floor, GRand *rand)
{
  g_autoptr (GString) text = g_string_new (NULL);
  g_autoptr (GHashTable) parts = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GBytes) bytes = NULL;
  JsonFaults *faults = json_faults_create ();
  ConfigHead *head = config_head_create (generation);
  ConfigPart *part;
  Snapshot *snapshot;

  g_string_append_printf (
      text, "{\"name\":\"pay\",\"tenant\":\"t\",\"floor_slots\":%u,\"targets\":[", floor);
  for (guint i = 0; i < count; i++)
    g_string_append_printf (text,
                            "%s{\"name\":\"t%u\",\"vm\":\"vm%u\",\"hall\":\"h%u\","
                            "\"address\":\"127.0.0.1:1\",\"slots\":10,\"state\":\"%s\"}",
                            i ? "," : "", i, i, i % 3,
                            g_rand_int_range (rand, 0, 8) ? "serving" : "leaving");
  g_string_append (text, "]}");
  bytes = g_bytes_new (text->str, text->len);
  part = config_part_parse ("service/pay", bytes, faults);
  if (!part)
    fail_msg ("%s", json_faults_get (faults, 0));
  g_hash_table_insert (head->parts, g_strdup ("service/pay"),
                       g_strdup (config_part_digest (part)));
  g_hash_table_insert (parts, (char *)config_part_digest (part), part);
  snapshot = snapshot_create (head, parts);
  config_part_unref (part);
  config_head_destroy (head);
  json_faults_destroy (faults);
  return snapshot;
}

/* Checks that only targets which serve, are not draining and are reachable are ejected,
   and that the slots left in service are at or above the floor. */
static void
check_floor (Balancer *balancer, const Service *service, guint seed)
{
  guint available = 0;
  guint in_service = 0;

  for (guint i = 0; i < service->targets->len; i++)
    {
      const Target *target = g_ptr_array_index (service->targets, i);
      TargetStatus status = balancer_status (balancer, service, target);

      if (target->state == TARGET_LEAVING || status.report.draining || !status.alive ||
          !status.path_open)
        {
          assert_false (status.ejected);
          continue;
        }
      available += target->slots;
      if (!status.ejected)
        in_service += target->slots;
    }
  if (in_service < MIN (available, MAX (service->floor_slots, 1)))
    fail_msg ("schedule %u: %u of %u slots in service, floor %u", seed, in_service,
              available, service->floor_slots);
}

/* Checks that an ejected target is chosen only as the trial of a repeatable request. */
static void
check_choice (Balancer *balancer, const Service *service, gboolean repeatable)
{
  BalancerCriteria criteria = { .trial =
                                    repeatable ? BALANCER_TRIAL_DUE : BALANCER_NO_TRIAL };
  BalancerChoice choice = balancer_choose (balancer, service, &criteria);
  TargetStatus status;

  if (!choice.target)
    return;
  status = balancer_status (balancer, service, choice.target);
  assert_true (choice.target->state == TARGET_SERVING);
  if (status.ejected)
    assert_true (repeatable && choice.trial);
}

static void
step (Balancer *balancer, const Service *service, GRand *rand, Clock *clock, guint serial)
{
  const Target *target = g_ptr_array_index (
      service->targets, (guint)g_rand_int_range (rand, 0, (gint32)service->targets->len));
  TargetReport report = { .target = target->name, .incarnation = 1, .serial = serial };
  TargetVerdict verdict = { .incarnation = 1, .serial = serial };

  switch (g_rand_int_range (rand, 0, 6))
    {
    case 0:
      balancer_set_member (balancer, target->vm, 1, g_rand_boolean (rand));
      break;
    case 1:
      balancer_note_path (balancer, target->vm, g_rand_boolean (rand));
      break;
    case 2:
      verdict.severity = (guint)g_rand_int_range (rand, 0, 3) * 100;
      verdict.draining = g_rand_int_range (rand, 0, 6) == 0;
      verdict.shedding = g_rand_boolean (rand);
      balancer_note_verdict (balancer, target->name, &verdict);
      break;
    case 3:
      clock_advance (clock, g_rand_int_range (rand, 0, 3000) * MS_US);
      break;
    default:
      report.severity = (guint)g_rand_int_range (rand, 0, 4) * 100;
      report.draining = g_rand_int_range (rand, 0, 8) == 0;
      balancer_note_report (balancer, &report);
      break;
    }
}

static void
run_schedule (guint seed)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
  Clock *clock = clock_create_manual (0);
  Balancer *balancer = balancer_create ("h0", rand, clock);
  Snapshot *snapshot = NULL;

  for (guint i = 0; i < STEPS; i++)
    {
      const Service *service;

      if (i % 10 == 0)
        {
          guint count = (guint)g_rand_int_range (rand, 1, TARGETS_MAX);

          g_clear_pointer (&snapshot, snapshot_unref);
          snapshot = make_snapshot (
              i + 1, count, (guint)g_rand_int_range (rand, 0, (gint32)count * 10 + 1),
              rand);
          balancer_prune (balancer, snapshot);
        }
      service = snapshot_service (snapshot, "pay");
      step (balancer, service, rand, clock, i + 1);
      check_floor (balancer, service, seed);
      check_choice (balancer, service, g_rand_boolean (rand));
    }
  snapshot_unref (snapshot);
  balancer_destroy (balancer);
  clock_destroy (clock);
}

static void
test_no_schedule_breaks_a_floor (void **state)
{
  for (guint seed = 1; seed <= SCHEDULES; seed++)
    run_schedule (seed);
}

static void
test_worst_goes_first_and_equals_by_name (void **state)
{
  EjectItem items[] = {
    { "c", 10, 200, TRUE, FALSE },  { "a", 10, 200, TRUE, FALSE },
    { "d", 10, 900, TRUE, FALSE },  { "b", 10, 0, TRUE, FALSE },
    { "e", 10, 999, FALSE, FALSE },
  };

  assert_int_equal (eject_apply (items, 5, 20), 20);
  assert_false (items[0].ejected);
  assert_true (items[1].ejected);
  assert_true (items[2].ejected);
  assert_false (items[3].ejected);
  assert_false (items[4].ejected);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_no_schedule_breaks_a_floor),
    cmocka_unit_test (test_worst_goes_first_and_equals_by_name),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
