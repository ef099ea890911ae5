#include <io/http-link.h>

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <io/socket.h>

#include "answer-reader.h"

#define READ_CHUNK 16384u
/* Reads of one event; the loop then serves others. */
#define READS_MAX 16u
/* A server may answer a longer request before it has read it, which the sockets' buffers
   hide. */
#define EARLY_ANSWER_BODY_MIN 16384u
/* A link at rest does not hold the memory of a longer request. */
#define OUT_KEPT_MAX 16384u

struct HttpLink
{
  Loop *loop;
  char *address;
  int fd;
  LoopFd *watch;
  LoopTimer *timer;
  guint exchanges;
  gboolean connected;
  HttpLinkLostFunc lost; /* set at rest */
  gpointer lost_data;
  /* The present exchange, or the last one. */
  HttpDoneFunc done; /* NULL when it has ended */
  gpointer data;
  GByteArray *out;    /* the head, and a short body */
  const guint8 *body; /* a longer one; borrowed */
  gsize body_after;   /* bytes of it, which follow `out` */
  gsize sent;         /* of both */
  gboolean probing;   /* nothing of `out` is sent yet */
  gint64 timeout_us;
  gsize body_len;
  gint64 began_us;
  AnswerReader *reader;
  gboolean heard;
  gboolean reset; /* sending has failed for want of a connection */
  gboolean surplus;
  gboolean reusable;
};

/* Returns the length of the request. */
static gsize
out_len (const HttpLink *link)
{
  return link->out->len + link->body_after;
}

static void
clear_out (HttpLink *link)
{
  if (link->out->len > OUT_KEPT_MAX)
    {
      g_byte_array_unref (link->out);
      link->out = g_byte_array_new ();
    }
  g_byte_array_set_size (link->out, 0);
}

/* Ends the exchange. The link may have been destroyed on return. */
static void
end (HttpLink *link, HttpCallOutcome outcome, const char *detail)
{
  HttpDoneFunc done = link->done;
  g_autoptr (GArray) headers = g_array_ref (answer_reader_fields (link->reader));
  g_autoptr (GByteArray) body = g_byte_array_ref (answer_reader_body (link->reader));
  const HttpResult result = { .outcome = outcome,
                              .status = answer_reader_status (link->reader),
                              .headers = headers,
                              .body = body,
                              .detail = detail,
                              .took_us =
                                  clock_now (loop_clock (link->loop)) - link->began_us };

  loop_timer_stop (link->timer);
  loop_fd_set (link->watch, 0);
  link->surplus |= answer_reader_has_surplus (link->reader);
  link->reusable &= outcome == HTTP_CALL_OK;
  link->done = NULL;
  link->body = NULL;
  link->body_after = 0;
  clear_out (link);
  answer_reader_clear (link->reader);
  done (&result, link->data);
}

/* Checks, as the answer is complete, that the request was sent before it and was most
   probably read. */
static gboolean
is_in_step (const HttpLink *link)
{
  return link->sent == out_len (link) && (link->body_len < EARLY_ANSWER_BODY_MIN ||
                                          answer_reader_status (link->reader) < 300);
}

/* Ends the exchange unless more of the answer is due. Returns whether it goes on. */
static gboolean
judge (HttpLink *link, AnswerState state)
{
  const AnswerReader *reader = link->reader;

  switch (state)
    {
    case ANSWER_READING:
      return TRUE;
    case ANSWER_COMPLETE:
      link->reusable &= answer_reader_keeps_alive (reader) &&
                        !answer_reader_has_surplus (reader) && is_in_step (link);
      end (link, HTTP_CALL_OK, "");
      return FALSE;
    case ANSWER_TOO_LARGE:
      end (link, HTTP_CALL_TOO_LARGE, answer_reader_fault (reader));
      return FALSE;
    default:
      end (link, HTTP_CALL_BROKEN, answer_reader_fault (reader));
      return FALSE;
    }
}

static void
receive (HttpLink *link)
{
  char buffer[READ_CHUNK];
  guint reads = 0;
  AnswerState state;
  gssize n;

  do
    {
      n = recv (link->fd, buffer, sizeof buffer, 0);
      if (n < 0 && (errno == EAGAIN || errno == EINTR))
        return;
      /* The error of a reset is reported once. If sending got it, the reset reads as an
         orderly end. */
      if (n < 0 || (n == 0 && link->reset))
        {
          end (link, HTTP_CALL_BROKEN, "the connection was reset");
          return;
        }
      link->heard |= n > 0;
      state = n > 0 ? answer_reader_take (link->reader, buffer, (gsize)n)
                    : answer_reader_end (link->reader);
    }
  while (judge (link, state) && ++reads < READS_MAX);
}

/* Sends what the socket takes. */
static void
transmit (HttpLink *link)
{
  while (link->sent < out_len (link))
    {
      gboolean in_head = link->sent < link->out->len;
      const guint8 *bytes = in_head ? link->out->data + link->sent
                                    : link->body + (link->sent - link->out->len);
      gssize n =
          send (link->fd, bytes, (in_head ? link->out->len : out_len (link)) - link->sent,
                MSG_NOSIGNAL);

      if (n < 0 && (errno == EAGAIN || errno == EINTR))
        break;
      if (n < 0)
        {
          /* The server may have answered before it closed. EPIPE tells that it closed in
             order; the end of its answer has then been received. */
          link->reset = errno != EPIPE;
          link->sent = out_len (link);
          link->reusable = FALSE;
          break;
        }
      link->sent += (gsize)n;
    }
  loop_fd_set (link->watch, LOOP_READ | (link->sent < out_len (link) ? LOOP_WRITE : 0));
}

static gboolean
check_connected (HttpLink *link)
{
  if (link->connected)
    return TRUE;
  if (socket_error (link->fd) != 0)
    {
      end (link, HTTP_CALL_UNSENT, "cannot connect");
      return FALSE;
    }
  link->connected = TRUE;
  return TRUE;
}

/* Returns the state of a link on which no answer is due. */
static HttpLinkState
look (const HttpLink *link)
{
  char byte;
  gssize n = recv (link->fd, &byte, sizeof byte, MSG_PEEK);

  if (n > 0)
    return HTTP_LINK_SURPLUS;
  return n < 0 && (errno == EAGAIN || errno == EINTR) ? HTTP_LINK_QUIET
                                                      : HTTP_LINK_CLOSED;
}

/* Sends the request if the server has kept the connection. */
static void
end_probe (HttpLink *link)
{
  HttpLinkState state = look (link);

  link->probing = FALSE;
  link->surplus = state == HTTP_LINK_SURPLUS;
  if (state != HTTP_LINK_QUIET)
    {
      end (link, HTTP_CALL_UNSENT, "the connection was closed at rest");
      return;
    }
  loop_timer_start (link->timer, link->timeout_us);
  transmit (link);
}

static void
on_rest_event (HttpLink *link)
{
  HttpLinkState state;
  HttpLinkLostFunc lost = link->lost;
  gpointer data = link->lost_data;

  state = http_link_wake (link);
  if (state == HTTP_LINK_QUIET)
    http_link_rest (link, lost, data);
  else
    lost (link, state, data);
}

static void
on_ready (int fd, LoopEvents ready, gpointer data)
{
  HttpLink *link = data;

  if (link->lost)
    {
      on_rest_event (link);
      return;
    }
  if (!link->done || !check_connected (link))
    return;
  if (link->probing)
    {
      end_probe (link);
      return;
    }
  if (ready & LOOP_WRITE)
    transmit (link);
  if (ready & LOOP_READ)
    receive (link);
}

static void
on_timeout (gpointer data)
{
  HttpLink *link = data;

  if (link->probing)
    end_probe (link);
  else
    end (link, HTTP_CALL_TIMEOUT, "no answer in time");
}

static HttpLink *
create (Loop *loop, const char *address, int fd)
{
  HttpLink *link = g_new0 (HttpLink, 1);

  link->loop = loop;
  link->address = g_strdup (address);
  link->fd = fd;
  link->watch = loop_fd_create (loop, fd, 0, on_ready, link);
  link->timer = loop_timer_create (loop, on_timeout, link);
  link->out = g_byte_array_new ();
  link->reader = answer_reader_create ();
  return link;
}

HttpLink *
http_link_create (Loop *loop, const char *address)
{
  int fd = socket_connect (address);

  return fd >= 0 ? create (loop, address, fd) : NULL;
}

HttpLink *
http_link_adopt (Loop *loop, const char *address, int fd)
{
  HttpLink *link = create (loop, address, fd);

  link->connected = TRUE;
  return link;
}

void
http_link_destroy (HttpLink *link)
{
  if (!link)
    return;
  loop_fd_destroy (link->watch);
  loop_timer_destroy (link->timer);
  close (link->fd);
  g_byte_array_unref (link->out);
  answer_reader_destroy (link->reader);
  g_free (link->address);
  g_free (link);
}

static void
put (HttpLink *link, const char *text)
{
  g_byte_array_append (link->out, (const guint8 *)text, (guint)strlen (text));
}

static void
put_header (HttpLink *link, const char *name, const char *value)
{
  put (link, name);
  put (link, ": ");
  put (link, value);
  put (link, "\r\n");
}

static void
put_request (HttpLink *link, const HttpLinkRequest *request)
{
  g_autofree char *length = g_strdup_printf ("%" G_GSIZE_FORMAT, request->body_len);

  put (link, request->method);
  put (link, " ");
  put (link, request->path);
  put (link, " HTTP/1.1\r\n");
  if (!request->headers || !http_headers_get (request->headers, "Host"))
    put_header (link, "Host", link->address);
  for (guint i = 0; request->headers && i < request->headers->len; i++)
    {
      const HttpHeader *header = &g_array_index (request->headers, HttpHeader, i);

      if (!http_header_is_hop (header->name))
        put_header (link, header->name, header->value);
    }
  if (request->has_body)
    put_header (link, "Content-Length", length);
  put (link, "\r\n");
  if (!request->has_body)
    return;
  if (request->body_len <= OUT_KEPT_MAX)
    {
      g_byte_array_append (link->out, request->body, (guint)request->body_len);
      return;
    }
  link->body = request->body;
  link->body_after = request->body_len;
}

static void
send_probe (HttpLink *link)
{
  static const char empty_line[] = "\r\n";

  send (link->fd, empty_line, strlen (empty_line), MSG_NOSIGNAL);
  loop_fd_set (link->watch, LOOP_READ);
}

static void
begin_answer (HttpLink *link, const HttpLinkRequest *request)
{
  const AnswerExpected expected = { .no_body = strcmp (request->method, "HEAD") == 0,
                                    .body_max = request->answer_max,
                                    .is_foreign =
                                        link->exchanges > 1 ? request->is_foreign : NULL,
                                    .data = link->data };

  answer_reader_begin (link->reader, &expected);
  link->heard = link->reset = link->surplus = FALSE;
  link->reusable = TRUE;
}

void
http_link_send (HttpLink *link,
                const HttpLinkRequest *request,
                HttpDoneFunc done,
                gpointer data)
{
  link->exchanges++;
  link->done = done;
  link->data = data;
  link->body_len = request->has_body ? request->body_len : 0;
  link->began_us = clock_now (loop_clock (link->loop));
  begin_answer (link, request);
  g_byte_array_set_size (link->out, 0);
  link->body = NULL;
  link->body_after = 0;
  link->sent = 0;
  put_request (link, request);
  link->timeout_us = MAX (request->timeout_us, MS_US);
  link->probing = link->connected && request->probe_us > 0;
  loop_timer_start (link->timer, link->probing ? request->probe_us : link->timeout_us);
  if (link->probing)
    send_probe (link);
  else if (link->connected)
    transmit (link);
  else
    loop_fd_set (link->watch, LOOP_WRITE);
}

gboolean
http_link_is_reusable (const HttpLink *link)
{
  return link->reusable;
}

gboolean
http_link_has_heard (const HttpLink *link)
{
  return link->heard;
}

gint64
http_link_quiet_us (const HttpLink *link)
{
  return socket_quiet_us (link->fd);
}

gboolean
http_link_had_surplus (const HttpLink *link)
{
  return link->surplus;
}

void
http_link_rest (HttpLink *link, HttpLinkLostFunc lost, gpointer data)
{
  link->lost = lost;
  link->lost_data = data;
  loop_fd_set (link->watch, LOOP_READ);
}

HttpLinkState
http_link_wake (HttpLink *link)
{
  link->lost = NULL;
  loop_fd_set (link->watch, 0);
  return look (link);
}
