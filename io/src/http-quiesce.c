#include "http-server-private.h"

#include <linux/filter.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

/* Keeps a stream of new connections from holding up the end of listening. */
#define ACCEPT_ROUNDS_MAX 256u

/* Drops new callers' SYN segments, so that the kernel completes no connection between
   the last accept and the close. Their retransmissions are refused after it. */
static void
drop_new_callers (int fd)
{
  /* The filter sees the segment from its TCP header on, whose byte 13 holds the flags. */
  struct sock_filter code[] = {
    BPF_STMT (BPF_LD | BPF_B | BPF_ABS, 13),
    BPF_JUMP (BPF_JMP | BPF_JSET | BPF_K, TH_SYN, 0, 1),
    BPF_STMT (BPF_RET | BPF_K, 0),
    BPF_STMT (BPF_RET | BPF_K, G_MAXUINT32),
  };
  struct sock_fprog program = { G_N_ELEMENTS (code), code };

  if (setsockopt (fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) < 0)
    g_debug ("no filter for the listening socket");
}

/* Accepts what the kernel has accepted; MHD_run takes only some of it at a time. */
static void
accept_pending (HttpServer *server)
{
  struct pollfd listener = { server->fd, POLLIN, 0 };

  for (guint i = 0; i < ACCEPT_ROUNDS_MAX && poll (&listener, 1, 0) > 0; i++)
    MHD_run (server->daemon);
}

void
http_server_quiesce (HttpServer *server)
{
  if (server->fd < 0)
    return;
  /* Closing the socket resets what the kernel has accepted and this process has not. */
  drop_new_callers (server->fd);
  accept_pending (server);
  MHD_quiesce_daemon (server->daemon);
  close (server->fd);
  server->fd = -1;
}
