#include "model.h"

#include <string.h>

#include <core/json-write.h>
#include <core/names.h>

#define DIGEST_HEX (2 * CONFIG_KEY_DIGEST)
#define HEX_DIGITS "0123456789abcdef"
/* More requests a second, or at once, than a fleet of 1,200 VMs can take. */
#define ALLOWANCE_MAX 1e9
#define TENANT_DEFAULT "default"

Account *
account_read (JsonView *view)
{
  Account *account = g_new0 (Account, 1);

  account->id = g_ref_string_new_intern (names_required (view, "id"));
  account->tenant = g_ref_string_new_intern (
      json_view_string (view, "tenant", NAME_MAX_LEN, TENANT_DEFAULT));
  account->per_s = json_view_double (view, "per_s", 0, ALLOWANCE_MAX, 0);
  account->burst = json_view_double (view, "burst", 0, ALLOWANCE_MAX, 0);
  account->priority =
      (guint)json_view_int (view, "priority", 0, CONFIG_ACCOUNT_PRIORITIES - 1, 0);
  if (!names_valid (account->tenant))
    json_faults_add (json_view_faults (view), json_view_path (view),
                     "\"tenant\" must be a name");
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
account_write (const Account *account, JsonBuilder *builder)
{
  json_builder_begin_object (builder);
  json_write_string (builder, "id", account->id);
  if (strcmp (account->tenant, TENANT_DEFAULT) != 0)
    json_write_string (builder, "tenant", account->tenant);
  if (account->per_s > 0)
    json_write_double (builder, "per_s", account->per_s);
  if (account->burst > 0)
    json_write_double (builder, "burst", account->burst);
  if (account->priority > 0)
    json_write_int (builder, "priority", account->priority);
  json_builder_end_object (builder);
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
  for (guint i = 0; i < CONFIG_KEY_DIGEST; i++)
    key->digest[i] = (guint8)(g_ascii_xdigit_value (hex[2 * i]) << 4 |
                              g_ascii_xdigit_value (hex[2 * i + 1]));
  key->account = g_ref_string_new_intern (account);
  return key;
}

AccessKey *
access_key_read (const char *text, const char *path, JsonFaults *faults)
{
  AccessKey *key = NULL;

  if (strlen (text) > DIGEST_HEX && text[DIGEST_HEX] == ' ' &&
      names_valid (text + DIGEST_HEX + 1))
    key = access_key_create (text, text + DIGEST_HEX + 1);
  if (!key)
    json_faults_add (faults, path, "is no digest of a key with its account");
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
access_key_write (const AccessKey *key, JsonBuilder *builder)
{
  g_autoptr (GString) text = g_string_sized_new (DIGEST_HEX + NAME_MAX_LEN);

  for (guint i = 0; i < CONFIG_KEY_DIGEST; i++)
    g_string_append_printf (text, "%02x", key->digest[i]);
  g_string_append_c (text, ' ');
  g_string_append (text, key->account);
  json_builder_add_string_value (builder, text->str);
}

static gint
compare_keys (gconstpointer a, gconstpointer b)
{
  return memcmp ((*(AccessKey *const *)a)->digest, (*(AccessKey *const *)b)->digest,
                 CONFIG_KEY_DIGEST);
}

void
access_keys_sort (GPtrArray *keys)
{
  g_ptr_array_sort (keys, compare_keys);
}

gint
access_keys_find (const GPtrArray *keys, const guint8 *digest)
{
  guint low = 0;
  guint high = keys->len;

  while (low < high)
    {
      guint middle = low + (high - low) / 2;
      const AccessKey *key = g_ptr_array_index (keys, middle);
      int order = memcmp (key->digest, digest, CONFIG_KEY_DIGEST);

      if (order == 0)
        return (gint)middle;
      if (order < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return -1;
}
