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
quarantine_wire_fill (const QuarantineNews *news, sw_quarantine *words)
{
  words->head = news->request.head;
  words->body = news->request.body;
  words->service = news->service;
  words->software = news->version;
  words->epoch = news->epoch;
  words->cleared_age_ms = age_to_wire (news->cleared_age_us);
  words->held_age_ms = age_to_wire (news->held_age_us);
  words->turn = news->turn;
  words->trials = news->trials;
  words->due_in_ms = (int)CLAMP (news->due_in_us / MS_US, G_MININT32, G_MAXINT32);
  words->ends.ends_val = g_new0 (sw_target_end, SW_ENDS_MAX);
  words->ends.ends_len = news->end_count;
  for (guint i = 0; i < news->end_count; i++)
    {
      words->ends.ends_val[i].id = news->end_ids[i];
      words->ends.ends_val[i].age_ms = age_to_wire (MAX (news->end_ages_us[i], 0));
    }
}

gboolean
quarantine_wire_read (const sw_quarantine *words, QuarantineNews *news)
{
  if (words->ends.ends_len > QUARANTINE_ENDS_KEPT)
    return FALSE;
  *news = (QuarantineNews){ .request = { words->head, words->body },
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
      news->end_ids[i] = words->ends.ends_val[i].id;
      news->end_ages_us[i] = age_from_wire (words->ends.ends_val[i].age_ms);
    }
  return TRUE;
}
