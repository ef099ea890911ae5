/*
 * A connection of a stand-in for a target: requests as they come in, and the bytes of
 * answers, which may be wrong on purpose.
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
  gboolean busy;   /* holds a slot */
  gboolean queued; /* waits for one */
  gboolean closing;
  char *path;
  char *id;
  char *attempt;
  char *expected;          /* the target that it is meant for, NULL where none is said */
  gboolean signed_answers; /* the caller speaks the users' dialect */
  gsize body_at;
  gsize body_len;
} TargetConn;

/* Neither watched nor timed yet. */
TargetConn *target_conn_create (int fd);
void target_conn_destroy (TargetConn *conn);

/* Reads what has come; FALSE when the connection is at its end. */
gboolean target_conn_read (TargetConn *conn);

/*
 * Takes the request that has come in apart; FALSE while it is not whole. *seen becomes a
 * line about one in the platform's dialect. Callers here are libcurl, with lengths.
 */
gboolean target_conn_parse (TargetConn *conn, char **seen);
/* Drops the request from what has come in. */
void target_conn_drop_request (TargetConn *conn);

/* The body of a good answer to the request, from a target of that name. */
char *target_conn_body (const TargetConn *conn, const char *name);

void target_conn_put (TargetConn *conn, const char *text);
/* A head and a body, whose length is said to be `extra` more; NULL for no attempt. */
void target_conn_put_answer (
    TargetConn *conn, guint status, const char *body, const char *attempt, gsize extra);
void target_conn_flush (TargetConn *conn);
/* Sends what there is, and ends it. */
void target_conn_close_after (TargetConn *conn);

#endif
