#include <core/clock.h>

#include <time.h>

typedef struct
{
  gint64 (*now) (Clock *clock);
  gint64 (*unix_ms) (Clock *clock);
} ClockKind;

struct Clock
{
  const ClockKind *kind;
  gint64 manual_us;
  gint64 step_us;
};

/* GLib's monotonic time leaves out the time for which the machine is suspended: after a
   suspension a node would treat leases and allowance grants as still valid. */
static gint64
now_boottime (Clock *clock)
{
  struct timespec now = { 0 };

  clock_gettime (CLOCK_BOOTTIME, &now);
  return now.tv_sec * SECOND_US + now.tv_nsec / 1000;
}

static gint64
now_manual (Clock *clock)
{
  gint64 now = clock->manual_us;

  clock->manual_us += clock->step_us;
  return now;
}

static gint64
unix_ms_of_day (Clock *clock)
{
  return g_get_real_time () / MS_US;
}

static gint64
unix_ms_manual (Clock *clock)
{
  return now_manual (clock) / MS_US;
}

static const ClockKind boottime = { now_boottime, unix_ms_of_day };
static const ClockKind manual = { now_manual, unix_ms_manual };

static Clock *
create (const ClockKind *kind, gint64 now_us)
{
  Clock *clock = g_new0 (Clock, 1);

  clock->kind = kind;
  clock->manual_us = now_us;
  return clock;
}

Clock *
clock_create_boottime (void)
{
  return create (&boottime, 0);
}

Clock *
clock_create_manual (gint64 now_us)
{
  return create (&manual, now_us);
}

void
clock_destroy (Clock *clock)
{
  g_free (clock);
}

gint64
clock_now (Clock *clock)
{
  return clock->kind->now (clock);
}

gint64
clock_unix_ms (Clock *clock)
{
  return clock->kind->unix_ms (clock);
}

void
clock_advance (Clock *clock, gint64 by_us)
{
  g_return_if_fail (by_us >= 0);
  clock->manual_us += by_us;
}

void
clock_set_step (Clock *clock, gint64 step_us)
{
  clock->step_us = step_us;
}

gint64
clock_thread_cpu (void)
{
  struct timespec now = { 0 };

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &now);
  return now.tv_sec * SECOND_US + now.tv_nsec / 1000;
}
