/*
 * The HTTP dialect of callers and targets: which headers and statuses carry what this
 * project means. A table of functions for each deployment; nothing outside it reads or
 * writes a header of these by name.
 */
#ifndef DAEMON_DIALECT_H
#define DAEMON_DIALECT_H

#include <core/outcome.h>
#include <io/http-client.h>
#include <io/http-server.h>
#include <wire/message.h>

#include "node.h"

/* What a caller's request says, decoded once. All texts live as long as the request. */
typedef struct
{
  const char *id; /* the caller's own name of this try, NULL for none */
  char *parent;   /* the id of the request that a target makes this call for; NULL for a
                     caller's own, or where it cannot be told; owned */
  char *host;     /* lower case, without a port; owned */
  char *path;     /* what routes are matched against; owned */
  gint64 wait_us; /* how long the caller waits; 0 when it does not say */
} CallerWords;

/* What an answer to a caller is about. */
typedef struct
{
  Outcome outcome;
  Reason reason;
  gint64 retry_after_us; /* for "not run" */
} Verdict;

typedef struct
{
  /* Decodes; returns NULL, or what is wrong with the request in a caller's terms. */
  const char *(*decode) (const HttpRequest *request, CallerWords *words);
  /* Whether a caller's header goes on to the target; `identified` when the request was
     taken by its access key, which is the fleet's own matter. */
  gboolean (*forwards) (const char *name, gboolean identified);
  /* Headers that the ingress adds for the target, into `headers`; `account` is whose
     request it is, NULL for nobody's. */
  void (*add_origin) (const Settings *settings, const char *account, GArray *headers);
  /* Headers that the sidecar adds to one attempt, with `left_us` until its deadline. */
  void (*add_attempt) (const sw_submit_args *args, gint64 left_us, GArray *headers);
  /* Whether an attempt carries the request that has this id. */
  gboolean (*carries) (const sw_submit_args *args, const char *id);
  /* Judges what the target answered: result, reason, and the answer (borrowed). */
  void (*judge) (const sw_submit_args *args,
                 const HttpResult *result,
                 sw_submit_res *res);
  /* Whether a header of a target's answer goes on to the caller. */
  gboolean (*returns) (const char *name);
  /* The status of an answer of our own, and its headers. */
  guint (*status) (const Verdict *verdict);
  void (*add_verdict) (const Verdict *verdict, const char *id, GArray *headers);
  const char *account_header; /* that tells the target whose request it is */
  gint64 slack_us;          /* past the deadline, until a caller is told at the latest */
  gboolean tickets;         /* callers may ask for tickets (ticket.h) */
  gboolean keys_everywhere; /* where there are accounts, a key is looked at on any route,
                               and not only on those that want one */
} Dialect;

/* The headers `Switchmill-*`, see docs/OPERATIONS.md. */
extern const Dialect dialect_own;

/* Judges what HTTP alone can tell, before a dialect looks at the answer. */
void dialect_judge_transport (const HttpResult *result, sw_submit_res *res);

/* Takes the target's answer over into `res`, without headers of one hop. */
void dialect_fill_answer (const HttpResult *result, sw_answer *answer);

/* The host of a request in lower case, without its port. */
char *dialect_host (const HttpRequest *request);

void caller_words_clear (CallerWords *words);

#endif
