/*
 * What the files of the HTTP server share: http-server.c its life and the reading of
 * requests, http-request.c one request and its answer, http-gone.c callers who hang up.
 */
#ifndef IO_HTTP_SERVER_PRIVATE_H
#define IO_HTTP_SERVER_PRIVATE_H

#include <io/http-server.h>

#include <microhttpd.h>

/* One connection of a caller; kept by libmicrohttpd as its socket context. */
typedef struct
{
  HttpServer *server;
  int fd;
  gint64 reading_since_us; /* 0 while no request is being read */
  gint64 idle_since_us;    /* 0 while there is a request */
  gint64 taking_since_us;  /* when the caller last took some of its answer; 0 for none */
  gsize answer_left;       /* bytes that it has not taken */
  gboolean refused;        /* told that nothing ran: nothing that still comes may run */
} Conn;

struct HttpServer
{
  Loop *loop;
  int fd;
  struct MHD_Daemon *daemon;
  LoopFd *watch;
  LoopTimer *sweep;
  LoopTimer *gone_check;
  GHashTable *watched; /* set of HttpRequest whose callers may hang up */
  gboolean closing;
  HttpLimits limits;
  HttpHandler handler;
  gpointer data;
  HttpLetGoFunc let_go;
  gpointer let_go_data;
  HttpFullFunc full;
  gpointer full_data;
  gsize held;        /* bytes of bodies and answers */
  GHashTable *conns; /* set of Conn */
  guint active;
  gboolean woken; /* a connection was resumed since the daemon last ran */
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
  gsize held; /* bytes counted for it */
  gboolean handled;
  gint64 taken_us; /* when it was handled */
  gboolean suspended;
  gboolean dropped;
  HttpGoneFunc gone;
  gpointer gone_data;
  guint status;
  struct MHD_Response *response;
};

/* Counts bytes that are held for a request, until it has ended. */
void http_request_hold (HttpRequest *request, gsize bytes);

/* A response whose bytes the connection takes piece by piece; it keeps the body. */
struct MHD_Response *http_answer_response (HttpRequest *request, GBytes *body);

/* Looks for hang-ups while anybody wants to know of them; for the server's timer. */
void http_gone_check (gpointer data);

#endif
