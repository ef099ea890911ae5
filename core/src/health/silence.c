#include <core/silence.h>

#include <math.h>

/* A target that is well is silent for so long once in a hundred times; its next answer
   clears it. */
#define SILENCE_PROBABILITY 0.01
/* One answer in two hundred of a target that is well is later than this. */
#define OVERDUE_PROBABILITY 0.005
/* Whatever the route: a node that is slow takes some 20 ms to see an answer. */
#define OVERDUE_MIN_US (100 * MS_US)
/* A second attempt follows a first that is later than 98 in 100 answers of its route. Of
   targets that are well it costs one attempt in fifty. */
#define LATE_PROBABILITY 0.02
/* No sooner than a node that is slow sees an answer. */
#define LATE_MIN_US (50 * MS_US)

void
silence_add (Silence *silence, const LatencyFit *fit, gint64 age_us, gint64 age_then_us)
{
  double then = latency_fit_log_survival (fit, age_then_us);

  if (then < log (LATE_PROBABILITY))
    return;
  silence->log_probability += latency_fit_log_survival (fit, age_us) - then;
}

gboolean
silence_tells (const Silence *silence)
{
  return silence->log_probability < log (SILENCE_PROBABILITY);
}

gboolean
silence_is_late (const LatencyFit *fit, gint64 age_us)
{
  return age_us >= LATE_MIN_US &&
         latency_fit_log_survival (fit, age_us) <= log (LATE_PROBABILITY);
}

gint64
silence_late_us (const LatencyFit *fit)
{
  return MAX (latency_fit_age_us (fit, log (LATE_PROBABILITY)), LATE_MIN_US);
}

gboolean
silence_is_overdue (const LatencyFit *fit, gint64 age_us)
{
  return age_us >= OVERDUE_MIN_US &&
         latency_fit_log_survival (fit, age_us) < log (OVERDUE_PROBABILITY);
}
