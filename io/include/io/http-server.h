/*
 * HTTP server: libmicrohttpd, driven by the loop. Handlers get complete requests only.
 */
#ifndef IO_HTTP_SERVER_H
#define IO_HTTP_SERVER_H

#include <io/http-types.h>
#include <io/loop.h>
#include <io/mem-account.h>

typedef struct HttpServer HttpServer;
typedef struct HttpRequest HttpRequest;

/* Bounds of a listener. */
typedef struct
{
  guint connections_max; /* near it the connection that has waited longest for a request
                            is closed for a new one */
  gsize header_max;      /* bytes of request line and headers */
  gsize body_max;        /* bytes */
  gint64 read_us;  /* for a whole request, from the connection or its request line on */
  gint64 idle_us;  /* a connection without a request is closed after this time */
  gint64 stall_us; /* a connection whose caller reads nothing of its answer is closed
                      after this time; 0 disables the check */
  gsize held_max;  /* bytes of bodies and answers of all requests; 0 for no bound. Those
                      that do not fit are refused as not run */
  MemAccount *account; /* counts them instead, with what others hold; NULL for none */
} HttpLimits;

typedef void (*HttpHandler) (HttpRequest *request, gpointer data);

/* Listens on `address` ("IP:port"). Returns NULL with `error` set (G_IO_ERROR) if it
   cannot. */
HttpServer *http_server_create (Loop *loop,
                                const char *address,
                                const HttpLimits *limits,
                                HttpHandler handler,
                                gpointer data,
                                GError **error);
void http_server_destroy (HttpServer *server);

/* Called when a connection is closed because its caller has read nothing of its answer
   for `stall_us`. `left` is the unread rest of the answer in bytes. One function per
   server. */
typedef void (*HttpStallFunc) (gsize left, gpointer data);
void http_server_set_stall_func (HttpServer *server, HttpStallFunc func, gpointer data);
/* Called when a request is refused because of `held_max` or the account. `held` is what
   it had in memory, in bytes, 0 for one whose body had not begun. One function per
   server.
 */
typedef void (*HttpFullFunc) (gsize held, gpointer data);
void http_server_set_full_func (HttpServer *server, HttpFullFunc func, gpointer data);

/* Called when a connection is closed in favour of a new one, because nearly all that
   `connections_max` allows are open, with the time that it has waited for a request or
   for the rest of its head. One function per server. */
typedef void (*HttpDisplacedFunc) (gint64 waited_us, gpointer data);
void http_server_set_displaced_func (HttpServer *server,
                                     HttpDisplacedFunc func,
                                     gpointer data);

/* Stops accepting connections. Open connections are still served. */
void http_server_quiesce (HttpServer *server);

/* Keeps serving, but closes each connection after its next answer. */
void http_server_set_closing (HttpServer *server);

/* Returns the number of requests that were accepted and are not yet answered in full. */
guint http_server_active (const HttpServer *server);

/* Returns whether a caller has still to receive bytes that were passed to the kernel. */
gboolean http_server_is_sending (const HttpServer *server);

HttpRequest *http_request_ref (HttpRequest *request);
void http_request_unref (HttpRequest *request);

/* Returns the time at which the whole request had been read, by the loop's clock. */
gint64 http_request_received_us (const HttpRequest *request);
const char *http_request_method (const HttpRequest *request);
/* Returns the path with its query, as sent by the caller. */
const char *http_request_target (const HttpRequest *request);
/* Returns the decoded path without the query. */
const char *http_request_path (const HttpRequest *request);
/* Returns a decoded query argument, or NULL if it is missing or the exchange is over. */
const char *http_request_argument (const HttpRequest *request, const char *name);
const GArray *http_request_headers (const HttpRequest *request);
const char *http_request_header (const HttpRequest *request, const char *name);
const GByteArray *http_request_body (const HttpRequest *request);
/* Returns the body, which keeps the request; the caller unrefs it. */
GBytes *http_request_body_bytes (HttpRequest *request);

/*
 * Answers the request. Allowed once per request, from the handler or later. `headers` may
 * be NULL, and hop-by-hop headers in it are left out. The body is copied.
 */
void http_request_answer (HttpRequest *request,
                          guint status,
                          const GArray *headers,
                          const void *body,
                          gsize len);

/* Called when the caller closes its connection before the answer; at most once, from the
   loop. */
typedef void (*HttpGoneFunc) (gpointer data);

/* Calls `func` when the caller closes its connection. NULL ends the watch. */
void http_request_watch_gone (HttpRequest *request, HttpGoneFunc func, gpointer data);

/* Closes the connection without an answer. */
void http_request_drop (HttpRequest *request);

/* Answers with a JSON text and the content type application/json. */
void http_request_answer_json (HttpRequest *request, guint status, const char *json);

#endif
