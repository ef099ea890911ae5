/*
 * HTTP in: libmicrohttpd driven by the loop. A handler gets whole requests only.
 */
#ifndef IO_HTTP_SERVER_H
#define IO_HTTP_SERVER_H

#include <io/http-types.h>
#include <io/loop.h>

typedef struct HttpServer HttpServer;
typedef struct HttpRequest HttpRequest;

/* Bounds of a listener. */
typedef struct
{
  guint connections_max;
  gsize header_max; /* bytes of request line and headers */
  gsize body_max;   /* bytes */
  gint64 read_us;   /* from the first byte's due to the whole request */
  gint64 idle_us;   /* a connection without a request is closed after so long */
  gint64 stall_us; /* one whose answer nobody takes is closed after so long; 0 for none */
  gsize held_max;  /* bytes of bodies and answers of all requests; 0 for no bound. While
                      they are more, new requests are refused as not run */
} HttpLimits;

typedef void (*HttpHandler) (HttpRequest *request, gpointer data);

HttpServer *http_server_create (Loop *loop,
                                const char *address,
                                const HttpLimits *limits,
                                HttpHandler handler,
                                gpointer data,
                                GError **error);
void http_server_destroy (HttpServer *server);

/* Runs when a caller is let go that has taken nothing of its answer for too long; `left`
   is what it had not taken, in bytes. One function in all. */
typedef void (*HttpLetGoFunc) (gsize left, gpointer data);
void http_server_set_let_go (HttpServer *server, HttpLetGoFunc func, gpointer data);
/* Runs when a request is refused for want of room; likewise. */
typedef void (*HttpFullFunc) (gpointer data);
void http_server_set_full (HttpServer *server, HttpFullFunc func, gpointer data);

/* Stops taking connections; those open are served on. */
void http_server_quiesce (HttpServer *server);

/* Serves on, but closes each connection with its next answer. */
void http_server_set_closing (HttpServer *server);

/* Requests taken and not yet answered in full. */
guint http_server_active (const HttpServer *server);

HttpRequest *http_request_ref (HttpRequest *request);
void http_request_unref (HttpRequest *request);

/* When it had been read, by the loop's clock. */
gint64 http_request_taken_us (const HttpRequest *request);
const char *http_request_method (const HttpRequest *request);
/* The path with its query, as the caller sent it. */
const char *http_request_target (const HttpRequest *request);
/* The path alone, decoded. */
const char *http_request_path (const HttpRequest *request);
/* A query argument, decoded, or NULL. */
const char *http_request_argument (const HttpRequest *request, const char *name);
const GArray *http_request_headers (const HttpRequest *request);
const char *http_request_header (const HttpRequest *request, const char *name);
const GByteArray *http_request_body (const HttpRequest *request);

/*
 * Answers; once per request, from the handler or later. `headers` may be NULL,
 * and hop headers in it are left out. The body is copied.
 */
void http_request_answer (HttpRequest *request,
                          guint status,
                          const GArray *headers,
                          const void *body,
                          gsize len);

/* Runs when the caller hangs up before the answer; at most once, from the loop. */
typedef void (*HttpGoneFunc) (gpointer data);

/* Asks to be told of a hang-up; `func` NULL asks no more. */
void http_request_watch_gone (HttpRequest *request, HttpGoneFunc func, gpointer data);

/* Closes the connection without an answer. */
void http_request_drop (HttpRequest *request);

/* Answers with a JSON text and its content type. */
void http_request_answer_json (HttpRequest *request, guint status, const char *json);

#endif
