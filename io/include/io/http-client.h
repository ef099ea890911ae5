/*
 * HTTP client: libcurl's multi interface, driven by the loop.
 *
 * Each call uses a new connection, which is closed afterwards, unless `reuse` is set.
 * When a reused connection breaks before the first byte of the answer, libcurl repeats
 * the request by itself, and bytes left on a reused connection would be read as the next
 * answer. A new connection rules out both.
 */
#ifndef IO_HTTP_CLIENT_H
#define IO_HTTP_CLIENT_H

#include <io/http-types.h>
#include <io/loop.h>

typedef struct HttpClient HttpClient;
typedef struct HttpCall HttpCall;

typedef enum
{
  HTTP_CALL_OK,       /* a complete answer with any status */
  HTTP_CALL_UNSENT,   /* the connection failed: no byte was sent */
  HTTP_CALL_TIMEOUT,  /* no complete answer in time */
  HTTP_CALL_BROKEN,   /* the connection broke, or the answer is truncated or malformed */
  HTTP_CALL_TOO_LARGE /* the answer exceeds `answer_max` */
} HttpCallOutcome;

typedef struct
{
  HttpCallOutcome outcome;
  guint status;
  GArray *headers; /* of HttpHeader */
  GByteArray *body;
  gint64 took_us;
  const char *detail; /* error text of a failed call, else "" */
  gint64 rested_us;   /* how long the connection had rested before; 0 for a new one */
} HttpResult;

typedef struct
{
  const char *method;
  const char *url;
  const GArray *headers; /* hop-by-hop headers in it are not sent */
  const void *body;
  gsize body_len;
  gboolean has_body;
  gint64 timeout_us;
  gint64 connect_timeout_us; /* of it for the connection; 0 for no bound of its own */
  gsize answer_max;
  GDestroyNotify abandon; /* frees `data` if the client is destroyed during the call */
  gboolean reuse; /* allows a reused connection, for calls that are safe to repeat */
} HttpCallParams;

/* Called exactly once, from the loop, unless the call is cancelled or the client is
   destroyed before. `result` is borrowed. */
typedef void (*HttpDoneFunc) (const HttpResult *result, gpointer data);

HttpClient *http_client_create (Loop *loop);
void http_client_destroy (HttpClient *client);

/* Starts a call. Everything in `order` is copied; `data` must stay valid until the call
   ends. */
HttpCall *http_client_send (HttpClient *client,
                            const HttpCallParams *order,
                            HttpDoneFunc done,
                            gpointer data);

/* Closes the call's connection at once and frees the call. Neither `done` nor `abandon`
   is called. */
void http_call_cancel (HttpCall *call);

#endif
