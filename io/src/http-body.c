#include "http-server-private.h"

/* Interval over which the rate is taken at which a body arrives. */
#define RATE_US (250 * MS_US)
/* A caller that has sent nothing of a body for this time is taken to have stalled; a lost
   segment is sent again within 200 ms. */
#define STALLED_US (500 * MS_US)

static gint64
now_of (const HttpServer *server)
{
  return clock_now (loop_clock (server->loop));
}

/* Counts what the body takes up as `held` bytes. */
static void
set_held (HttpRequest *request, gsize held)
{
  HttpServer *server = request->server;

  if (server && g_hash_table_contains (server->reading, request))
    server->reading_held += held - request->held;
  mem_account_subtract (request->account, request->held);
  mem_account_add (request->account, held);
  request->held = held;
}

void
http_body_end (HttpRequest *request)
{
  HttpServer *server = request->server;

  if (server && g_hash_table_remove (server->reading, request))
    server->reading_held -= request->held;
}

void
http_body_drop (HttpRequest *request)
{
  http_body_end (request);
  if (request->held == 0)
    return;
  g_byte_array_unref (request->body);
  request->body = g_byte_array_new ();
  set_held (request, 0);
}

/* Notes that bytes of the body have arrived. */
static void
note_progress (HttpRequest *request, gsize len)
{
  gint64 now = now_of (request->server);
  gint64 since = now - request->rate_since_us;

  request->body_progress_us = now;
  if (since >= RATE_US)
    {
      request->rate_bytes_before = since < 2 * RATE_US ? request->rate_bytes : 0;
      request->rate_bytes = 0;
      request->rate_since_us = now;
    }
  request->rate_bytes += len;
}

/* Unfinished bodies in the order in which they are given up. */
typedef enum
{
  BODY_STALLED, /* its caller sends no more */
  BODY_LARGE,
  BODY_SMALL
} BodyKind;

/* What decides which body is given up first: the lowest kind, then the highest weight. */
typedef struct
{
  HttpRequest *request; /* NULL for none */
  BodyKind kind;
  gint64 weight;
} Candidate;

/*
 * A stalled body weighs what it holds. Of large ones the slowest goes first, not the
 * largest: of many that arrive together, the one that has come furthest is finished first
 * and makes room for the next, while all would go without end if the largest were given
 * up.
 */
static Candidate
weigh (HttpRequest *request, gsize held, gboolean growing, gint64 now)
{
  gint64 quiet = now - request->body_progress_us;

  if (!growing && quiet >= STALLED_US)
    return (Candidate){ request, BODY_STALLED, (gint64)held };
  if (held > MEM_ACCOUNT_SMALL)
    return (Candidate){ request, BODY_LARGE,
                        -(gint64)(request->rate_bytes + request->rate_bytes_before) };
  return (Candidate){ request, BODY_SMALL, (gint64)held };
}

static gboolean
goes_before (const Candidate *a, const Candidate *b)
{
  if (!b->request)
    return TRUE;
  if (a->kind != b->kind)
    return a->kind < b->kind;
  if (a->weight != b->weight)
    return a->weight > b->weight;
  return a->request->body_progress_us < b->request->body_progress_us;
}

/* Returns the unfinished body that is given up first. `growing` is about to hold `held`;
   NULL for none. */
static HttpRequest *
first_to_go (const HttpServer *server, HttpRequest *growing, gsize held)
{
  gint64 now = now_of (server);
  Candidate first = { 0 };
  GHashTableIter iter;
  gpointer key;

  if (growing)
    first = weigh (growing, held, TRUE, now);
  g_hash_table_iter_init (&iter, server->reading);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      HttpRequest *request = key;
      Candidate other = weigh (request, request->held, FALSE, now);

      if (request != growing && request->conn && goes_before (&other, &first))
        first = other;
    }
  return first.request;
}

static void
give_up (HttpServer *server, HttpRequest *request)
{
  gsize held = request->held;

  http_refuse_no_room (request->conn);
  if (server->full)
    server->full (held, server->full_data);
}

gboolean
http_body_may_begin (HttpServer *server, guint64 bytes)
{
  MemAccount *account = server->account;
  HttpRequest *first;

  if (!account)
    return TRUE;
  /* What is announced pushes nobody out before it has arrived. */
  if (mem_account_used (account) - server->reading_held + bytes >
      mem_account_limit (account, MEM_CALLER, bytes))
    return FALSE;
  while (!mem_account_fits (account, MEM_CALLER, 0, 0) &&
         (first = first_to_go (server, NULL, 0)))
    give_up (server, first);
  return mem_account_fits (account, MEM_CALLER, 0, 0);
}

gboolean
http_body_append (HttpRequest *request, const char *bytes, gsize len)
{
  HttpServer *server = request->server;
  gsize held = mem_account_cost (request->body->len + len);
  HttpRequest *first;

  while (!mem_account_fits (server->account, MEM_CALLER, held - request->held, held))
    {
      first = first_to_go (server, request, held);
      if (!first->conn)
        return FALSE;
      give_up (server, first);
      if (first == request)
        return FALSE;
    }
  g_hash_table_add (server->reading, request);
  note_progress (request, len);
  set_held (request, held);
  g_byte_array_append (request->body, (const guint8 *)bytes, (guint)len);
  return TRUE;
}
