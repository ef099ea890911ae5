/*
 * A stand-in for a network link that can fail in one direction. Forwards TCP connections
 * and UDP datagrams to one address. A closed direction delays TCP data until it is opened
 * again and drops UDP datagrams.
 *
 * GET /_control on the control address:
 *   forth=0|1, back=0|1: closes or opens the direction to the target or back from it.
 *   reset=1: resets all connections, which loses data in flight.
 *   hush=1: stops forwarding on all present connections without closing them; new ones
 *     work.
 *   delay_ms=N: forwards what arrives on connections from now on N ms later.
 */
#include <io/http-server.h>
#include <io/loop.h>
#include <io/socket.h>

#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CHUNK 65536
#define HEADER_MAX 8192

typedef struct
{
  int fd;
  LoopFd *watch;
  GByteArray *out;  /* data to send to this side */
  LoopTimer *delay; /* started while data from this side waits to be read */
  gboolean ended;
} Side;

typedef struct
{
  Side near;       /* the client */
  Side far;        /* the target */
  gboolean silent; /* forwards nothing any more */
} Pair;

typedef struct
{
  struct sockaddr_in peer;
  int fd;
} Flow;

static Loop *loop;
static const char *target;
static gboolean forth = TRUE;
static gboolean back = TRUE;
static gint64 delay_us;
static GPtrArray *pairs;
static GPtrArray *flows;
static int udp;

static void
pair_free (Pair *pair)
{
  g_ptr_array_remove_fast (pairs, pair);
  loop_fd_destroy (pair->near.watch);
  loop_fd_destroy (pair->far.watch);
  loop_timer_destroy (pair->near.delay);
  loop_timer_destroy (pair->far.delay);
  close (pair->near.fd);
  close (pair->far.fd);
  g_byte_array_unref (pair->near.out);
  g_byte_array_unref (pair->far.out);
  g_free (pair);
}

static void
flush (Side *side, gboolean open)
{
  while (open && side->out->len > 0)
    {
      gssize n = send (side->fd, side->out->data, side->out->len, MSG_NOSIGNAL);

      if (n < 0)
        break;
      g_byte_array_remove_range (side->out, 0, (guint)n);
    }
  loop_fd_set (side->watch,
               (side->ended || loop_timer_is_started (side->delay) ? 0 : LOOP_READ) |
                   (open && side->out->len ? LOOP_WRITE : 0));
}

/* Forwards buffered data in the open directions. After the end of a stream the pair is
   closed once that stream's direction is open and all its data has been forwarded. */
static void
settle (Pair *pair)
{
  if (pair->silent)
    return;
  flush (&pair->far, forth);
  flush (&pair->near, back);
  if (pair->near.ended && forth && pair->far.out->len == 0)
    pair_free (pair);
  else if (pair->far.ended && back && pair->near.out->len == 0)
    pair_free (pair);
}

static void
read_side (Pair *pair, Side *from, Side *to)
{
  guint8 chunk[CHUNK];
  gssize n = recv (from->fd, chunk, sizeof chunk, 0);

  if (n > 0)
    g_byte_array_append (to->out, chunk, (guint)n);
  else
    from->ended = TRUE;
  settle (pair);
}

/* Reads what has arrived on one side, now or after the delay. */
static void
on_side_ready (Pair *pair, Side *from, Side *to, LoopEvents ready)
{
  gboolean readable = ready & LOOP_READ && !from->ended;

  if (readable && delay_us > 0)
    {
      loop_timer_start (from->delay, delay_us);
      settle (pair);
    }
  else if (readable)
    read_side (pair, from, to);
  else
    settle (pair);
}

static void
on_near (int fd, LoopEvents ready, gpointer data)
{
  Pair *pair = data;

  on_side_ready (pair, &pair->near, &pair->far, ready);
}

static void
on_far (int fd, LoopEvents ready, gpointer data)
{
  Pair *pair = data;

  on_side_ready (pair, &pair->far, &pair->near, ready);
}

static void
on_near_delayed (gpointer data)
{
  Pair *pair = data;

  if (!pair->silent)
    read_side (pair, &pair->near, &pair->far);
}

static void
on_far_delayed (gpointer data)
{
  Pair *pair = data;

  if (!pair->silent)
    read_side (pair, &pair->far, &pair->near);
}

static void
on_connection (int fd, LoopEvents ready, gpointer data)
{
  int accepted;

  while ((accepted = socket_accept (fd)) >= 0)
    {
      Pair *pair = g_new0 (Pair, 1);

      pair->near.fd = accepted;
      pair->far.fd = socket_connect (target);
      pair->near.out = g_byte_array_new ();
      pair->far.out = g_byte_array_new ();
      pair->near.delay = loop_timer_create (loop, on_near_delayed, pair);
      pair->far.delay = loop_timer_create (loop, on_far_delayed, pair);
      pair->near.watch = loop_fd_create (loop, accepted, LOOP_READ, on_near, pair);
      pair->far.watch = loop_fd_create (loop, pair->far.fd, LOOP_READ, on_far, pair);
      g_ptr_array_add (pairs, pair);
    }
}

static void
on_flow_back (int fd, LoopEvents ready, gpointer data)
{
  Flow *flow = data;
  guint8 chunk[CHUNK];
  gssize n = recv (fd, chunk, sizeof chunk, 0);

  if (n > 0 && back)
    sendto (udp, chunk, (gsize)n, 0, (struct sockaddr *)&flow->peer, sizeof flow->peer);
}

static Flow *
ensure_flow (const struct sockaddr_in *peer)
{
  struct sockaddr_in to;
  Flow *flow;

  for (guint i = 0; i < flows->len; i++)
    {
      flow = g_ptr_array_index (flows, i);
      if (flow->peer.sin_port == peer->sin_port)
        return flow;
    }
  flow = g_new0 (Flow, 1);
  flow->peer = *peer;
  flow->fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
  socket_address_parse (target, &to);
  if (connect (flow->fd, (struct sockaddr *)&to, sizeof to) < 0)
    abort ();
  loop_fd_create (loop, flow->fd, LOOP_READ, on_flow_back, flow);
  g_ptr_array_add (flows, flow);
  return flow;
}

static void
on_datagram (int fd, LoopEvents ready, gpointer data)
{
  struct sockaddr_in peer = { 0 };
  socklen_t len = sizeof peer;
  guint8 chunk[CHUNK];
  gssize n;

  while ((n = recvfrom (fd, chunk, sizeof chunk, 0, (struct sockaddr *)&peer, &len)) >= 0)
    if (forth && send (ensure_flow (&peer)->fd, chunk, (gsize)n, MSG_NOSIGNAL) < 0)
      g_debug ("cannot forward a datagram to the target");
}

/* Closing a socket with a linger time of 0 discards its unsent data and sends a reset. */
static void
reset_all (void)
{
  const struct linger at_once = { 1, 0 };

  while (pairs->len > 0)
    {
      Pair *pair = g_ptr_array_index (pairs, 0);

      setsockopt (pair->near.fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
      setsockopt (pair->far.fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
      pair_free (pair);
    }
}

static void
silence_connections (void)
{
  for (guint i = 0; i < pairs->len; i++)
    {
      Pair *pair = g_ptr_array_index (pairs, i);

      pair->silent = TRUE;
      loop_fd_set (pair->near.watch, 0);
      loop_fd_set (pair->far.watch, 0);
    }
}

static void
on_control (HttpRequest *request, gpointer data)
{
  const char *f = http_request_argument (request, "forth");
  const char *b = http_request_argument (request, "back");
  const char *delay = http_request_argument (request, "delay_ms");

  if (f)
    forth = *f == '1';
  if (b)
    back = *b == '1';
  if (delay)
    delay_us = g_ascii_strtoll (delay, NULL, 10) * MS_US;
  if (http_request_argument (request, "reset"))
    reset_all ();
  if (http_request_argument (request, "hush"))
    silence_connections ();
  for (guint i = pairs->len; i-- > 0;)
    settle (g_ptr_array_index (pairs, i));
  http_request_answer_json (request, 200, "{}\n");
}

int
main (int argc, char **argv)
{
  g_autoptr (GError) error = NULL;
  HttpLimits limits = { 64, HEADER_MAX, 0, 10 * SECOND_US, 80 * SECOND_US };
  struct sockaddr_in local;
  int tcp;

  if (argc != 4 || !socket_address_parse (argv[1], &local))
    {
      fprintf (stderr, "usage: standin-relay LISTEN TARGET CONTROL\n");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  loop = loop_create (clock_create_boottime ());
  pairs = g_ptr_array_new ();
  flows = g_ptr_array_new ();
  target = argv[2];
  tcp = socket_listen (argv[1], &error);
  udp = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
  if (tcp < 0 || bind (udp, (struct sockaddr *)&local, sizeof local) < 0 ||
      !http_server_create (loop, argv[3], &limits, on_control, NULL, &error))
    {
      fprintf (stderr, "standin-relay: %s\n", error ? error->message : "cannot bind");
      return 1;
    }
  loop_fd_create (loop, tcp, LOOP_READ, on_connection, NULL);
  loop_fd_create (loop, udp, LOOP_READ, on_datagram, NULL);
  loop_run (loop);
  return 0;
}
