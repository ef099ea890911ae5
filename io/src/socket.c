#include <io/socket.h>

#include <core/clock.h>

#include <arpa/inet.h>
#include <errno.h>
#include <gio/gio.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG 1024
#define PORT_MAX 65535

gboolean
socket_address_parse (const char *text, struct sockaddr_in *address)
{
  const char *colon = strrchr (text, ':');
  g_autofree char *host = NULL;
  guint64 port;

  if (!colon)
    return FALSE;
  host = g_strndup (text, (gsize)(colon - text));
  if (!g_ascii_string_to_unsigned (colon + 1, 10, 0, PORT_MAX, &port, NULL))
    return FALSE;
  memset (address, 0, sizeof *address);
  address->sin_family = AF_INET;
  address->sin_port = htons ((guint16)port);
  return inet_pton (AF_INET, host, &address->sin_addr) == 1;
}

static void
set_option (int fd, int level, int name)
{
  int on = 1;

  setsockopt (fd, level, name, &on, sizeof on);
}

int
socket_listen (const char *text, GError **error)
{
  struct sockaddr_in address;
  int fd;

  if (!socket_address_parse (text, &address))
    {
      g_set_error (error, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT,
                   "%s is not an IPv4 address with a port", text);
      return -1;
    }
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  set_option (fd, SOL_SOCKET, SO_REUSEADDR);
  if (fd >= 0 && bind (fd, (struct sockaddr *)&address, sizeof address) == 0 &&
      listen (fd, BACKLOG) == 0)
    return fd;
  g_set_error (error, G_IO_ERROR, g_io_error_from_errno (errno),
               "cannot listen on %s: %s", text, g_strerror (errno));
  if (fd >= 0)
    close (fd);
  return -1;
}

int
socket_connect (const char *text)
{
  struct sockaddr_in address;
  int fd;

  if (!socket_address_parse (text, &address))
    return -1;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  set_option (fd, IPPROTO_TCP, TCP_NODELAY);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0 ||
      errno == EINPROGRESS)
    return fd;
  close (fd);
  return -1;
}

int
socket_accept (int listener)
{
  int fd = accept4 (listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

  if (fd >= 0)
    set_option (fd, IPPROTO_TCP, TCP_NODELAY);
  return fd;
}

int
socket_error (int fd)
{
  int value = 0;
  socklen_t len = sizeof value;

  if (getsockopt (fd, SOL_SOCKET, SO_ERROR, &value, &len) < 0)
    return errno;
  return value;
}

gsize
socket_unsent (int fd)
{
  int bytes = 0;

  if (ioctl (fd, SIOCOUTQ, &bytes) < 0 || bytes < 0)
    return 0;
  return (gsize)bytes;
}

gint64
socket_quiet_us (int fd)
{
  struct tcp_info info = { 0 };
  socklen_t len = sizeof info;

  if (getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &len) < 0)
    return G_MAXINT32;
  return (gint64)info.tcpi_last_data_recv * MS_US;
}
