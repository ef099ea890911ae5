/*
 * Internals of the HTTP server. http-server.c creates the server and reads requests,
 * http-request.c and http-answer.c handle a request and its answer, http-gone.c detects
 * callers that close their connections, http-sweep.c closes connections at their time
 * limits, http-linger.c lets callers receive the last answer of a connection, and
 * http-quiesce.c ends the listening.
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
  gint64 reading_since_us; /* 0 while no request is being read */
  gint64 idle_since_us;    /* 0 while there is a request */
  gint64 last_read_us;     /* when the caller last read part of its answer; 0 for none */
  gsize answer_unread;     /* bytes of the answer that it has not read */
  gboolean refused;        /* answered as not run: its request must not run any more */
  gint64 ending_us;        /* when its sending side was closed; 0 while it is open */
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
  gsize held;        /* bytes of bodies and answers */
  GHashTable *conns; /* set of Conn */
  GQueue lingers;    /* of HttpLinger, the oldest first */
  guint active;
  gboolean resume_pending; /* a connection was resumed since the daemon last ran */
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
  gsize held; /* bytes counted for the request */
  gboolean handled;
  gint64 received_us; /* when the handler was called */
  gboolean suspended;
  gboolean dropped;
  HttpGoneFunc gone_func;
  gpointer gone_data;
  guint status;
  struct MHD_Response *response;
};

/* Adds to the bytes that are held for a request until it ends. */
void http_request_add_held (HttpRequest *request, gsize bytes);

/* Returns a response that passes the body to the connection in chunks and keeps a
   reference to it. */
struct MHD_Response *http_answer_response (HttpRequest *request, GBytes *body);

/* Interval at which the time limits of connections are checked. */
#define HTTP_SWEEP_US (SECOND_US / 4)

/* Timer function that closes the connections that exceed a time limit. */
void http_sweep (gpointer data);
/* Answers with status 413 while the body is being read, and closes the sending side. */
void http_refuse_too_large (Conn *conn);

/* Keeps a socket that is about to be closed until its caller has received what was sent,
   unless the caller has closed its side. */
void http_linger_start (HttpServer *server, int fd);
/* Closes the connections that linger without progress; called at intervals. */
void http_linger_check (HttpServer *server);
void http_linger_destroy_all (HttpServer *server);

/* Timer function that detects closed connections; runs while requests are watched. */
void http_gone_check (gpointer data);

#endif
