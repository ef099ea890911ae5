#include "sidecar-holds.h"

/* Covers a round trip between halls (a few milliseconds) and the delay of a busy ingress.
   A slot that is never claimed stays unused for this time. */
#define HOLD_US (60 * MS_US)

typedef struct
{
  AttemptId *id;
  SidecarTarget *target;
  gint64 until_us;
} Hold;

struct SidecarHolds
{
  Clock *clock;
  GArray *list; /* of Hold */
};

static void
clear_hold (gpointer data)
{
  attempt_id_free (((Hold *)data)->id);
}

SidecarHolds *
sidecar_holds_create (Clock *clock)
{
  SidecarHolds *holds = g_new0 (SidecarHolds, 1);

  holds->clock = clock;
  holds->list = g_array_new (FALSE, FALSE, sizeof (Hold));
  g_array_set_clear_func (holds->list, clear_hold);
  return holds;
}

void
sidecar_holds_destroy (SidecarHolds *holds)
{
  if (!holds)
    return;
  g_array_unref (holds->list);
  g_free (holds);
}

gboolean
sidecar_holds_add (SidecarHolds *holds, SidecarTarget *target, const AttemptId *id)
{
  Hold hold = { .target = target, .until_us = clock_now (holds->clock) + HOLD_US };

  if (!admission_hold (target->admission))
    return FALSE;
  hold.id = attempt_id_copy (id);
  g_array_append_val (holds->list, hold);
  return TRUE;
}

gboolean
sidecar_holds_take (SidecarHolds *holds, const SidecarTarget *target, const AttemptId *id)
{
  for (guint i = 0; i < holds->list->len; i++)
    {
      const Hold *hold = &g_array_index (holds->list, Hold, i);

      if (hold->target != target || !attempt_id_equal (hold->id, id))
        continue;
      g_array_remove_index_fast (holds->list, i);
      return TRUE;
    }
  return FALSE;
}

void
sidecar_holds_expire (SidecarHolds *holds)
{
  gint64 now = clock_now (holds->clock);

  for (guint i = holds->list->len; i-- > 0;)
    {
      const Hold *hold = &g_array_index (holds->list, Hold, i);
      Admission *admission = hold->target->admission;

      if (hold->until_us > now)
        continue;
      g_array_remove_index_fast (holds->list, i);
      admission_release (admission, -1);
    }
}
