/*
 * One TCP connection to an HTTP/1.1 server, for one exchange after the other. The owner
 * decides whether a link is used again; the link tells whether it may be. Nothing is
 * ever sent twice.
 */
#ifndef IO_HTTP_LINK_H
#define IO_HTTP_LINK_H

#include <io/http-client.h>

typedef struct HttpLink HttpLink;

/* Whether an answer with this status and these headers belongs to another request. */
typedef gboolean (*HttpLinkForeignFunc) (guint status,
                                         const GArray *headers,
                                         gpointer data);

typedef struct
{
  const char *method;
  const char *path;      /* as in the request line */
  const GArray *headers; /* hop-by-hop headers in it are not sent */
  const void *body;
  gsize body_len;
  gboolean has_body;
  gint64 timeout_us;
  gint64
      probe_us; /* above 0, on a link that was used before: an empty line is sent first,
                   which servers ignore before a request (RFC 9112, section 2.2). The
                   request follows after this time, unless the server has closed or
                   reset the connection: then the outcome is HTTP_CALL_UNSENT. */
  gsize answer_max;
  HttpLinkForeignFunc is_foreign; /* NULL if answers do not tell */
} HttpLinkRequest;

/* The state of a link that is not in an exchange. */
typedef enum
{
  HTTP_LINK_QUIET,
  HTTP_LINK_CLOSED, /* the server has closed it */
  HTTP_LINK_SURPLUS /* bytes have come that belong to no request */
} HttpLinkState;

/* Called from the loop when the state of a link at rest is no longer HTTP_LINK_QUIET. The
   owner destroys the link. */
typedef void (*HttpLinkLostFunc) (HttpLink *link, HttpLinkState state, gpointer data);

/* Starts to connect to `address`. Returns NULL if that fails at once. */
HttpLink *http_link_create (Loop *loop, const char *address);
/* Creates a link of a connected socket, which has carried no request; takes ownership of
   `fd`. */
HttpLink *http_link_adopt (Loop *loop, const char *address, int fd);
/* Closes the connection at once; the function of an exchange in progress is not called.
 */
void http_link_destroy (HttpLink *link);

/* Starts an exchange. Everything in `request` is copied but for the body, which is kept
   until the exchange has ended or the link is destroyed. `done` is called exactly once,
   from the loop, unless the link is destroyed before; it may destroy the link or put it
   to rest. `data` is also passed to `is_foreign`. An answer that belongs to another
   request is skipped if the link has carried an earlier exchange. */
void http_link_send (HttpLink *link,
                     const HttpLinkRequest *request,
                     HttpDoneFunc done,
                     gpointer data);

/* Whether the last exchange allows another one: the whole request was sent before the
   whole answer came, nothing came beyond it, and both sides keep the connection. */
gboolean http_link_is_reusable (const HttpLink *link);
/* Whether any byte came from the server in the last exchange. */
gboolean http_link_has_heard (const HttpLink *link);
/* Returns the time since the kernel received the last bytes from the server, also if they
   were read later. */
gint64 http_link_quiet_us (const HttpLink *link);
/* Whether the server sent bytes that belong to no request, or an answer to another one,
   in the last exchange. */
gboolean http_link_had_surplus (const HttpLink *link);

/* Watches a link that is in no exchange. */
void http_link_rest (HttpLink *link, HttpLinkLostFunc lost, gpointer data);
/* Ends the watch, and returns the state now. */
HttpLinkState http_link_wake (HttpLink *link);

#endif
