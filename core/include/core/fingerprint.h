/*
 * Fingerprints: what is the same request when it comes again, under another id, at
 * another node. Two requests are the same when service, client account, method, host,
 * path and body are. Keyed with the fleet's secret, so that nobody outside can make two
 * requests alike.
 *
 * A request has a fingerprint with its query and one without: callers send a page's
 * number or the time along with what is the same to a target, and others ask for very
 * different things under one path.
 *
 * A fingerprint has two halves. The head is cheap, whatever the size of the body, and
 * tells most requests apart; the body is digested only where the head is one that is
 * looked for.
 */
#ifndef CORE_FINGERPRINT_H
#define CORE_FINGERPRINT_H

#include <glib.h>

/* Hexadecimal digits of a fingerprint in logs and status: enough to tell entries apart.
 */
#define FINGERPRINT_DIGITS 8

typedef struct
{
  guint64 head; /* of all but the body, and of the body's length */
  guint64 body; /* 0 for an empty one */
} Fingerprint;

/* What a fingerprint is made of; texts are borrowed, NULL reads as "". */
typedef struct
{
  const char *service;
  const char *account;
  const char *method;
  const char *host;
  const char *path;
  const void *body;
  gsize body_len;
} FingerprintWords;

typedef struct FingerprintKey FingerprintKey;

FingerprintKey *fingerprint_key_create (const char *secret);
void fingerprint_key_destroy (FingerprintKey *key);

/* What a request may be known by: its path as it came, and, where that has a query, its
   path alone. */
#define FINGERPRINTS_MAX 2u
typedef struct
{
  Fingerprint of[FINGERPRINTS_MAX];
  guint count;
} Fingerprints;

/* All heads, with no bodies yet; and all of it. */
Fingerprints fingerprint_heads (const FingerprintKey *key, const FingerprintWords *words);
Fingerprints fingerprint_all (const FingerprintKey *key, const FingerprintWords *words);
/* Adds the body to heads. */
void fingerprint_add_body (const FingerprintKey *key,
                           const FingerprintWords *words,
                           Fingerprints *prints);

gboolean fingerprint_equal (const Fingerprint *a, const Fingerprint *b);

/* The first digits; the caller frees the text. */
char *fingerprint_text (const Fingerprint *fingerprint);

#endif
