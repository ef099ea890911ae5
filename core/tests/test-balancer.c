/* Tests the ingress's choice among healthy, sick, slow and unreachable targets. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#include <core/balancer.h>
#include <core/shedding.h>

#define TARGETS 4u
#define ROUNDS 400u
#define INGRESSES 79u

static const char service_text[] =
    "{\"name\":\"pay\",\"tenant\":\"t\",\"floor_slots\":16,\"detection\":\"strict\","
    "\"targets\":["
    "{\"name\":\"t0\",\"vm\":\"v0\",\"hall\":\"h\",\"address\":\"127.0.0.1:1\",\"slots\":"
    "4},"
    "{\"name\":\"t1\",\"vm\":\"v1\",\"hall\":\"h\",\"address\":\"127.0.0.1:2\",\"slots\":"
    "4},"
    "{\"name\":\"t2\",\"vm\":\"v2\",\"hall\":\"h\",\"address\":\"127.0.0.1:3\",\"slots\":"
    "4},"
    "{\"name\":\"t3\",\"vm\":\"v3\",\"hall\":\"h\",\"address\":\"127.0.0.1:4\",\"slots\":"
    "4}]}";

typedef struct
{
  Clock *clock;
  GRand *rand;
  Balancer *balancer;
  ConfigPart *part;
  const Service *service;
} Fixture;

/* The floor needs all four targets, so that none can be ejected. */
static Fixture
setup (void)
{
  Fixture fixture = { .clock = clock_create_manual (SECOND_US) };
  g_autoptr (GBytes) text = g_bytes_new_static (service_text, sizeof service_text - 1);
  JsonFaults *faults = json_faults_create ();

  fixture.rand = g_rand_new_with_seed (7);
  fixture.balancer = balancer_create ("h", fixture.rand, fixture.clock);
  fixture.part = config_part_parse ("service/pay", text, faults);
  assert_non_null (fixture.part);
  fixture.service = config_part_service (fixture.part);
  json_faults_destroy (faults);
  return fixture;
}

static void
teardown (Fixture *fixture)
{
  balancer_destroy (fixture->balancer);
  config_part_unref (fixture->part);
  g_rand_free (fixture->rand);
  clock_destroy (fixture->clock);
}

static void
report (Fixture *fixture, guint i, guint in_use, guint severity, gboolean slow)
{
  g_autofree char *name = g_strdup_printf ("t%u", i);
  TargetReport words = { .target = name,
                         .incarnation = 1,
                         .serial = 1,
                         .in_use = in_use,
                         .limit = 4,
                         .latency_us = 100000,
                         .severity = severity,
                         .slow = slow };

  balancer_note_report (fixture->balancer, &words);
}

/* Returns how often target `i` is chosen in ROUNDS choices. */
static guint
count_choices (Fixture *fixture, guint i, const GPtrArray *tried)
{
  g_autofree char *name = g_strdup_printf ("t%u", i);
  guint count = 0;

  for (guint n = 0; n < ROUNDS; n++)
    {
      BalancerCriteria criteria = { .tried = tried };
      BalancerChoice choice =
          balancer_choose (fixture->balancer, fixture->service, &criteria);

      if (choice.target && strcmp (choice.target->name, name) == 0)
        count++;
    }
  return count;
}

static void
test_a_failing_target_kept_for_the_floor_gets_no_overflow (void **state)
{
  Fixture fixture = setup ();

  for (guint i = 0; i < TARGETS; i++)
    report (&fixture, i, i == 0 ? 0 : 12, i == 0 ? 100 : 0, FALSE);
  assert_int_equal (count_choices (&fixture, 0, NULL), 0);
  teardown (&fixture);
}

static void
test_a_slow_target_kept_for_the_floor_gets_overflow (void **state)
{
  Fixture fixture = setup ();

  for (guint i = 0; i < TARGETS; i++)
    report (&fixture, i, i == 0 ? 0 : 12, i == 0 ? 100 : 0, TRUE);
  assert_int_equal (count_choices (&fixture, 0, NULL), ROUNDS);
  for (guint i = 1; i < TARGETS; i++)
    report (&fixture, i, 0, 0, FALSE);
  assert_int_equal (count_choices (&fixture, 0, NULL), 0);
  teardown (&fixture);
}

static void
test_a_failing_target_is_not_chosen_after_healthy_ones (void **state)
{
  Fixture fixture = setup ();
  g_autoptr (GPtrArray) tried = g_ptr_array_new ();

  report (&fixture, 0, 0, 100, FALSE);
  for (guint i = 1; i < TARGETS; i++)
    report (&fixture, i, 0, 0, FALSE);
  g_ptr_array_add (tried, "t1");
  g_ptr_array_add (tried, "t2");
  g_ptr_array_add (tried, "t3");
  assert_int_equal (count_choices (&fixture, 0, tried), 0);
  teardown (&fixture);
}

static void
test_with_all_failing_one_is_still_chosen (void **state)
{
  Fixture fixture = setup ();
  BalancerCriteria criteria = { .trial = BALANCER_NO_TRIAL };
  BalancerChoice choice;

  for (guint i = 0; i < TARGETS; i++)
    report (&fixture, i, 0, 100, FALSE);
  choice = balancer_choose (fixture.balancer, fixture.service, &criteria);
  assert_non_null (choice.target);
  assert_true (choice.sick);
  teardown (&fixture);
}

static void
test_a_closed_path_gets_nothing_until_it_opens (void **state)
{
  Fixture fixture = setup ();

  balancer_set_path (fixture.balancer, "v2", FALSE);
  assert_int_equal (count_choices (&fixture, 2, NULL), 0);
  clock_advance (fixture.clock, 60 * SECOND_US);
  assert_int_equal (count_choices (&fixture, 2, NULL), 0);
  balancer_set_path (fixture.balancer, "v2", TRUE);
  assert_true (count_choices (&fixture, 2, NULL) > 0);
  teardown (&fixture);
}

static guint
trials (Fixture *fixture, BalancerTrial trial, gint64 span_us)
{
  BalancerCriteria criteria = { .trial = trial };
  guint count = 0;

  for (gint64 t = 0; t < span_us; t += 20 * MS_US)
    {
      clock_advance (fixture->clock, 20 * MS_US);
      count += balancer_choose (fixture->balancer, fixture->service, &criteria).trial;
    }
  return count;
}

static void
test_trials_are_paced (void **state)
{
  Fixture fixture = setup ();

  report (&fixture, 0, 0, 100, FALSE);
  assert_int_equal (trials (&fixture, BALANCER_NO_TRIAL, 10 * SECOND_US), 0);
  /* Five trials a second in the own hall; the sidecar admits one at a time. */
  assert_in_range (trials (&fixture, BALANCER_TRIAL_DUE, 20 * SECOND_US), 75, 125);
  teardown (&fixture);
}

/* All ingresses of other halls together make about two trials a second. */
static void
test_trials_in_other_halls_are_shared (void **state)
{
  Fixture fixture = setup ();
  Balancer *own = fixture.balancer;

  fixture.balancer = balancer_create ("elsewhere", fixture.rand, fixture.clock);
  balancer_set_ingresses (fixture.balancer, 4);
  report (&fixture, 0, 0, 100, FALSE);
  assert_in_range (trials (&fixture, BALANCER_TRIAL_DUE, 80 * SECOND_US), 25, 60);
  balancer_destroy (fixture.balancer);
  fixture.balancer = own;
  teardown (&fixture);
}

/* The first trial comes within 2 s in a large fleet too, so that healthy targets ejected
   by mistake soon get requests again. */
static void
test_a_large_fleet_starts_trials_soon (void **state)
{
  guint count = 0;

  for (guint i = 0; i < INGRESSES; i++)
    {
      Fixture fixture = setup ();
      Balancer *own = fixture.balancer;

      g_rand_set_seed (fixture.rand, i);
      fixture.balancer = balancer_create ("elsewhere", fixture.rand, fixture.clock);
      balancer_set_ingresses (fixture.balancer, INGRESSES);
      report (&fixture, 0, 0, 100, FALSE);
      count += trials (&fixture, BALANCER_TRIAL_DUE, 2 * SECOND_US);
      balancer_destroy (fixture.balancer);
      fixture.balancer = own;
      teardown (&fixture);
    }
  assert_in_range (count, 1, 8);
}

static void
test_the_preferred_halls_are_chosen_first (void **state)
{
  Fixture fixture = setup ();
  Balancer *foreign = balancer_create ("elsewhere", fixture.rand, fixture.clock);
  BalancerCriteria own = { .halls = BALANCER_OWN_FIRST };
  BalancerCriteria others = { .halls = BALANCER_OTHERS_FIRST };

  assert_true (balancer_choose (fixture.balancer, fixture.service, &own).local);
  /* Without a target of the preferred kind, one of the other kind is chosen. */
  assert_true (balancer_choose (fixture.balancer, fixture.service, &others).local);
  assert_false (balancer_choose (foreign, fixture.service, &own).local);
  balancer_destroy (foreign);
  teardown (&fixture);
}

static void
shed (Fixture *fixture, guint i)
{
  g_autofree char *name = g_strdup_printf ("t%u", i);
  TargetVerdict verdict = { .incarnation = 1, .serial = 2, .shedding = TRUE };

  balancer_note_verdict (fixture->balancer, name, &verdict);
}

/* By default a target that sheds load is chosen only when all others have been tried. */
static void
test_shedding_targets_are_chosen_last (void **state)
{
  Fixture fixture = setup ();
  g_autoptr (GPtrArray) tried = g_ptr_array_new ();
  BalancerCriteria never = { .shedding = BALANCER_SHEDDING_NEVER, .tried = tried };
  BalancerCriteria only = { .shedding = BALANCER_SHEDDING_ONLY };

  for (guint i = 0; i < TARGETS; i++)
    report (&fixture, i, 0, 0, FALSE);
  assert_null (balancer_choose (fixture.balancer, fixture.service, &only).target);
  shed (&fixture, 0);
  shed (&fixture, 1);
  assert_int_equal (count_choices (&fixture, 0, NULL) + count_choices (&fixture, 1, NULL),
                    0);
  g_ptr_array_add (tried, "t2");
  g_ptr_array_add (tried, "t3");
  assert_null (balancer_choose (fixture.balancer, fixture.service, &never).target);
  assert_true (count_choices (&fixture, 0, tried) > 0);
  assert_non_null (balancer_choose (fixture.balancer, fixture.service, &only).target);
  teardown (&fixture);
}

static void
test_a_doubtful_node_is_chosen_last (void **state)
{
  Fixture fixture = setup ();
  g_autoptr (GPtrArray) tried = g_ptr_array_new ();

  balancer_doubt_path (fixture.balancer, "v0");
  assert_int_equal (count_choices (&fixture, 0, NULL), 0);
  g_ptr_array_add (tried, "t1");
  g_ptr_array_add (tried, "t2");
  g_ptr_array_add (tried, "t3");
  assert_int_equal (count_choices (&fixture, 0, tried), ROUNDS);
  balancer_note_path (fixture.balancer, "v0", TRUE);
  assert_true (count_choices (&fixture, 0, NULL) > 0);
  /* Doubt expires after a second: the request that pinged the node may be gone before the
     answer arrives. */
  balancer_doubt_path (fixture.balancer, "v0");
  assert_int_equal (count_choices (&fixture, 0, NULL), 0);
  clock_advance (fixture.clock, SECOND_US);
  assert_true (count_choices (&fixture, 0, NULL) > 0);
  teardown (&fixture);
}

static void
test_a_target_sheds_for_a_while_after_a_refusal (void **state)
{
  Clock *clock = clock_create_manual (SECOND_US);
  Shedding *shedding = shedding_create (clock);

  assert_false (shedding_is_on (shedding));
  shedding_note (shedding);
  assert_true (shedding_is_on (shedding));
  clock_advance (clock, 2 * SECOND_US);
  assert_false (shedding_is_on (shedding));
  /* A second refusal soon afterwards keeps the target shedding for 4 s instead of 2 s. */
  shedding_note (shedding);
  clock_advance (clock, 3 * SECOND_US);
  assert_true (shedding_is_on (shedding));
  clock_advance (clock, SECOND_US);
  assert_false (shedding_is_on (shedding));
  shedding_destroy (shedding);
  clock_destroy (clock);
}

/* A choice is `abrupt` when at least three, and most, of the service's sick targets break
   off requests at once. Only then does a kept request prove health (core/proof.h). */
static void
test_abrupt_failures_differ_from_hanging (void **state)
{
  static const struct
  {
    guint abrupt;
    guint hanging;
    gboolean expected;
  } cases[] = { { 0, 0, FALSE }, { 2, 0, FALSE }, { 3, 0, TRUE },
                { 3, 1, TRUE },  { 1, 3, FALSE }, { 0, 4, FALSE } };
  const BalancerCriteria criteria = { BALANCER_NO_TRIAL, BALANCER_OWN_FIRST,
                                      BALANCER_SHEDDING_LAST, NULL };

  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      Fixture fixture = setup ();

      for (guint j = 0; j < cases[i].abrupt + cases[i].hanging; j++)
        {
          g_autofree char *name = g_strdup_printf ("t%u", j);
          TargetVerdict verdict = {
            .incarnation = 1, .serial = 1, .severity = 100, .abrupt = j < cases[i].abrupt
          };

          balancer_note_verdict (fixture.balancer, name, &verdict);
        }
      assert_int_equal (
          balancer_choose (fixture.balancer, fixture.service, &criteria).abrupt,
          cases[i].expected);
      teardown (&fixture);
    }
}

/* Reports of all targets that every slot is taken and that `queued` requests wait. */
static void
report_all_full (Fixture *fixture, guint queued, guint latency_us)
{
  for (guint i = 0; i < TARGETS; i++)
    {
      g_autofree char *name = g_strdup_printf ("t%u", i);
      TargetReport words = { .target = name,
                             .incarnation = 1,
                             .serial = 1,
                             .in_use = 4,
                             .limit = 4,
                             .queued = queued,
                             .latency_us = latency_us };

      balancer_note_report (fixture->balancer, &words);
    }
}

/* Four requests start before another one, at 25 ms each. */
static void
test_full_targets_are_asked_over_and_over (void **state)
{
  Fixture fixture = setup ();
  BalancerCriteria criteria = { .needs_slot = TRUE };

  report_all_full (&fixture, 3, 100000);
  assert_null (balancer_choose (fixture.balancer, fixture.service, &criteria).target);
  /* A place in a queue is another matter. */
  criteria.needs_slot = FALSE;
  assert_non_null (balancer_choose (fixture.balancer, fixture.service, &criteria).target);
  criteria.needs_slot = TRUE;
  clock_advance (fixture.clock, 49 * MS_US);
  assert_null (balancer_choose (fixture.balancer, fixture.service, &criteria).target);
  clock_advance (fixture.clock, 51 * MS_US);
  assert_non_null (balancer_choose (fixture.balancer, fixture.service, &criteria).target);
  teardown (&fixture);
}

/* It was full once, with so many waiting that they take minutes. */
static void
test_a_full_target_is_not_asked_for_minutes (void **state)
{
  Fixture fixture = setup ();
  BalancerCriteria criteria = { .needs_slot = TRUE };

  report_all_full (&fixture, 100, 10000000);
  assert_null (balancer_choose (fixture.balancer, fixture.service, &criteria).target);
  clock_advance (fixture.clock, SECOND_US);
  assert_non_null (balancer_choose (fixture.balancer, fixture.service, &criteria).target);
  teardown (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_full_targets_are_asked_over_and_over),
    cmocka_unit_test (test_a_full_target_is_not_asked_for_minutes),
    cmocka_unit_test (test_a_failing_target_kept_for_the_floor_gets_no_overflow),
    cmocka_unit_test (test_a_slow_target_kept_for_the_floor_gets_overflow),
    cmocka_unit_test (test_a_failing_target_is_not_chosen_after_healthy_ones),
    cmocka_unit_test (test_with_all_failing_one_is_still_chosen),
    cmocka_unit_test (test_a_closed_path_gets_nothing_until_it_opens),
    cmocka_unit_test (test_trials_are_paced),
    cmocka_unit_test (test_trials_in_other_halls_are_shared),
    cmocka_unit_test (test_a_large_fleet_starts_trials_soon),
    cmocka_unit_test (test_the_preferred_halls_are_chosen_first),
    cmocka_unit_test (test_shedding_targets_are_chosen_last),
    cmocka_unit_test (test_a_doubtful_node_is_chosen_last),
    cmocka_unit_test (test_a_target_sheds_for_a_while_after_a_refusal),
    cmocka_unit_test (test_abrupt_failures_differ_from_hanging),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
