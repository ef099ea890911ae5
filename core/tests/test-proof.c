/* Tests when a target counts as having kept a recent request, and how many requests this
   protects when targets have bad spells. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#include <core/proof.h>

static void
test_a_kept_request_is_a_proof_for_a_moment (void **state)
{
  Proof proof = { 0 };

  assert_false (proof_is_fresh (&proof, SECOND_US));
  proof_note_start (&proof, SECOND_US);
  assert_false (proof_is_fresh (&proof, SECOND_US + 2 * MS_US));
  assert_true (proof_is_fresh (&proof, SECOND_US + 10 * MS_US));
  assert_true (proof_is_fresh (&proof, SECOND_US + 150 * MS_US));
  assert_false (proof_is_fresh (&proof, SECOND_US + 151 * MS_US));
}

static void
test_a_new_request_keeps_an_older_proof (void **state)
{
  Proof proof = { 0 };

  proof_note_start (&proof, SECOND_US);
  proof_note_start (&proof, SECOND_US + 30 * MS_US);
  assert_true (proof_is_fresh (&proof, SECOND_US + 31 * MS_US));
}

static void
test_a_failure_voids_the_proof (void **state)
{
  Proof proof = { 0 };

  proof_note_start (&proof, SECOND_US);
  proof_note_failure (&proof);
  assert_false (proof_is_fresh (&proof, SECOND_US + 20 * MS_US));
}

/*
 * The simulated load: 40 targets, of which three in ten are in a spell of 9 s at any time
 * and break off every request. 250 requests a second, six in ten of them unrepeatable. A
 * target that has broken off a request is left out until its spell is over.
 */
#define TARGETS 40u
#define SPELL_US (9 * SECOND_US)
#define SICK_PERCENT 30
#define EVERY_US (4 * MS_US)
#define REQUESTS 75000u
#define UNREPEATABLE_PERCENT 60
#define UNPROVED_PICKS_MAX 5u

typedef struct
{
  Proof proof;
  gint64 epoch_ends_us;
  gboolean in_spell;
  gboolean left_out;
} SimulatedTarget;

static void
update_spell (SimulatedTarget *target, GRand *rand, gint64 now_us)
{
  if (now_us < target->epoch_ends_us)
    return;
  target->epoch_ends_us += SPELL_US;
  target->in_spell = g_rand_int_range (rand, 0, 100) < SICK_PERCENT;
  target->left_out = FALSE;
}

static SimulatedTarget *
pick (SimulatedTarget *targets, GRand *rand, gboolean proved_only, gint64 now_us)
{
  SimulatedTarget *target = NULL;
  guint passed = 0;

  for (;;)
    {
      target = &targets[g_rand_int_range (rand, 0, TARGETS)];
      if (target->left_out)
        continue;
      if (!proved_only || passed >= UNPROVED_PICKS_MAX ||
          proof_is_fresh (&target->proof, now_us))
        return target;
      passed++;
    }
}

/* Returns how many unrepeatable requests are broken off. */
static guint
count_broken_requests (gboolean with_proof)
{
  SimulatedTarget targets[TARGETS] = { 0 };
  GRand *rand = g_rand_new_with_seed (7);
  gint64 now = SECOND_US;
  guint count = 0;

  for (guint i = 0; i < TARGETS; i++)
    targets[i].epoch_ends_us = g_rand_int_range (rand, 0, SPELL_US);
  for (guint i = 0; i < REQUESTS; i++)
    {
      gboolean repeatable = g_rand_int_range (rand, 0, 100) >= UNREPEATABLE_PERCENT;
      SimulatedTarget *target;

      now += EVERY_US;
      for (guint j = 0; j < TARGETS; j++)
        update_spell (&targets[j], rand, now);
      target = pick (targets, rand, with_proof && !repeatable, now);
      proof_note_start (&target->proof, now);
      if (!target->in_spell)
        continue;
      proof_note_failure (&target->proof);
      target->left_out = TRUE;
      count += !repeatable;
    }
  g_rand_free (rand);
  return count;
}

static void
test_spells_cost_half_as_many_unrepeatable_requests (void **state)
{
  guint without = count_broken_requests (FALSE);
  guint with = count_broken_requests (TRUE);

  print_message ("requests broken off: %u without proofs, %u with them\n", without, with);
  assert_true (without > 200);
  assert_true (with * 2 <= without);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_a_kept_request_is_a_proof_for_a_moment),
    cmocka_unit_test (test_a_new_request_keeps_an_older_proof),
    cmocka_unit_test (test_a_failure_voids_the_proof),
    cmocka_unit_test (test_spells_cost_half_as_many_unrepeatable_requests),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
