#include <io/connect-check.h>

#include <errno.h>
#include <unistd.h>

#include <io/socket.h>

struct ConnectCheck
{
  int fd;
  LoopFd *watch;
  LoopTimer *timer;
  gboolean refused; /* by connect() itself, as on the same machine */
  ConnectCheckFunc func;
  gpointer data;
};

/* Ends the watch, and returns the socket. */
static int
release_socket (ConnectCheck *check)
{
  int fd = check->fd;

  loop_fd_destroy (check->watch);
  check->watch = NULL;
  check->fd = -1;
  return fd;
}

static void
finish (ConnectCheck *check, ConnectAnswer answer)
{
  int fd = release_socket (check);

  if (fd >= 0 && answer != CONNECT_ACCEPTED)
    close (fd);
  loop_timer_stop (check->timer);
  check->func (answer, answer == CONNECT_ACCEPTED ? fd : -1, check->data);
}

static void
on_connect_result (int fd, LoopEvents ready, gpointer data)
{
  switch (socket_error (fd))
    {
    case 0:
      finish (data, CONNECT_ACCEPTED);
      break;
    case ECONNREFUSED:
    case ECONNRESET:
      finish (data, CONNECT_REFUSED);
      break;
    default:
      finish (data, CONNECT_UNKNOWN);
      break;
    }
}

/* Runs at the timeout, or at once if connect() has failed. */
static void
on_timer (gpointer data)
{
  ConnectCheck *check = data;

  finish (check, check->refused ? CONNECT_REFUSED : CONNECT_UNKNOWN);
}

ConnectCheck *
connect_check_create (Loop *loop,
                      const char *address,
                      gint64 timeout_us,
                      ConnectCheckFunc func,
                      gpointer data)
{
  ConnectCheck *check = g_new0 (ConnectCheck, 1);

  check->func = func;
  check->data = data;
  check->timer = loop_timer_create (loop, on_timer, check);
  errno = 0;
  check->fd = socket_connect (address);
  check->refused = check->fd < 0 && errno == ECONNREFUSED;
  if (check->fd >= 0)
    check->watch = loop_fd_create (loop, check->fd, LOOP_WRITE, on_connect_result, check);
  loop_timer_start (check->timer, check->fd >= 0 ? timeout_us : 0);
  return check;
}

void
connect_check_destroy (ConnectCheck *check)
{
  int fd;

  if (!check)
    return;
  fd = release_socket (check);
  if (fd >= 0)
    close (fd);
  loop_timer_destroy (check->timer);
  g_free (check);
}
