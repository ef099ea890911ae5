/*
 * HTTP out: libcurl's multi interface driven by the loop.
 *
 * Each call goes out on a connection of its own, closed afterwards. libcurl sends a
 * request anew by itself when a reused connection dies before the first answer byte,
 * and bytes left on a reused connection would be taken for the next answer; a fresh
 * connection rules out both.
 */
#ifndef IO_HTTP_CLIENT_H
#define IO_HTTP_CLIENT_H

#include <io/http-types.h>
#include <io/loop.h>

typedef struct HttpClient HttpClient;
typedef struct HttpCall HttpCall;

typedef enum
{
  HTTP_CALL_OK,       /* a whole answer, of whatever status */
  HTTP_CALL_UNSENT,   /* no connection: not a byte went out */
  HTTP_CALL_TIMEOUT,  /* no whole answer in time */
  HTTP_CALL_BROKEN,   /* cut, truncated or ill-framed */
  HTTP_CALL_TOO_LARGE /* the answer is over the bound */
} HttpCallOutcome;

typedef struct
{
  HttpCallOutcome outcome;
  guint status;
  GArray *headers; /* of HttpHeader */
  GByteArray *body;
  gint64 took_us;
  const char *detail; /* the library's words on a call that failed, else "" */
} HttpResult;

typedef struct
{
  const char *method;
  const char *url;
  const GArray *headers; /* hop headers in it are left out */
  const void *body;
  gsize body_len;
  gboolean has_body;
  gint64 timeout_us;
  gsize answer_max;
  GDestroyNotify abandon; /* frees `data` when the client goes before the call ends */
  gboolean reuse;         /* may share connections: only for calls harmless to repeat */
} HttpOrder;

/* Runs exactly once, from the loop, unless the call is cancelled; `result` is borrowed.
 */
typedef void (*HttpDoneFunc) (const HttpResult *result, gpointer data);

HttpClient *http_client_create (Loop *loop);
void http_client_destroy (HttpClient *client);

/* Everything in `order` is copied. */
HttpCall *http_client_send (HttpClient *client,
                            const HttpOrder *order,
                            HttpDoneFunc done,
                            gpointer data);

/* Closes the call's connection at once; its function will not run. */
void http_call_cancel (HttpCall *call);

#endif
