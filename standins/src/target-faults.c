#include "target-faults.h"

#include <core/clock.h>

#include <string.h>

#include "target-query.h"

static const char *const answer_names[] = { "whole",  "truncated", "long", "crossed",
                                            "silent", "hangup",    "half", "refused",
                                            "busy",   "again",     NULL };

gboolean
target_faults_on (const TargetFaults *faults, gint64 now_us)
{
  if (faults->flap_us == 0)
    return TRUE;
  return (now_us / faults->flap_us) % 2 == 0;
}

gboolean
target_faults_is_deadly (const TargetFaults *faults, const char *path)
{
  return faults->deadly && *faults->deadly && path && strstr (path, faults->deadly);
}

static gint64
milliseconds (const char *path, const char *key, gint64 fallback_us)
{
  return target_query_number (path, key, fallback_us / MS_US) * MS_US;
}

/* Replaces a text by an argument: "off" for none; no argument changes nothing. */
static void
set_text (char **text, const char *path, const char *key)
{
  char *value = target_query_text (path, key);

  if (!value)
    return;
  g_free (*text);
  *text = value;
  if (strcmp (value, "off") == 0)
    g_clear_pointer (text, g_free);
}

void
target_faults_set (TargetFaults *faults, const char *path)
{
  g_autofree char *kind = target_query_text (path, "answer");
  char *deadly = target_query_text (path, "deadly");

  faults->latency_us = milliseconds (path, "latency_ms", faults->latency_us);
  faults->body_kb = (guint)target_query_number (path, "body_kb", faults->body_kb);
  faults->error_percent =
      (guint)target_query_number (path, "error_percent", faults->error_percent);
  faults->slow_percent =
      (guint)target_query_number (path, "slow_percent", faults->slow_percent);
  faults->slow_us = milliseconds (path, "slow_ms", faults->slow_us);
  faults->flap_us = milliseconds (path, "flap_ms", faults->flap_us);
  faults->forget_us = milliseconds (path, "forget_ms", faults->forget_us);
  set_text (&faults->rate, path, "rate");
  set_text (&faults->leaving, path, "leaving");
  if (deadly)
    {
      g_free (faults->deadly);
      faults->deadly = deadly;
    }
  for (guint i = 0; kind && answer_names[i]; i++)
    if (strcmp (answer_names[i], kind) == 0)
      faults->answer = i;
}
