/* Tests how answers to probes change a member's status. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#include <core/members.h>

typedef struct
{
  Clock *clock;
  GRand *rand;
  Members *members;
} Fixture;

/* Creates node "a", which knows node "b" of the same hall. */
static Fixture
setup_seeded (guint32 seed)
{
  static const char *const no_seeds[] = { NULL };
  Member self = { .node = "a", .hall = "h", .address = "127.0.0.1:1", .incarnation = 1 };
  Member other = { .node = "b",
                   .hall = "h",
                   .address = "127.0.0.1:2",
                   .incarnation = 2,
                   .epoch = 1,
                   .status = MEMBER_ALIVE };
  Fixture fixture = { clock_create_manual (SECOND_US), g_rand_new_with_seed (seed),
                      NULL };

  fixture.members = members_create (&self, no_seeds, &members_timing_default,
                                    fixture.rand, fixture.clock);
  assert_true (members_merge (fixture.members, &other));
  return fixture;
}

static Fixture
setup (void)
{
  return setup_seeded (1);
}

static void
teardown (Fixture *fixture)
{
  members_destroy (fixture->members);
  g_rand_free (fixture->rand);
  clock_destroy (fixture->clock);
}

/* Sends the next probe, which goes to "b", and returns its sequence number. */
static guint
probe (Fixture *fixture)
{
  g_autoptr (GPtrArray) actions = members_tick (fixture->members);
  const MembersAction *action;

  assert_int_equal (actions->len, 1);
  action = g_ptr_array_index (actions, 0);
  assert_int_equal (action->kind, MEMBERS_PROBE);
  assert_string_equal (action->subject, "b");
  return action->sequence;
}

static MemberStatus
status_of_b (const Fixture *fixture)
{
  return members_find (fixture->members, "b")->status;
}

static void
test_an_own_answer_keeps_a_member_alive (void **state)
{
  Fixture fixture = setup ();

  members_answered (fixture.members, probe (&fixture), "b");
  clock_advance (fixture.clock, members_timing_default.period_us);
  probe (&fixture);
  assert_int_equal (status_of_b (&fixture), MEMBER_ALIVE);
  teardown (&fixture);
}

/* The member's VM was replaced, and the VM that took over its address answers probes. */
static void
test_an_answer_under_another_name_means_death (void **state)
{
  Fixture fixture = setup ();

  members_answered (fixture.members, probe (&fixture), "c");
  assert_int_equal (status_of_b (&fixture), MEMBER_DEAD);
  teardown (&fixture);
}

/* Helpers answer under their own names. */
static void
test_an_answer_through_a_helper_keeps_a_member_alive (void **state)
{
  Fixture fixture = setup ();
  guint sequence = probe (&fixture);
  g_autoptr (GPtrArray) actions = NULL;

  clock_advance (fixture.clock, members_timing_default.direct_timeout_us);
  actions = members_tick (fixture.members);
  assert_non_null (actions);
  members_answered (fixture.members, sequence, "c");
  clock_advance (fixture.clock, members_timing_default.period_us);
  probe (&fixture);
  assert_int_equal (status_of_b (&fixture), MEMBER_ALIVE);
  teardown (&fixture);
}

static void
test_a_node_never_declares_itself_dead (void **state)
{
  Fixture fixture = setup ();

  members_mark_replaced (fixture.members, "a");
  members_mark_replaced (fixture.members, "nobody");
  assert_int_equal (members_self (fixture.members)->status, MEMBER_ALIVE);
  teardown (&fixture);
}

/* The node that had asked has crashed, and its successor probes another node. */
static void
test_a_late_answer_to_a_predecessor_marks_a_live_member_gone (void **state)
{
  Fixture before = setup_seeded (1);
  Fixture after = setup_seeded (2);
  guint late = probe (&before);

  probe (&after);
  members_answered (after.members, late, "c");
  assert_int_equal (status_of_b (&after), MEMBER_ALIVE);
  teardown (&before);
  teardown (&after);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_a_late_answer_to_a_predecessor_marks_a_live_member_gone),
    cmocka_unit_test (test_an_own_answer_keeps_a_member_alive),
    cmocka_unit_test (test_an_answer_under_another_name_means_death),
    cmocka_unit_test (test_an_answer_through_a_helper_keeps_a_member_alive),
    cmocka_unit_test (test_a_node_never_declares_itself_dead),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
