#include <core/stop.h>

gboolean
stop_may_start (const LatencyFit *fit, gint64 left_us)
{
  return left_us > latency_fit_mean_us (fit);
}

gint64
stop_max_wait_us (const LatencyFit *fit, gint64 left_us)
{
  if (!latency_fit_is_known (fit))
    return 0;
  return MAX (left_us - latency_fit_late_us (fit), 0);
}
