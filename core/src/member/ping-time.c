#include <core/ping-time.h>

/* A ping may take this many times as long as lately. */
#define SPREAD 4
/* Share of the difference by which each shorter ping lowers the time. */
#define FALL 8

void
ping_time_note (PingTime *time, gint64 took_us)
{
  time->lately_us = MAX (took_us, time->lately_us - (time->lately_us - took_us) / FALL);
}

gint64
ping_time_timeout_us (const PingTime *time, gint64 least_us)
{
  return CLAMP (time->lately_us * SPREAD, least_us, PING_TIME_MAX_US);
}
