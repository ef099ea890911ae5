#include "quarantine-wire.h"

static u_int
age_to_wire (gint64 age_us)
{
  return age_us < 0 ? SW_NEVER : (u_int)MIN (age_us / MS_US, SW_NEVER - 1);
}

static gint64
age_from_wire (u_int words)
{
  return words == SW_NEVER ? -1 : (gint64)words * MS_US;
}

void
quarantine_wire_fill (const QuarantineUpdate *update, sw_quarantine *words)
{
  words->head = update->request.head;
  words->body = update->request.body;
  words->service = update->service;
  words->software = update->version;
  words->epoch = update->epoch;
  words->cleared_age_ms = age_to_wire (update->cleared_age_us);
  words->held_age_ms = age_to_wire (update->held_age_us);
  words->turn = update->turn;
  words->trials = update->trials;
  words->due_in_ms = (int)CLAMP (update->due_in_us / MS_US, G_MININT32, G_MAXINT32);
  words->ends.ends_val = g_new0 (sw_target_end, SW_ENDS_MAX);
  words->ends.ends_len = update->end_count;
  for (guint i = 0; i < update->end_count; i++)
    {
      words->ends.ends_val[i].id = update->end_ids[i];
      words->ends.ends_val[i].age_ms = age_to_wire (MAX (update->end_ages_us[i], 0));
    }
}

gboolean
quarantine_wire_read (const sw_quarantine *words, QuarantineUpdate *update)
{
  if (words->ends.ends_len > QUARANTINE_ENDS_KEPT)
    return FALSE;
  *update = (QuarantineUpdate){ .request = { words->head, words->body },
                                .service = words->service,
                                .version = words->software,
                                .epoch = words->epoch,
                                .end_count = words->ends.ends_len,
                                .held_age_us = age_from_wire (words->held_age_ms),
                                .cleared_age_us = age_from_wire (words->cleared_age_ms),
                                .turn = words->turn,
                                .trials = words->trials,
                                .due_in_us = (gint64)words->due_in_ms * MS_US };
  for (guint i = 0; i < words->ends.ends_len; i++)
    {
      update->end_ids[i] = words->ends.ends_val[i].id;
      update->end_ages_us[i] = age_from_wire (words->ends.ends_val[i].age_ms);
    }
  return TRUE;
}
