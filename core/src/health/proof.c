#include <core/proof.h>

/* A request that was not broken off within this time counts as kept. A break takes a
   round trip, and a break that a slow VM notices late is still noticed before the next
   request is accepted. */
#define KEPT_US (10 * MS_US)
/* Time for which proof is valid. Spells last seconds, so that it is unlikely that one has
   begun since. */
#define FRESH_US (150 * MS_US)

static gboolean
is_kept (const Proof *proof, gint64 now_us)
{
  return proof->started_us > 0 && now_us - proof->started_us >= KEPT_US;
}

void
proof_note_start (Proof *proof, gint64 now_us)
{
  if (is_kept (proof, now_us))
    proof->kept_us = proof->started_us;
  proof->started_us = now_us;
}

void
proof_note_failure (Proof *proof)
{
  *proof = (Proof){ 0 };
}

gboolean
proof_is_fresh (const Proof *proof, gint64 now_us)
{
  gint64 kept = is_kept (proof, now_us) ? proof->started_us : proof->kept_us;

  return kept > 0 && now_us - kept <= FRESH_US;
}
