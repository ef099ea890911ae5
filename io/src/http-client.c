#include <io/http-client.h>

#include <curl/curl.h>
#include <string.h>

#include <io/answer-head.h>

#include "answer-bounds.h"

struct HttpClient
{
  Loop *loop;
  CURLM *multi;
  LoopTimer *timer;
  GHashTable *calls; /* set of HttpCall */
};

struct HttpCall
{
  HttpClient *client;
  CURL *easy;
  struct curl_slist *headers;
  GByteArray *body;
  gsize answer_max;
  gboolean too_large;
  AnswerHead *head;
  const char *fault; /* why a line is malformed; NULL for none */
  gsize fields;      /* bytes of heads and trailers */
  gint64 began_us;
  HttpResult result;
  HttpDoneFunc done;
  gpointer data;
  GDestroyNotify abandon;
};

static void
call_free (HttpCall *call)
{
  g_hash_table_remove (call->client->calls, call);
  curl_multi_remove_handle (call->client->multi, call->easy);
  curl_easy_cleanup (call->easy);
  curl_slist_free_all (call->headers);
  g_byte_array_unref (call->body);
  answer_head_destroy (call->head);
  g_byte_array_unref (call->result.body);
  g_free (call);
}

static HttpCallOutcome
outcome_of (const HttpCall *call, CURLcode code)
{
  if (call->too_large)
    return HTTP_CALL_TOO_LARGE;
  switch (code)
    {
    case CURLE_OK:
      /* An end of the connection ends a head for libcurl. */
      return answer_head_is_complete (call->head) ? HTTP_CALL_OK : HTTP_CALL_BROKEN;
    case CURLE_COULDNT_CONNECT:
      return HTTP_CALL_UNSENT;
    case CURLE_OPERATION_TIMEDOUT:
      return HTTP_CALL_TIMEOUT;
    default:
      return HTTP_CALL_BROKEN;
    }
}

static const char *
detail_of (const HttpCall *call, CURLcode code)
{
  if (call->fault)
    return call->fault;
  if (code != CURLE_OK)
    return curl_easy_strerror (code);
  return answer_head_is_complete (call->head) ? "" : "the connection ended in the head";
}

static void
reap (gpointer data)
{
  HttpClient *client = data;
  CURLMsg *message;
  int left;

  while ((message = curl_multi_info_read (client->multi, &left)))
    {
      HttpCall *call;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &call);
      call->result.outcome = outcome_of (call, message->data.result);
      call->result.status = answer_head_status (call->head);
      call->result.headers = answer_head_fields (call->head);
      call->result.detail = detail_of (call, message->data.result);
      call->result.took_us = clock_now (loop_clock (client->loop)) - call->began_us;
      call->done (&call->result, call->data);
      call_free (call);
    }
}

static void
on_timer (gpointer data)
{
  HttpClient *client = data;
  int running;

  curl_multi_socket_action (client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  reap (client);
}

static int
on_curl_timer (CURLM *multi, long timeout_ms, void *data)
{
  HttpClient *client = data;

  if (timeout_ms < 0)
    loop_timer_stop (client->timer);
  else
    loop_timer_start (client->timer, timeout_ms * MS_US);
  return 0;
}

static void
on_ready (int fd, LoopEvents ready, gpointer data)
{
  HttpClient *client = data;
  int mask = 0;
  int running;

  if (ready & LOOP_READ)
    mask |= CURL_CSELECT_IN;
  if (ready & LOOP_WRITE)
    mask |= CURL_CSELECT_OUT;
  curl_multi_socket_action (client->multi, fd, mask, &running);
  reap (client);
}

static int
on_curl_socket (CURL *easy, curl_socket_t fd, int what, void *data, void *socket_data)
{
  HttpClient *client = data;
  LoopFd *watch = socket_data;
  LoopEvents events = 0;

  if (what == CURL_POLL_REMOVE)
    {
      loop_fd_destroy (watch);
      curl_multi_assign (client->multi, fd, NULL);
      return 0;
    }
  if (what & CURL_POLL_IN)
    events |= LOOP_READ;
  if (what & CURL_POLL_OUT)
    events |= LOOP_WRITE;
  if (watch)
    loop_fd_set (watch, events);
  else
    curl_multi_assign (client->multi, fd,
                       loop_fd_create (client->loop, fd, events, on_ready, client));
  return 0;
}

HttpClient *
http_client_create (Loop *loop)
{
  HttpClient *client = g_new0 (HttpClient, 1);

  curl_global_init (CURL_GLOBAL_DEFAULT);
  client->loop = loop;
  client->calls = g_hash_table_new (NULL, NULL);
  client->timer = loop_timer_create (loop, on_timer, client);
  client->multi = curl_multi_init ();
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETFUNCTION, on_curl_socket);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERFUNCTION, on_curl_timer);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERDATA, client);
  return client;
}

void
http_client_destroy (HttpClient *client)
{
  GHashTableIter iter;
  gpointer key;

  if (!client)
    return;
  for (;;)
    {
      g_hash_table_iter_init (&iter, client->calls);
      if (!g_hash_table_iter_next (&iter, &key, NULL))
        break;
      if (((HttpCall *)key)->abandon)
        ((HttpCall *)key)->abandon (((HttpCall *)key)->data);
      call_free (key);
    }
  curl_multi_cleanup (client->multi);
  loop_timer_destroy (client->timer);
  g_hash_table_unref (client->calls);
  g_free (client);
}

/* libcurl passes each line of heads and trailers whole. */
static size_t
on_header (char *text, size_t size, size_t count, void *data)
{
  HttpCall *call = data;
  size_t len = size * count;

  call->fields += len;
  if (!answer_within_bounds (call->fields, 0))
    return 0;
  call->fault = answer_head_take (call->head, text, len);
  return call->fault ? 0 : len;
}

static size_t
on_body (char *bytes, size_t size, size_t count, void *data)
{
  HttpCall *call = data;
  size_t len = size * count;

  if (call->result.body->len + len > call->answer_max)
    {
      call->too_large = TRUE;
      return 0;
    }
  g_byte_array_append (call->result.body, (const guint8 *)bytes, (guint)len);
  return len;
}

static void
set_headers (HttpCall *call, const HttpCallParams *order)
{
  for (guint i = 0; order->headers && i < order->headers->len; i++)
    {
      const HttpHeader *header = &g_array_index (order->headers, HttpHeader, i);
      g_autofree char *line = NULL;

      if (http_header_is_hop (header->name))
        continue;
      line = *header->value ? g_strdup_printf ("%s: %s", header->name, header->value)
                            : g_strdup_printf ("%s;", header->name);
      call->headers = curl_slist_append (call->headers, line);
    }
  /* An empty value removes the header that libcurl adds by itself. */
  call->headers = curl_slist_append (call->headers, "Expect:");
  if (!order->headers || !http_headers_get (order->headers, "Accept"))
    call->headers = curl_slist_append (call->headers, "Accept:");
  if (!order->headers || !http_headers_get (order->headers, "Content-Type"))
    call->headers = curl_slist_append (call->headers, "Content-Type:");
}

static void
set_body (HttpCall *call, const HttpCallParams *order)
{
  if (g_strcmp0 (order->method, "HEAD") == 0)
    curl_easy_setopt (call->easy, CURLOPT_NOBODY, 1L);
  if (!order->has_body)
    return;
  g_byte_array_append (call->body, order->body, (guint)order->body_len);
  curl_easy_setopt (call->easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)order->body_len);
  curl_easy_setopt (call->easy, CURLOPT_POSTFIELDS,
                    call->body->len ? (char *)call->body->data : "");
}

static void
set_options (HttpCall *call, const HttpCallParams *order)
{
  CURL *easy = call->easy;

  curl_easy_setopt (easy, CURLOPT_URL, order->url);
  curl_easy_setopt (easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, call);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_HTTP09_ALLOWED, 0L);
  curl_easy_setopt (easy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt (easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)MAX (1, order->timeout_us / MS_US));
  if (order->connect_timeout_us > 0)
    curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS,
                      (long)MAX (1, order->connect_timeout_us / MS_US));
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, order->reuse ? 0L : 1L);
  curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, order->reuse ? 0L : 1L);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, call);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
  set_body (call, order);
  set_headers (call, order);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, call->headers);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, order->method);
}

HttpCall *
http_client_send (HttpClient *client,
                  const HttpCallParams *order,
                  HttpDoneFunc done,
                  gpointer data)
{
  HttpCall *call = g_new0 (HttpCall, 1);

  call->client = client;
  call->done = done;
  call->data = data;
  call->abandon = order->abandon;
  call->answer_max = order->answer_max;
  call->began_us = clock_now (loop_clock (client->loop));
  call->body = g_byte_array_new ();
  call->head = answer_head_create ();
  call->result.body = g_byte_array_new ();
  call->easy = curl_easy_init ();
  set_options (call, order);
  g_hash_table_add (client->calls, call);
  curl_multi_add_handle (client->multi, call->easy);
  return call;
}

void
http_call_cancel (HttpCall *call)
{
  call_free (call);
}
