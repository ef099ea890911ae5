#include <io/http-link.h>

#include <errno.h>
#include <http_parser.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <core/http-status.h>
#include <io/socket.h>

#include "answer-bounds.h"
#include "answer-head.h"
#include "http-chunk.h"

#define READ_CHUNK 16384u
/* Reads of one event; the loop then serves others. */
#define READS_MAX 16u
/* A server may answer a longer request before it has read it, which the sockets' buffers
   hide. */
#define EARLY_ANSWER_BODY_MIN 16384u
/* A link at rest does not hold the memory of a longer request or line. */
#define KEPT_MAX 16384u

/* What the next bytes of the answer are. Lines are checked one by one before the parser
   gets them. */
typedef enum
{
  PART_HEAD, /* lines of a head or a trailer */
  PART_BODY, /* which is not in chunks */
  PART_CHUNK_SIZE,
  PART_CHUNK,
  PART_CHUNK_END
} AnswerPart;

struct HttpLink
{
  Loop *loop;
  char *address;
  int fd;
  LoopFd *watch;
  LoopTimer *timer;
  http_parser parser;
  guint exchanges;
  gboolean connected;
  HttpLinkLostFunc lost; /* set at rest */
  gpointer lost_data;
  /* The present exchange, or the last one. */
  HttpDoneFunc done; /* NULL when it has ended */
  gpointer data;
  HttpLinkForeignFunc is_foreign;
  GByteArray *out;    /* the head, and a short body */
  const guint8 *body; /* a longer one; borrowed */
  gsize body_after;   /* bytes of it, which follow `out` */
  gsize sent;         /* of both */
  gboolean probing;   /* nothing of `out` is sent yet */
  gint64 timeout_us;
  gsize body_len;
  gsize answer_max;
  gboolean no_body; /* answers to this method have none */
  gint64 began_us;
  HttpResult result;
  AnswerHead *head;
  AnswerPart part;
  guint64 chunk_left; /* bytes */
  GString *line;      /* that is not yet complete */
  const char *fault;  /* why a line is malformed; NULL for none */
  gsize received;     /* bytes */
  gsize content;      /* of them in bodies */
  gboolean heard;
  gboolean reset; /* sending has failed for want of a connection */
  gboolean skips; /* the answer that is being read belongs to another request */
  gboolean surplus;
  gboolean complete;
  gboolean too_large;
  gboolean reusable;
};

static int
on_message_begin (http_parser *parser)
{
  HttpLink *link = parser->data;

  link->skips = FALSE;
  return 0;
}

static gboolean
is_interim (const HttpLink *link)
{
  return !answer_head_is_complete (link->head);
}

/* Whether a body follows the head (RFC 9112, section 6.3). http_parser would wait for one
   of the length that a 304 tells of another answer. */
static gboolean
has_body (const HttpLink *link)
{
  guint status = answer_head_status (link->head);

  return !link->no_body && !is_interim (link) && status != HTTP_NO_CONTENT &&
         status != HTTP_NOT_MODIFIED;
}

static int
on_headers_complete (http_parser *parser)
{
  HttpLink *link = parser->data;

  link->result.status = answer_head_status (link->head);
  if (!is_interim (link) && link->exchanges > 1 && link->is_foreign)
    link->skips = link->is_foreign (link->result.status, answer_head_fields (link->head),
                                    link->data);
  link->surplus |= link->skips;
  link->part = parser->flags & F_CHUNKED ? PART_CHUNK_SIZE : PART_BODY;
  return has_body (link) ? 0 : 1;
}

static int
on_chunk_header (http_parser *parser)
{
  HttpLink *link = parser->data;

  link->chunk_left = parser->content_length;
  /* The last chunk is empty, and a trailer follows it. */
  link->part = link->chunk_left > 0 ? PART_CHUNK : PART_HEAD;
  return 0;
}

static int
on_body (http_parser *parser, const char *bytes, size_t len)
{
  HttpLink *link = parser->data;

  link->content += len;
  if (link->skips ? link->content > link->answer_max
                  : link->result.body->len + len > link->answer_max)
    {
      link->too_large = TRUE;
      return 1;
    }
  if (link->skips)
    return 0;
  g_byte_array_append (link->result.body, (const guint8 *)bytes, (guint)len);
  return 0;
}

static int
on_message_complete (http_parser *parser)
{
  HttpLink *link = parser->data;

  link->part = PART_HEAD;
  if (link->skips)
    {
      answer_head_clear (link->head);
      return 0;
    }
  if (is_interim (link))
    return 0;
  link->complete = TRUE;
  link->reusable = http_should_keep_alive (parser) != 0;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_message_begin = on_message_begin,
  .on_headers_complete = on_headers_complete,
  .on_chunk_header = on_chunk_header,
  .on_body = on_body,
  .on_message_complete = on_message_complete,
};

/* Returns the length of the request. */
static gsize
out_len (const HttpLink *link)
{
  return link->out->len + link->body_after;
}

/* Lets go of what belongs to the exchange alone. */
static void
clear_exchange (HttpLink *link)
{
  if (link->out->len > KEPT_MAX)
    {
      g_byte_array_unref (link->out);
      link->out = g_byte_array_new ();
    }
  if (link->line->allocated_len > KEPT_MAX)
    {
      g_string_free (link->line, TRUE);
      link->line = g_string_new (NULL);
    }
  g_byte_array_set_size (link->out, 0);
  g_string_truncate (link->line, 0);
  answer_head_clear (link->head);
  link->result.body = NULL;
  link->done = NULL;
  link->body = NULL;
  link->body_after = 0;
}

/* Ends the exchange. The link may have been destroyed on return. */
static void
end (HttpLink *link, HttpCallOutcome outcome, const char *detail)
{
  HttpDoneFunc done = link->done;
  HttpResult result = link->result;

  loop_timer_stop (link->timer);
  loop_fd_set (link->watch, 0);
  result.outcome = outcome;
  result.detail = detail;
  result.headers = g_array_ref (answer_head_fields (link->head));
  result.took_us = clock_now (loop_clock (link->loop)) - link->began_us;
  link->reusable &= outcome == HTTP_CALL_OK;
  clear_exchange (link);
  done (&result, link->data);
  g_array_unref (result.headers);
  g_byte_array_unref (result.body);
}

/* Checks, as the answer is complete, that the request was sent before it and was most
   probably read. */
static gboolean
is_in_step (const HttpLink *link)
{
  return link->sent == out_len (link) &&
         (link->body_len < EARLY_ANSWER_BODY_MIN || link->result.status < 300);
}

static void
end_complete (HttpLink *link, gboolean surplus)
{
  link->surplus |= surplus;
  link->reusable &= !link->surplus && is_in_step (link);
  end (link, HTTP_CALL_OK, "");
}

static gsize
feed (HttpLink *link, const char *bytes, gsize len)
{
  return http_parser_execute (&link->parser, &parser_settings, bytes, len);
}

/* Returns why the present line is malformed, or NULL. */
static const char *
check_line (HttpLink *link)
{
  const char *line = link->line->str;
  gsize len = link->line->len;

  switch (link->part)
    {
    case PART_CHUNK_SIZE:
      return http_chunk_line_fault (line, len);
    case PART_CHUNK_END:
      link->part = PART_CHUNK_SIZE;
      return strcmp (line, "\r\n") == 0 ? NULL : "a chunk is longer than its size";
    default:
      return answer_head_take (link->head, line, len);
    }
}

/* Takes bytes up to the end of a line. Returns their number. */
static gsize
take_line (HttpLink *link, const char *bytes, gsize len)
{
  const char *end = memchr (bytes, '\n', len);
  gsize taken = end ? (gsize)(end - bytes) + 1 : len;

  g_string_append_len (link->line, bytes, (gssize)taken);
  if (!end)
    {
      if (link->line->len > ANSWER_OVERHEAD_MAX)
        link->fault = "a line is too long";
      return taken;
    }
  link->fault = check_line (link);
  if (!link->fault)
    feed (link, link->line->str, link->line->len);
  g_string_truncate (link->line, 0);
  return taken;
}

/* Takes bytes of a chunk. Returns their number. */
static gsize
take_chunk (HttpLink *link, const char *bytes, gsize len)
{
  gsize taken = feed (link, bytes, (gsize)MIN (len, link->chunk_left));

  link->chunk_left -= taken;
  if (link->chunk_left == 0)
    link->part = PART_CHUNK_END;
  return taken;
}

/* Whether no more of the answer is read. */
static gboolean
has_answer_ended (const HttpLink *link)
{
  return link->fault || link->complete || link->too_large ||
         HTTP_PARSER_ERRNO (&link->parser) != HPE_OK || link->parser.upgrade;
}

/* Takes bytes of the answer. Returns the number of those that belong to it. */
static gsize
take_bytes (HttpLink *link, const char *bytes, gsize len)
{
  gsize taken = 0;

  while (taken < len && !has_answer_ended (link))
    switch (link->part)
      {
      case PART_BODY:
        taken += feed (link, bytes + taken, len - taken);
        break;
      case PART_CHUNK:
        taken += take_chunk (link, bytes + taken, len - taken);
        break;
      default:
        taken += take_line (link, bytes + taken, len - taken);
      }
  return taken;
}

/* Parses bytes of the answer; none at the end of the connection. Returns FALSE if the
   exchange has ended. */
static gboolean
parse (HttpLink *link, const char *bytes, gsize len)
{
  gsize used = 0;

  if (len > 0)
    used = take_bytes (link, bytes, len);
  else if (link->line->len == 0)
    feed (link, NULL, 0);
  if (link->complete)
    end_complete (link, used < len);
  else if (link->too_large)
    end (link, HTTP_CALL_TOO_LARGE, "the answer is too large");
  else if (!answer_within_bounds (link->received, link->content))
    end (link, HTTP_CALL_BROKEN, "the answer's fields or framing are too large");
  else if (link->fault)
    end (link, HTTP_CALL_BROKEN, link->fault);
  else if (HTTP_PARSER_ERRNO (&link->parser) != HPE_OK || link->parser.upgrade)
    end (link, HTTP_CALL_BROKEN, "the answer is malformed");
  else if (len == 0)
    end (link, HTTP_CALL_BROKEN, "the connection ended before the answer");
  else
    return TRUE;
  return FALSE;
}

static void
receive (HttpLink *link)
{
  char buffer[READ_CHUNK];
  guint reads = 0;
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
      link->received += (gsize)n;
    }
  while (parse (link, buffer, (gsize)n) && ++reads < READS_MAX);
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
  link->head = answer_head_create ();
  link->line = g_string_new (NULL);
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
  g_clear_pointer (&link->result.body, g_byte_array_unref);
  answer_head_destroy (link->head);
  g_string_free (link->line, TRUE);
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
  if (request->body_len <= KEPT_MAX)
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

void
http_link_send (HttpLink *link,
                const HttpLinkRequest *request,
                HttpDoneFunc done,
                gpointer data)
{
  link->exchanges++;
  link->done = done;
  link->data = data;
  link->is_foreign = request->is_foreign;
  link->answer_max = request->answer_max;
  link->no_body = strcmp (request->method, "HEAD") == 0;
  link->body_len = request->has_body ? request->body_len : 0;
  link->began_us = clock_now (loop_clock (link->loop));
  link->result = (HttpResult){ .body = g_byte_array_new () };
  link->part = PART_HEAD;
  link->fault = NULL;
  link->heard = link->surplus = link->complete = link->too_large = link->reset = FALSE;
  link->received = link->content = 0;
  link->reusable = TRUE;
  http_parser_init (&link->parser, HTTP_RESPONSE);
  link->parser.data = link;
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
