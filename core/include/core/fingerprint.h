/*
 * Fingerprints recognise a request that is sent again, under another id or at another
 * node. Two requests are the same if service, client account, method, host, path and body
 * are equal. The digest is keyed with the fleet's secret, so that an outsider cannot
 * construct two requests with equal fingerprints.
 *
 * A request with a query has a fingerprint with the query and one without. Callers may
 * add a page number or the time to a request that is otherwise the same to a target,
 * whereas others request very different things under one path.
 *
 * A fingerprint has two halves. The head is cheap to compute, whatever the size of the
 * body, and tells most requests apart. The body is digested only if the head matches one
 * that is looked for.
 */
#ifndef CORE_FINGERPRINT_H
#define CORE_FINGERPRINT_H

#include <glib.h>

/* Hexadecimal digits of a fingerprint in logs and status; enough to identify entries. */
#define FINGERPRINT_DIGITS 8

typedef struct
{
  guint64 head; /* digest of all parts but the body, and of the body's length */
  guint64 body; /* digest of the body; 0 for an empty one */
} Fingerprint;

/* The parts of a request that a fingerprint covers. The strings are borrowed; NULL means
   "". */
typedef struct
{
  const char *service;
  const char *account;
  const char *method;
  const char *host;
  const char *path;
  const void *body;
  gsize body_len;
} FingerprintInput;

typedef struct FingerprintKey FingerprintKey;

FingerprintKey *fingerprint_key_create (const char *secret);
void fingerprint_key_destroy (FingerprintKey *key);

/* The fingerprints of one request: that of its path as received and, if the path has a
   query, that of the path without it. */
#define FINGERPRINTS_MAX 2u
typedef struct
{
  Fingerprint of[FINGERPRINTS_MAX];
  guint count;
} Fingerprints;

/* The first computes only the heads and leaves the bodies 0; the second computes both. */
Fingerprints fingerprint_heads (const FingerprintKey *key, const FingerprintInput *words);
Fingerprints fingerprint_all (const FingerprintKey *key, const FingerprintInput *words);
/* Adds the body's digest to fingerprints from fingerprint_heads. */
void fingerprint_add_body (const FingerprintKey *key,
                           const FingerprintInput *words,
                           Fingerprints *prints);

gboolean fingerprint_equal (const Fingerprint *a, const Fingerprint *b);

/* Returns the first digits of the two halves XORed; the caller frees the string. */
char *fingerprint_text (const Fingerprint *fingerprint);

#endif
