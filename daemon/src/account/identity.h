/*
 * Authentication of callers: finds the client account of a request's access key, in the
 * configuration in force when the request has been read. The result holds until the
 * request ends. Removing the key while the request waits, or between two attempts, does
 * not abort it, and after a transfer of the key the request still belongs to the former
 * account.
 */
#ifndef DAEMON_IDENTITY_H
#define DAEMON_IDENTITY_H

#include "credentials.h"
#include "dialect.h"

typedef struct
{
  const Account *account; /* borrowed from the snapshot; NULL for none */
  gboolean key_checked;   /* the key was checked here and is not passed to the target */
  guint status;           /* HTTP status of the refusal; 0 when the caller is accepted */
  Credentials credentials;
  guint8 digest[CONFIG_KEY_DIGEST_LEN]; /* set for CREDENTIALS_KEY */
} Identity;

/* Identifies the caller of a request on `route`, whose service belongs to `tenant`. */
Identity identity_find (const Dialect *dialect,
                        const HttpRequest *request,
                        const Snapshot *snapshot,
                        const Route *route,
                        const char *tenant);

/* Returns the reason for the refusal, as text for the caller. */
const char *identity_refusal (const Identity *identity);

/* Counts a refused caller, and logs one line with the reason. */
void identity_log (const Identity *identity, Node *node, const char *id);

/* Returns the queue priority of a request, 0 first: by account, then by route. */
guint identity_priority (guint account_priority, const Route *route);

#endif
