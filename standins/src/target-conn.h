/*
 * A connection to the target stand-in: parses HTTP requests and writes answers, which may
 * be malformed on purpose.
 */
#ifndef STANDINS_TARGET_CONN_H
#define STANDINS_TARGET_CONN_H

#include <io/loop.h>

typedef struct
{
  int fd;
  LoopFd *watch;
  GByteArray *in;
  GByteArray *out;
  LoopTimer *timer;
  gboolean busy;   /* its request holds a slot */
  gboolean queued; /* its request waits for a slot */
  gboolean closing;
  gint64 rests_since_us; /* when the last answer was sent; 0 before */
  char *repeat;          /* an answer that comes once more before the next; may be NULL */
  char *path;
  char *id;
  char *attempt;
  char *expected;          /* the target that the request is meant for; may be NULL */
  gboolean signed_answers; /* the request is in the users' dialect */
  const char *notices;     /* header lines added to answers, borrowed; NULL for none */
  gsize body_at;
  gsize body_len;
} TargetConn;

/* Takes ownership of `fd`. The caller sets `watch` and `timer`. */
TargetConn *target_conn_create (int fd);
void target_conn_destroy (TargetConn *conn);

/* Reads available data. Returns FALSE if the connection was closed, failed, or holds more
   than 32 MB. */
gboolean target_conn_read (TargetConn *conn);

/*
 * Parses the first buffered request. Returns FALSE while it is incomplete. For a request
 * in the platform's dialect it replaces *seen by a line that describes the request.
 * Chunked bodies are not supported, because libcurl sends a Content-Length here.
 */
gboolean target_conn_parse (TargetConn *conn, char **seen);
/* Removes the parsed request from the input buffer. */
void target_conn_drop_request (TargetConn *conn);

/* Returns the body of a correct answer from the target `name`; the caller frees it. */
char *target_conn_body (const TargetConn *conn, const char *name);

void target_conn_put (TargetConn *conn, const char *text);
/* Appends an answer whose Content-Length is `extra` bytes too large. `attempt` is the
   attempt id to echo, or NULL. */
void target_conn_put_answer (
    TargetConn *conn, guint status, const char *body, const char *attempt, gsize extra);
void target_conn_flush (TargetConn *conn);
/* Resets the connection when it is closed. */
void target_conn_reset (TargetConn *conn);
/* Sends the buffered output and shuts the connection down. */
void target_conn_close_after (TargetConn *conn);

#endif
