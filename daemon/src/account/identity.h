/*
 * Whose request it is: the client account that its access key belongs to, under the
 * configuration in force when the request has been read. That one decides to the end: a
 * key that is taken away while the request waits, or between two attempts, does not cut
 * it, and one that is passed on leaves it its former holder's.
 */
#ifndef DAEMON_IDENTITY_H
#define DAEMON_IDENTITY_H

#include "credentials.h"
#include "dialect.h"

typedef struct
{
  const Account *account; /* the snapshot's; NULL for nobody's */
  gboolean identified; /* the key has been looked at, and is no matter of the target's */
  guint status;        /* what the caller is refused with; 0 when it is not */
  Credentials credentials;
  guint8 digest[CONFIG_KEY_DIGEST_LEN]; /* of CREDENTIALS_KEY */
} Identity;

/* Finds out for a request on `route`, whose service is of `tenant`. */
Identity identity_find (const Dialect *dialect,
                        const HttpRequest *request,
                        const Snapshot *snapshot,
                        const Route *route,
                        const char *tenant);

/* Why the caller is refused, in its terms. */
const char *identity_fault (const Identity *identity);

/* One line for the log about a caller that was refused. */
void identity_log (const Identity *identity, Node *node, const char *id);

/* The rank of a request where work waits, 0 first: by account, then by route. */
guint identity_rank (guint account_priority, const Route *route);

#endif
