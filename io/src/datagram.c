#include <io/datagram.h>

#include <arpa/inet.h>
#include <errno.h>
#include <gio/gio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <io/socket.h>

#define DATAGRAM_MAX 65536u
#define ADDRESS_TEXT_MAX 32u

struct Datagram
{
  int fd;
  LoopFd *watch;
  guint8 *buffer;
  guint64 sent;
  guint64 received;
  DatagramFunc func;
  gpointer data;
};

static void
on_ready (int fd, LoopEvents ready, gpointer data)
{
  Datagram *datagram = data;

  for (;;)
    {
      struct sockaddr_in from = { 0 };
      socklen_t from_len = sizeof from;
      char host[INET_ADDRSTRLEN];
      char text[ADDRESS_TEXT_MAX];
      gssize n = recvfrom (fd, datagram->buffer, DATAGRAM_MAX, 0,
                           (struct sockaddr *)&from, &from_len);

      if (n < 0)
        return;
      datagram->received += (guint64)n;
      inet_ntop (AF_INET, &from.sin_addr, host, sizeof host);
      g_snprintf (text, sizeof text, "%s:%u", host, ntohs (from.sin_port));
      datagram->func (text, datagram->buffer, (gsize)n, datagram->data);
    }
}

Datagram *
datagram_create (
    Loop *loop, const char *address, DatagramFunc func, gpointer data, GError **error)
{
  struct sockaddr_in local;
  Datagram *datagram;
  int fd;

  if (!socket_address_parse (address, &local))
    {
      g_set_error (error, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT,
                   "%s is not an IPv4 address with a port", address);
      return NULL;
    }
  fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0 || bind (fd, (struct sockaddr *)&local, sizeof local) < 0)
    {
      g_set_error (error, G_IO_ERROR, g_io_error_from_errno (errno), "cannot bind %s: %s",
                   address, g_strerror (errno));
      if (fd >= 0)
        close (fd);
      return NULL;
    }
  datagram = g_new0 (Datagram, 1);
  datagram->fd = fd;
  datagram->buffer = g_malloc (DATAGRAM_MAX);
  datagram->func = func;
  datagram->data = data;
  datagram->watch = loop_fd_create (loop, fd, LOOP_READ, on_ready, datagram);
  return datagram;
}

void
datagram_destroy (Datagram *datagram)
{
  if (!datagram)
    return;
  loop_fd_destroy (datagram->watch);
  close (datagram->fd);
  g_free (datagram->buffer);
  g_free (datagram);
}

void
datagram_send (Datagram *datagram, const char *to, const GByteArray *message)
{
  struct sockaddr_in address;

  if (!socket_address_parse (to, &address))
    return;
  if (sendto (datagram->fd, message->data, message->len, MSG_NOSIGNAL,
              (struct sockaddr *)&address, sizeof address) > 0)
    datagram->sent += message->len;
}

void
datagram_bytes (const Datagram *datagram, guint64 *sent, guint64 *received)
{
  *sent = datagram->sent;
  *received = datagram->received;
}
