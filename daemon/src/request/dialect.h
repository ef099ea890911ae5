/*
 * The HTTP dialect of callers and targets: a table of functions for each deployment,
 * which maps identifiers, deadlines and outcomes to headers and statuses. Only the
 * dialect reads or writes its headers by name.
 */
#ifndef DAEMON_DIALECT_H
#define DAEMON_DIALECT_H

#include <core/outcome.h>
#include <io/http-client.h>
#include <io/http-server.h>
#include <wire/message.h>

#include "node.h"

/* The decoded fields of a caller's request. Borrowed strings live as long as the request.
 */
typedef struct
{
  const char *id; /* the caller's identifier of this request, or NULL; borrowed */
  char *parent; /* the identifier of the request for which a target makes this call; NULL
                   if it is no such call, or not known to be one; owned */
  char *host;   /* lower case, without a port; owned */
  char *path;   /* the path to match against the routes; owned */
  gint64 wait_us; /* how long the caller waits; 0 if it does not say */
} CallerRequest;

/* The result of a request, as reported to the caller. */
typedef struct
{
  Outcome outcome;
  Reason reason;
  gint64 retry_after_us; /* for "not run" */
} Verdict;

typedef struct
{
  /* Fills `words`; returns NULL, or an error message for the caller. */
  const char *(*decode) (const HttpRequest *request, CallerRequest *words);
  /* Whether a caller's header is forwarded to the target; with `key_checked`, the fleet
     has checked the access key, which is then not forwarded. */
  gboolean (*forwards) (const char *name, gboolean key_checked);
  /* Adds the ingress's headers for the target to `headers`; `account` is the id of the
     request's account, or NULL. */
  void (*add_origin) (const Settings *settings, const char *account, GArray *headers);
  /* Adds the sidecar's headers for one attempt, with `left_us` until its deadline. */
  void (*add_attempt) (const sw_submit_args *args, gint64 left_us, GArray *headers);
  /* Whether an attempt carries the request with this identifier. */
  gboolean (*carries) (const sw_submit_args *args, const char *id);
  /* Whether the headers of an answer name another request than the attempt's. */
  gboolean (*is_foreign) (const sw_submit_args *args, const GArray *headers);
  /* Classifies the target's answer: sets result and reason, and for SW_DONE the answer,
     whose strings and body are borrowed from `result`. */
  void (*judge) (const sw_submit_args *args,
                 const HttpResult *result,
                 sw_submit_res *res);
  /* Whether a header of a target's answer is forwarded to the caller. */
  gboolean (*returns) (const char *name);
  /* The HTTP status of an answer that the node makes itself. */
  guint (*status) (const Verdict *verdict);
  /* Adds the headers that report the result. */
  void (*add_verdict) (const Verdict *verdict, const char *id, GArray *headers);
  /* In a target's answers: the requests a second that it takes from the whole fleet, and
     that it leaves. NULL if the dialect has no such header. */
  const char *rate_header;
  const char *leaving_header;
  const char *account_header; /* carries the account's id to the target */
  gint64 slack_us;  /* how long after the deadline the caller is answered at most */
  gboolean tickets; /* callers may ask for tickets (ticket.h) */
  gboolean keys_everywhere; /* with accounts configured, keys are checked on every route,
                               not only on those that require one */
} Dialect;

/* The dialect with the headers `Switchmill-*`, see docs/OPERATIONS.md. */
extern const Dialect dialect_own;

/* Sets result, reason and `target_us` from the outcome of the HTTP call alone; a dialect
   then examines a whole answer. */
void dialect_judge_transport (const HttpResult *result, sw_submit_res *res);

/* Fills `answer` without hop-by-hop headers. The caller frees its header array; strings
   and body stay owned by `result`. */
void dialect_fill_answer (const HttpResult *result, sw_answer *answer);

/* Returns the host of a request in lower case, without its port; the caller frees it. */
char *dialect_host (const HttpRequest *request);

void caller_request_clear (CallerRequest *words);

#endif
