#include "model.h"

#include <string.h>

#include <core/json-write.h>
#include <core/names.h>

#define DIGEST_HEX (2 * CONFIG_KEY_DIGEST_LEN)
#define DIGEST_BASE64 44u
#define HEX_DIGITS "0123456789abcdef"
/* Limit of rate and burst, more than a fleet of 1,200 VMs can serve. */
#define ALLOWANCE_MAX 1e9
#define TENANT_DEFAULT "default"

Account *
account_read (JsonView *view)
{
  Account *account = g_new0 (Account, 1);

  account->id = g_ref_string_new_intern (names_required (view, "id"));
  account->tenant = g_ref_string_new_intern (
      json_view_string (view, "tenant", NAME_MAX_LEN, TENANT_DEFAULT));
  account->per_s = (float)json_view_double (view, "per_s", 0, ALLOWANCE_MAX, 0);
  account->burst = (float)json_view_double (view, "burst", 0, ALLOWANCE_MAX, 0);
  account->priority =
      (guint)json_view_int (view, "priority", 0, CONFIG_ACCOUNT_PRIORITIES - 1, 0);
  if (!names_valid (account->tenant))
    json_faults_add (json_view_faults (view), json_view_path (view),
                     "\"tenant\" must be a valid name");
  return account;
}

void
account_free (Account *account)
{
  if (!account)
    return;
  g_ref_string_release (account->id);
  g_ref_string_release (account->tenant);
  g_free (account);
}

void
account_write (const Account *account, GString *text)
{
  g_string_append_c (text, '{');
  json_put_string (text, "id", account->id);
  if (strcmp (account->tenant, TENANT_DEFAULT) != 0)
    json_put_string (text, "tenant", account->tenant);
  if (account->per_s > 0)
    json_put_double (text, "per_s", account->per_s);
  if (account->burst > 0)
    json_put_double (text, "burst", account->burst);
  if (account->priority > 0)
    json_put_int (text, "priority", account->priority);
  g_string_append_c (text, '}');
}

Account *
account_copy (const Account *account)
{
  Account *copy = g_memdup2 (account, sizeof *account);

  copy->id = g_ref_string_new_intern (account->id);
  copy->tenant =
      g_ref_string_new_intern (account->tenant ? account->tenant : TENANT_DEFAULT);
  return copy;
}

static gint
compare_accounts (gconstpointer a, gconstpointer b)
{
  return strcmp ((*(Account *const *)a)->id, (*(Account *const *)b)->id);
}

void
accounts_sort (GPtrArray *accounts)
{
  g_ptr_array_sort (accounts, compare_accounts);
}

AccessKey *
access_key_create (const char *hex, const char *account)
{
  AccessKey *key;

  if (strspn (hex, HEX_DIGITS) < DIGEST_HEX)
    return NULL;
  key = g_new0 (AccessKey, 1);
  for (guint i = 0; i < CONFIG_KEY_DIGEST_LEN; i++)
    key->digest[i] = (guint8)(g_ascii_xdigit_value (hex[2 * i]) << 4 |
                              g_ascii_xdigit_value (hex[2 * i + 1]));
  key->account = g_ref_string_new_intern (account);
  return key;
}

/* Parts hold digests in base64, which takes two thirds of the bytes of hexadecimal. */
AccessKey *
access_key_read (const char *text, const char *path, JsonFaults *faults)
{
  g_autofree char *code = g_strndup (text, DIGEST_BASE64);
  g_autofree guchar *digest = NULL;
  AccessKey *key = NULL;
  gsize len = 0;

  digest = g_base64_decode (code, &len);
  if (len == CONFIG_KEY_DIGEST_LEN && strlen (text) > DIGEST_BASE64 &&
      text[DIGEST_BASE64] == ' ' && names_valid (text + DIGEST_BASE64 + 1))
    {
      key = g_new0 (AccessKey, 1);
      memcpy (key->digest, digest, CONFIG_KEY_DIGEST_LEN);
      key->account = g_ref_string_new_intern (text + DIGEST_BASE64 + 1);
    }
  if (!key)
    json_faults_add (faults, path, "an access key must have the form \"DIGEST ACCOUNT\"");
  return key;
}

void
access_key_free (AccessKey *key)
{
  if (!key)
    return;
  g_ref_string_release (key->account);
  g_free (key);
}

void
access_key_write (const AccessKey *key, GString *text)
{
  g_autofree char *code = g_base64_encode (key->digest, CONFIG_KEY_DIGEST_LEN);
  g_autofree char *words = g_strconcat (code, " ", key->account, NULL);

  json_put_element (text, words);
}

static gint
compare_keys (gconstpointer a, gconstpointer b)
{
  return memcmp ((*(AccessKey *const *)a)->digest, (*(AccessKey *const *)b)->digest,
                 CONFIG_KEY_DIGEST_LEN);
}

void
access_keys_sort (GPtrArray *keys)
{
  g_ptr_array_sort (keys, compare_keys);
}

/* Estimates the index of a digest from its first four bytes. SHA-256 digests are evenly
   distributed, so the error is about the square root of the number of keys. */
static guint
estimate_index (const GPtrArray *keys, const guint8 *digest)
{
  guint64 first = (guint64)digest[0] << 24 | (guint64)digest[1] << 16 |
                  (guint64)digest[2] << 8 | digest[3];

  return (guint)(first * keys->len >> 32);
}

static int
compare_key_at (const GPtrArray *keys, guint place, const guint8 *digest)
{
  return memcmp (((AccessKey *)g_ptr_array_index (keys, place))->digest, digest,
                 CONFIG_KEY_DIGEST_LEN);
}

/* Interpolation search: widens a range around the estimated index, in steps that double,
   until the digest must be in it, and then bisects the range. */
gint
access_keys_find (const GPtrArray *keys, const guint8 *digest)
{
  guint low = keys->len > 0 ? estimate_index (keys, digest) : 0;
  guint high = low;

  for (guint step = 4; low > 0 && compare_key_at (keys, low, digest) > 0; step *= 2)
    low -= MIN (step, low);
  for (guint step = 4; high < keys->len && compare_key_at (keys, high, digest) < 0;
       step *= 2)
    high += MIN (step, keys->len - high);
  high = MIN (high + 1, keys->len);
  while (low < high)
    {
      guint middle = low + (high - low) / 2;
      int order = compare_key_at (keys, middle, digest);

      if (order == 0)
        return (gint)middle;
      if (order < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return -1;
}
