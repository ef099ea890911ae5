#include <io/loop.h>

#include <apr_general.h>
#include <apr_poll.h>
#include <apr_portable.h>

/* Most ready descriptors that one wait reports. */
#define POLLSET_SIZE 4096

struct LoopFd
{
  Loop *loop;
  int fd;
  apr_pool_t *pool;
  apr_pollfd_t poll;
  LoopEvents events;
  LoopFdFunc func;
  gpointer data;
  gboolean destroyed;
};

struct LoopTimer
{
  Loop *loop;
  GSequenceIter *place; /* NULL while stopped */
  gint64 due_us;
  LoopTimerFunc func;
  gpointer data;
};

typedef struct
{
  LoopPrepareFunc func;
  gpointer data;
} Prepare;

struct Loop
{
  Clock *clock;
  apr_pool_t *pool;
  apr_pollset_t *pollset;
  GSequence *timers;
  GArray *prepares;
  GPtrArray *destroyed; /* watches destroyed since the last wait, freed after dispatch */
  gboolean quit;
  LoopIterationFunc iteration_func; /* NULL for none */
  gpointer iteration_data;
  gint64 iteration_began_us;
  gint64 iteration_began_cpu_us;
};

Loop *
loop_create (Clock *clock)
{
  Loop *loop = g_new0 (Loop, 1);

  apr_initialize ();
  apr_pool_create (&loop->pool, NULL);
  if (apr_pollset_create (&loop->pollset, POLLSET_SIZE, loop->pool, APR_POLLSET_NOCOPY) !=
      APR_SUCCESS)
    {
      apr_pool_destroy (loop->pool);
      apr_terminate ();
      g_free (loop);
      return NULL;
    }
  loop->clock = clock;
  loop->timers = g_sequence_new (NULL);
  loop->prepares = g_array_new (FALSE, FALSE, sizeof (Prepare));
  loop->destroyed = g_ptr_array_new ();
  return loop;
}

static void
free_destroyed (Loop *loop)
{
  for (guint i = 0; i < loop->destroyed->len; i++)
    {
      LoopFd *watch = g_ptr_array_index (loop->destroyed, i);

      apr_pool_destroy (watch->pool);
      g_free (watch);
    }
  g_ptr_array_set_size (loop->destroyed, 0);
}

void
loop_destroy (Loop *loop)
{
  if (!loop)
    return;
  free_destroyed (loop);
  g_ptr_array_unref (loop->destroyed);
  g_sequence_free (loop->timers);
  g_array_unref (loop->prepares);
  apr_pollset_destroy (loop->pollset);
  apr_pool_destroy (loop->pool);
  apr_terminate ();
  g_free (loop);
}

Clock *
loop_clock (Loop *loop)
{
  return loop->clock;
}

static void
run_due_timers (Loop *loop)
{
  gint64 now = clock_now (loop->clock);

  for (;;)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (loop->timers);
      LoopTimer *timer;

      if (g_sequence_iter_is_end (first))
        return;
      timer = g_sequence_get (first);
      if (timer->due_us > now)
        return;
      loop_timer_stop (timer);
      timer->func (timer->data);
    }
}

static gint64
longest_wait (Loop *loop)
{
  GSequenceIter *first = g_sequence_get_begin_iter (loop->timers);
  gint64 wait = -1;

  if (!g_sequence_iter_is_end (first))
    {
      LoopTimer *timer = g_sequence_get (first);

      /* MAX evaluates its argument twice. With a clock reading in it, the result could be
         negative, which the pollset takes for an endless wait. */
      gint64 left = timer->due_us - clock_now (loop->clock);

      wait = MAX (0, left);
    }
  for (guint i = 0; i < loop->prepares->len; i++)
    {
      Prepare *prepare = &g_array_index (loop->prepares, Prepare, i);
      gint64 own = prepare->func (prepare->data);

      if (own >= 0 && (wait < 0 || own < wait))
        wait = own;
    }
  /* Round up: the pollset truncates to milliseconds, and the loop would spin through the
     last one. */
  return wait > 0 ? (wait + MS_US - 1) / MS_US * MS_US : wait;
}

static void
dispatch_events (Loop *loop, const apr_pollfd_t *ready, apr_int32_t count)
{
  for (apr_int32_t i = 0; i < count; i++)
    {
      LoopFd *watch = ready[i].client_data;
      LoopEvents events = 0;

      if (watch->destroyed)
        continue;
      if (ready[i].rtnevents & (APR_POLLIN | APR_POLLHUP | APR_POLLERR))
        events |= LOOP_READ;
      if (ready[i].rtnevents & (APR_POLLOUT | APR_POLLERR))
        events |= LOOP_WRITE;
      watch->func (watch->fd, events, watch->data);
    }
}

static void
begin_iteration (Loop *loop)
{
  if (loop->iteration_func)
    loop->iteration_began_us = clock_now (loop->clock);
}

/* Waiting uses no processor time, so one reading ends this turn and starts the next. */
static void
end_iteration (Loop *loop)
{
  gint64 cpu_us;
  LoopIteration turn;

  if (!loop->iteration_func)
    return;
  cpu_us = clock_thread_cpu ();
  turn.took_us = clock_now (loop->clock) - loop->iteration_began_us;
  /* Where processor time is accounted in ticks, one turn is charged for many. */
  turn.cpu_us = MIN (cpu_us - loop->iteration_began_cpu_us, turn.took_us);
  loop->iteration_began_cpu_us = cpu_us;
  if (turn.cpu_us >= LOOP_ITERATION_LONG_CPU_US || turn.took_us >= LOOP_ITERATION_LONG_US)
    loop->iteration_func (&turn, loop->iteration_data);
}

void
loop_set_iteration_func (Loop *loop, LoopIterationFunc func, gpointer data)
{
  loop->iteration_func = func;
  loop->iteration_data = data;
  loop->iteration_began_cpu_us = clock_thread_cpu ();
  begin_iteration (loop);
}

void
loop_run (Loop *loop)
{
  loop->quit = FALSE;
  while (!loop->quit)
    {
      const apr_pollfd_t *ready = NULL;
      apr_int32_t count = 0;
      apr_status_t status;
      gint64 wait;

      run_due_timers (loop);
      if (loop->quit)
        break;
      wait = longest_wait (loop);
      end_iteration (loop);
      status = apr_pollset_poll (loop->pollset, wait, &count, &ready);
      begin_iteration (loop);
      if (status == APR_SUCCESS)
        dispatch_events (loop, ready, count);
      free_destroyed (loop);
    }
}

void
loop_quit (Loop *loop)
{
  loop->quit = TRUE;
}

void
loop_add_prepare (Loop *loop, LoopPrepareFunc func, gpointer data)
{
  Prepare prepare = { func, data };

  g_array_append_val (loop->prepares, prepare);
}

void
loop_remove_prepare (Loop *loop, gpointer data)
{
  for (guint i = 0; i < loop->prepares->len; i++)
    if (g_array_index (loop->prepares, Prepare, i).data == data)
      {
        g_array_remove_index (loop->prepares, i);
        return;
      }
}

static void
pollset_add (LoopFd *watch)
{
  watch->poll.reqevents = 0;
  if (watch->events & LOOP_READ)
    watch->poll.reqevents |= APR_POLLIN;
  if (watch->events & LOOP_WRITE)
    watch->poll.reqevents |= APR_POLLOUT;
  if (watch->events)
    apr_pollset_add (watch->loop->pollset, &watch->poll);
}

LoopFd *
loop_fd_create (Loop *loop, int fd, LoopEvents events, LoopFdFunc func, gpointer data)
{
  LoopFd *watch = g_new0 (LoopFd, 1);
  apr_socket_t *socket = NULL;

  watch->loop = loop;
  watch->fd = fd;
  watch->func = func;
  watch->data = data;
  watch->events = events;
  apr_pool_create (&watch->pool, NULL);
  apr_os_sock_put (&socket, &fd, watch->pool);
  watch->poll.desc_type = APR_POLL_SOCKET;
  watch->poll.desc.s = socket;
  watch->poll.client_data = watch;
  watch->poll.p = watch->pool;
  pollset_add (watch);
  return watch;
}

void
loop_fd_set (LoopFd *watch, LoopEvents events)
{
  if (events == watch->events)
    return;
  if (watch->events)
    apr_pollset_remove (watch->loop->pollset, &watch->poll);
  watch->events = events;
  pollset_add (watch);
}

void
loop_fd_destroy (LoopFd *watch)
{
  if (!watch)
    return;
  if (watch->events)
    apr_pollset_remove (watch->loop->pollset, &watch->poll);
  watch->destroyed = TRUE;
  g_ptr_array_add (watch->loop->destroyed, watch);
}

static gint
compare_due (gconstpointer a, gconstpointer b, gpointer data)
{
  gint64 da = ((const LoopTimer *)a)->due_us;
  gint64 db = ((const LoopTimer *)b)->due_us;

  return (da > db) - (da < db);
}

LoopTimer *
loop_timer_create (Loop *loop, LoopTimerFunc func, gpointer data)
{
  LoopTimer *timer = g_new0 (LoopTimer, 1);

  timer->loop = loop;
  timer->func = func;
  timer->data = data;
  return timer;
}

void
loop_timer_start (LoopTimer *timer, gint64 delay_us)
{
  loop_timer_stop (timer);
  timer->due_us = clock_now (timer->loop->clock) + MAX (delay_us, 0);
  timer->place = g_sequence_insert_sorted (timer->loop->timers, timer, compare_due, NULL);
}

void
loop_timer_stop (LoopTimer *timer)
{
  if (!timer->place)
    return;
  g_sequence_remove (timer->place);
  timer->place = NULL;
}

gboolean
loop_timer_is_started (const LoopTimer *timer)
{
  return timer->place != NULL;
}

void
loop_timer_destroy (LoopTimer *timer)
{
  if (!timer)
    return;
  loop_timer_stop (timer);
  g_free (timer);
}
