#include <core/fingerprint.h>

#include <string.h>

#define SHA256_BYTES 32u

struct FingerprintKey
{
  GHmac *keyed; /* keyed HMAC state; copied for each digest */
};

FingerprintKey *
fingerprint_key_create (const char *secret)
{
  FingerprintKey *key = g_new0 (FingerprintKey, 1);

  key->keyed = g_hmac_new (G_CHECKSUM_SHA256, (const guchar *)secret, strlen (secret));
  return key;
}

void
fingerprint_key_destroy (FingerprintKey *key)
{
  if (!key)
    return;
  g_hmac_unref (key->keyed);
  g_free (key);
}

/* Finishes and frees `hmac`, and returns the first eight bytes of its digest. */
static guint64
finish (GHmac *hmac)
{
  guint8 digest[SHA256_BYTES];
  gsize len = sizeof digest;
  guint64 value;

  g_hmac_get_digest (hmac, digest, &len);
  g_hmac_unref (hmac);
  memcpy (&value, digest, sizeof value);
  return GUINT64_FROM_BE (value);
}

/* Adds a string including its terminating NUL, so that different lists of strings never
   give the same input. */
static void
add_text (GHmac *hmac, const char *text)
{
  const char *given = text ? text : "";

  g_hmac_update (hmac, (const guchar *)given, (gssize)strlen (given) + 1);
}

static guint64
head_of (const FingerprintKey *key, const FingerprintInput *words)
{
  GHmac *hmac = g_hmac_copy (key->keyed);
  guint64 length = GUINT64_TO_BE ((guint64)words->body_len);

  add_text (hmac, words->service);
  add_text (hmac, words->account);
  add_text (hmac, words->method);
  add_text (hmac, words->host);
  add_text (hmac, words->path);
  g_hmac_update (hmac, (const guchar *)&length, sizeof length);
  return finish (hmac);
}

static guint64
body_of (const FingerprintKey *key, const FingerprintInput *words)
{
  GHmac *hmac;

  if (words->body_len == 0)
    return 0;
  hmac = g_hmac_copy (key->keyed);
  g_hmac_update (hmac, words->body, (gssize)words->body_len);
  return finish (hmac);
}

Fingerprints
fingerprint_heads (const FingerprintKey *key, const FingerprintInput *words)
{
  Fingerprints prints = { .count = 1 };
  const char *query = words->path ? strchr (words->path, '?') : NULL;
  FingerprintInput alone = *words;
  g_autofree char *path = NULL;

  prints.of[0].head = head_of (key, words);
  if (!query)
    return prints;
  path = g_strndup (words->path, (gsize)(query - words->path));
  alone.path = path;
  prints.of[1].head = head_of (key, &alone);
  prints.count = 2;
  return prints;
}

void
fingerprint_add_body (const FingerprintKey *key,
                      const FingerprintInput *words,
                      Fingerprints *prints)
{
  guint64 body = body_of (key, words);

  for (guint i = 0; i < prints->count; i++)
    prints->of[i].body = body;
}

Fingerprints
fingerprint_all (const FingerprintKey *key, const FingerprintInput *words)
{
  Fingerprints prints = fingerprint_heads (key, words);

  fingerprint_add_body (key, words, &prints);
  return prints;
}

gboolean
fingerprint_equal (const Fingerprint *a, const Fingerprint *b)
{
  return a->head == b->head && a->body == b->body;
}

char *
fingerprint_text (const Fingerprint *fingerprint)
{
  return g_strdup_printf ("%0*" G_GINT64_MODIFIER "x", FINGERPRINT_DIGITS,
                          (fingerprint->head ^ fingerprint->body) >>
                              (64 - 4 * FINGERPRINT_DIGITS));
}
