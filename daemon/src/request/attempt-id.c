#include "attempt-id.h"

char *
attempt_id_text (const sw_attempt *attempt)
{
  return g_strdup_printf ("%s-%" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER "x",
                          attempt->node ? attempt->node : "",
                          (guint64)attempt->incarnation, (guint64)attempt->counter);
}
