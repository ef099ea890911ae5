/*
 * Internals of the HTTP server. http-server.c creates the server and reads requests,
 * http-body.c bounds the memory of their bodies, http-crowd.c keeps connections and
 * processor time from callers that make no progress, http-request.c and http-answer.c
 * handle a request and its answer, http-gone.c detects callers that close their
 * connections, http-sweep.c closes connections at their time limits, http-linger.c lets
 * callers receive the last answer of a connection, and http-quiesce.c ends the listening.
 */
#ifndef IO_HTTP_SERVER_PRIVATE_H
#define IO_HTTP_SERVER_PRIVATE_H

#include <io/http-server.h>

#include <microhttpd.h>

typedef struct HttpLinger HttpLinger;

/* A caller's connection; libmicrohttpd keeps it as the socket context. */
typedef struct
{
  HttpServer *server;
  int fd;
  HttpRequest *request;    /* the one that is being read or handled, or NULL */
  gint64 reading_since_us; /* 0 while no request is being read */
  gint64 idle_since_us;    /* 0 while there is a request */
  gint64 last_read_us;     /* when the caller last read part of its answer; 0 for none */
  gsize answer_unread;     /* bytes of the answer that it has not read */
  gboolean refused;        /* answered as not run: its request must not run any more */
  gint64 ending_us;        /* when its sending side was closed; 0 while it is open */
  int stuck_unread;        /* unread bytes when no progress was last seen; 0 after some */
} Conn;

struct HttpServer
{
  Loop *loop;
  int fd;
  struct MHD_Daemon *daemon;
  LoopFd *watch;
  LoopTimer *sweep;
  LoopTimer *gone_check;
  GHashTable *watched; /* set of HttpRequest with a function for a closed connection */
  gboolean closing;
  HttpLimits limits;
  HttpHandler handler;
  gpointer data;
  HttpStallFunc stall_func;
  gpointer stall_data;
  HttpFullFunc full;
  gpointer full_data;
  HttpDisplacedFunc displaced;
  gpointer displaced_data;
  guint turns; /* in a row that libmicrohttpd has asked for without making progress */
  MemAccount *account; /* of bodies and answers; NULL for no bound */
  GHashTable *reading; /* set of HttpRequest whose body has begun and is not whole */
  gsize reading_held;  /* bytes of these bodies */
  GHashTable *conns;   /* set of Conn */
  GQueue lingers;      /* of HttpLinger, the oldest first */
  guint active;
  gboolean run_pending; /* a connection was resumed or closed since the daemon last ran */
};

struct HttpRequest
{
  gatomicrefcount refs;
  HttpServer *server;
  struct MHD_Connection *connection; /* NULL once the exchange has ended */
  Conn *conn;
  char *method;
  char *target;
  char *path;
  GArray *headers;
  GByteArray *body;
  MemAccount *account;     /* NULL for no bound */
  gsize held;              /* bytes counted for the body */
  gint64 body_progress_us; /* when the last of the body arrived */
  gint64 rate_since_us;    /* the bytes that arrived since then, */
  gsize rate_bytes;
  gsize rate_bytes_before; /* and in the interval before it */
  gboolean handled;
  gint64 received_us; /* when the handler was called */
  gboolean suspended;
  gboolean dropped;
  HttpGoneFunc gone_func;
  gpointer gone_data;
  guint status;
  struct MHD_Response *response;
};

/* Returns whether there is room for a request whose head says that `bytes` follow. */
gboolean http_body_may_begin (HttpServer *server, guint64 bytes);
/* Appends to the body. If that takes more memory than there is, an unfinished body is
   given up, and its request is refused as not run: one whose caller sends no more, else
   the slowest of the large ones, else the largest. Returns FALSE if that is this one. */
gboolean http_body_append (HttpRequest *request, const char *bytes, gsize len);
/* Marks the body as whole: it is not given up any more. */
void http_body_end (HttpRequest *request);
/* Frees the body. */
void http_body_drop (HttpRequest *request);

/* Returns a response that passes the body to the connection in chunks and keeps a
   reference to it. */
struct MHD_Response *http_answer_response (HttpRequest *request, GBytes *body);

/* Makes room for further connections when nearly all are in use; called at intervals. */
void http_crowd_make_room (HttpServer *server);
/* Notes that libmicrohttpd asks to be run again at once. Closes the connections on which
   it makes no progress. */
void http_crowd_note_turn (HttpServer *server);

/* Interval at which the time limits of connections are checked. */
#define HTTP_SWEEP_US (SECOND_US / 4)

/* Timer function that closes the connections that exceed a time limit. */
void http_sweep (gpointer data);
/* Both answer while the body is being read, free what has been read of it and close the
   sending side: with status 413, or with 503 for want of memory. */
void http_refuse_too_large (Conn *conn);
void http_refuse_no_room (Conn *conn);

/* Retry-After of requests refused for want of memory, in seconds: there may be room again
   by then. */
#define HTTP_FULL_RETRY_AFTER_S "1"

/* Keeps a socket that is about to be closed until its caller has received what was sent,
   unless the caller has closed its side. */
void http_linger_start (HttpServer *server, int fd);
/* Closes the connections that linger without progress; called at intervals. */
void http_linger_check (HttpServer *server);
void http_linger_destroy_all (HttpServer *server);

/* Timer function that detects closed connections; runs while requests are watched. */
void http_gone_check (gpointer data);

#endif
