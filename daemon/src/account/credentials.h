/*
 * Reads the access key from a caller's request, "Authorization: Bearer KEY". The key's
 * text is used only here; all other code works with its digest.
 */
#ifndef DAEMON_CREDENTIALS_H
#define DAEMON_CREDENTIALS_H

#include <core/config.h>

#define CREDENTIALS_HEADER "Authorization"

typedef enum
{
  CREDENTIALS_NONE, /* no Authorization header */
  CREDENTIALS_BAD,  /* the header is malformed, or there are several */
  CREDENTIALS_KEY
} Credentials;

/* Reads the credentials from an array of HttpHeader; sets `digest` to the key's SHA-256
   for CREDENTIALS_KEY only. */
Credentials credentials_read (const GArray *headers,
                              guint8 digest[CONFIG_KEY_DIGEST_LEN]);

#endif
