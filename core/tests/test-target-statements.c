/* Tests what an ingress remembers of what targets have stated. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <core/balancer.h>
#include <core/target-statements.h>

#define RATE_KEPT_US (600 * SECOND_US)
#define LEAVING_KEPT_US (3600 * SECOND_US)
/* More entries than are kept. */
#define MANY 17000u

static void
test_a_rate_is_remembered_until_a_sidecar_knows_better (void **state)
{
  Clock *clock = clock_create_manual (SECOND_US);
  TargetStatements *statements = target_statements_create (clock);
  double per_s = 0;

  assert_false (target_statements_rate (statements, "i-0", &per_s));
  target_statements_note_rate (statements, "i-0", NAMED_RATE_IN_FORCE, 1.4);
  target_statements_note_rate (statements, "i-0", NAMED_RATE_UNKNOWN, 0);
  assert_true (target_statements_rate (statements, "i-0", &per_s));
  assert_true (per_s == 1.4);
  assert_false (target_statements_rate (statements, "i-1", &per_s));
  target_statements_note_rate (statements, "i-0", NAMED_RATE_NONE, 0);
  assert_false (target_statements_rate (statements, "i-0", &per_s));
  target_statements_destroy (statements);
  clock_destroy (clock);
}

static void
test_statements_expire_and_are_bounded (void **state)
{
  Clock *clock = clock_create_manual (SECOND_US);
  TargetStatements *statements = target_statements_create (clock);
  double per_s = 0;

  target_statements_note_rate (statements, "i-old", NAMED_RATE_IN_FORCE, 1);
  target_statements_note_leaving (statements, "i-leaving");
  clock_advance (clock, RATE_KEPT_US);
  assert_true (target_statements_rate (statements, "i-old", &per_s));
  clock_advance (clock, 1);
  assert_false (target_statements_rate (statements, "i-old", &per_s));
  clock_advance (clock, LEAVING_KEPT_US - RATE_KEPT_US - 1);
  assert_true (target_statements_is_leaving (statements, "i-leaving"));
  clock_advance (clock, 1);
  assert_false (target_statements_is_leaving (statements, "i-leaving"));
  for (guint i = 0; i < MANY; i++)
    {
      g_autofree char *name = g_strdup_printf ("i-%u", i);

      target_statements_note_rate (statements, name, NAMED_RATE_IN_FORCE, 1);
      clock_advance (clock, 1);
    }
  assert_false (target_statements_rate (statements, "i-0", &per_s));
  assert_true (target_statements_rate (statements, "i-16999", &per_s));
  target_statements_destroy (statements);
  clock_destroy (clock);
}

/* A balancer, and a service with one target. */
typedef struct
{
  Clock *clock;
  GRand *rand;
  Balancer *balancer;
  Target target;
  Service service;
} Fixture;

static void
setup (Fixture *fixture)
{
  *fixture = (Fixture){ .clock = clock_create_manual (SECOND_US),
                        .rand = g_rand_new_with_seed (1) };
  fixture->balancer = balancer_create ("h", fixture->rand, fixture->clock);
  fixture->target = (Target){
    .name = (char *)"i-0", .vm = (char *)"vm-0", .hall = (char *)"h", .slots = 4
  };
  fixture->service = (Service){ .name = (char *)"s", .targets = g_ptr_array_new () };
  g_ptr_array_add (fixture->service.targets, &fixture->target);
}

static void
teardown (Fixture *fixture)
{
  g_ptr_array_unref (fixture->service.targets);
  balancer_destroy (fixture->balancer);
  g_rand_free (fixture->rand);
  clock_destroy (fixture->clock);
}

static const Target *
choice (const Fixture *fixture)
{
  const BalancerCriteria criteria = { .halls = BALANCER_BY_LOAD };

  return balancer_choose (fixture->balancer, &fixture->service, &criteria).target;
}

static gboolean
is_leaving (const Fixture *fixture)
{
  return balancer_status (fixture->balancer, &fixture->service, &fixture->target)
      .report.draining;
}

/* A report of the sidecar's next incarnation, which knows nothing yet, does not end it.
 */
static void
test_a_rate_outlives_the_sidecar (void **state)
{
  TargetReport named = { .target = "i-0",
                         .incarnation = 1,
                         .serial = 1,
                         .rate_state = NAMED_RATE_IN_FORCE,
                         .rate_per_s = 1.4 };
  TargetReport started = { .target = "i-0", .incarnation = 2, .serial = 1 };
  TargetVerdict verdict = { .incarnation = 3, .serial = 1 };
  double per_s = 0;
  Fixture fixture;

  setup (&fixture);
  balancer_note_report (fixture.balancer, &named);
  balancer_note_report (fixture.balancer, &started);
  balancer_note_verdict (fixture.balancer, "i-0", &verdict);
  assert_true (balancer_named_rate (fixture.balancer, "i-0", &per_s));
  assert_true (per_s == 1.4);
  teardown (&fixture);
}

/* Gossip with a later serial may overtake the answer that carries the report. */
static void
test_an_outdated_report_still_counts (void **state)
{
  TargetReport first = { .target = "i-0", .incarnation = 1, .serial = 1 };
  TargetVerdict verdict = { .incarnation = 1, .serial = 9 };
  TargetReport late = { .target = "i-0",
                        .incarnation = 1,
                        .serial = 8,
                        .rate_state = NAMED_RATE_IN_FORCE,
                        .rate_per_s = 1.4,
                        .announced_leaving = TRUE };
  double per_s = 0;
  Fixture fixture;

  setup (&fixture);
  balancer_note_report (fixture.balancer, &first);
  balancer_note_verdict (fixture.balancer, "i-0", &verdict);
  balancer_note_report (fixture.balancer, &late);
  assert_true (balancer_named_rate (fixture.balancer, "i-0", &per_s));
  assert_true (is_leaving (&fixture));
  late.rate_state = NAMED_RATE_NONE;
  balancer_note_report (fixture.balancer, &late);
  assert_true (balancer_named_rate (fixture.balancer, "i-0", &per_s));
  teardown (&fixture);
}

/* The node starts again, and the registration says that the target serves. */
static void
test_a_target_that_announced_leaving_is_not_chosen_again (void **state)
{
  TargetReport leaving = { .target = "i-0",
                           .incarnation = 1,
                           .serial = 1,
                           .rate_state = NAMED_RATE_IN_FORCE,
                           .rate_per_s = 1,
                           .announced_leaving = TRUE };
  TargetReport serving = {
    .target = "i-0", .incarnation = 2, .serial = 1, .rate_state = NAMED_RATE_NONE
  };
  Fixture fixture;

  setup (&fixture);
  balancer_set_member (fixture.balancer, "vm-0", 1, TRUE);
  assert_ptr_equal (choice (&fixture), &fixture.target);
  balancer_note_report (fixture.balancer, &leaving);
  assert_null (choice (&fixture));
  balancer_set_member (fixture.balancer, "vm-0", 1, FALSE);
  balancer_set_member (fixture.balancer, "vm-0", 2, TRUE);
  balancer_note_report (fixture.balancer, &serving);
  assert_null (choice (&fixture));
  assert_true (is_leaving (&fixture));
  teardown (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_a_rate_is_remembered_until_a_sidecar_knows_better),
    cmocka_unit_test (test_statements_expire_and_are_bounded),
    cmocka_unit_test (test_a_rate_outlives_the_sidecar),
    cmocka_unit_test (test_an_outdated_report_still_counts),
    cmocka_unit_test (test_a_target_that_announced_leaving_is_not_chosen_again),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
