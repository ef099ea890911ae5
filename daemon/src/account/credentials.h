/*
 * The access key that a caller's request carries, "Authorization: Bearer KEY". Its text
 * goes no further than this: all else knows a key by its digest.
 */
#ifndef DAEMON_CREDENTIALS_H
#define DAEMON_CREDENTIALS_H

#include <core/config.h>

#define CREDENTIALS_HEADER "Authorization"

typedef enum
{
  CREDENTIALS_NONE, /* no such header */
  CREDENTIALS_BAD,  /* no key can be read from it, or there are several */
  CREDENTIALS_KEY
} Credentials;

/* Reads them from an array of HttpHeader; fills `digest` for CREDENTIALS_KEY. */
Credentials credentials_read (const GArray *headers,
                              guint8 digest[CONFIG_KEY_DIGEST_LEN]);

#endif
