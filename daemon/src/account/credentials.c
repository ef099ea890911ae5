#include "credentials.h"

#include <string.h>

#include <io/http-types.h>

#define SCHEME "Bearer"
/* Operators' keys have some twenty bytes. A longer text cannot be a valid key, and is
   rejected without being hashed. */
#define KEY_MAX 1024u

/* Returns the key after the scheme, or NULL. Blanks around the key are not part of it
   (RFC 9110, section 11.4). */
static const char *
find_bearer_key (const char *value, gsize *len)
{
  gsize scheme = strlen (SCHEME);
  const char *key = value + scheme;

  if (g_ascii_strncasecmp (value, SCHEME, scheme) != 0 || *key != ' ')
    return NULL;
  key += strspn (key, " ");
  *len = strlen (key);
  while (*len > 0 && key[*len - 1] == ' ')
    (*len)--;
  return *len > 0 && *len <= KEY_MAX ? key : NULL;
}

static void
digest_key (const char *key, gsize len, guint8 digest[CONFIG_KEY_DIGEST_LEN])
{
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  gsize size = CONFIG_KEY_DIGEST_LEN;

  g_checksum_update (sum, (const guchar *)key, (gssize)len);
  g_checksum_get_digest (sum, digest, &size);
  g_checksum_free (sum);
}

Credentials
credentials_read (const GArray *headers, guint8 digest[CONFIG_KEY_DIGEST_LEN])
{
  const char *value = NULL;
  const char *key;
  gsize len;

  for (guint i = 0; i < headers->len; i++)
    {
      const HttpHeader *header = &g_array_index (headers, HttpHeader, i);

      if (g_ascii_strcasecmp (header->name, CREDENTIALS_HEADER) != 0)
        continue;
      if (value)
        return CREDENTIALS_BAD;
      value = header->value;
    }
  if (!value)
    return CREDENTIALS_NONE;
  key = find_bearer_key (value, &len);
  if (!key)
    return CREDENTIALS_BAD;
  digest_key (key, len, digest);
  return CREDENTIALS_KEY;
}
