#include <core/outcome.h>

const char *
outcome_name (Outcome outcome)
{
  static const char *const names[OUTCOME_COUNT] = { "done", "not-run", "unknown" };

  return names[outcome];
}

const char *
reason_name (Reason reason)
{
  static const char *const names[REASON_COUNT] = {
    "none",          "overload",  "draining",     "incarnation", "stale",
    "deadline",      "no-target", "duplicate",    "fenced",      "connect",
    "broken",        "timeout",   "crossed",      "too-large",   "target-refused",
    "target-failed", "cancelled", "sick",         "budget",      "unproved",
    "quarantined",   "evacuated", "rate-limited", "lost",        "unreachable"
  };

  return reason < REASON_COUNT ? names[reason] : "none";
}
