#include "intent-private.h"

#include <string.h>

#include <core/names.h>

/* Maximum number of look-ups that scan for the keys of one account; the next one indexes
   the keys of all accounts. */
#define KEY_SCANS_MAX 64u

static gboolean
remove_account (GPtrArray *shard, const char *id)
{
  for (guint i = 0; i < shard->len; i++)
    if (strcmp (((Account *)g_ptr_array_index (shard, i))->id, id) == 0)
      {
        g_ptr_array_remove_index (shard, i);
        return TRUE;
      }
  return FALSE;
}

static void
index_key (Intent *intent, const AccessKey *key)
{
  GArray *digests = g_hash_table_lookup (intent->keys_by_account, key->account);

  if (!digests)
    {
      digests = g_array_new (FALSE, FALSE, CONFIG_KEY_DIGEST_LEN);
      g_hash_table_insert (intent->keys_by_account, key->account, digests);
    }
  g_array_append_val (digests, key->digest);
}

/*
 * Adds the key digests of an account in the base to `keys_by_account`, or those of all
 * accounts if `account` is NULL. The scan covers every shard, because keys are sharded by
 * digest.
 */
static void
index_keys (Intent *intent, const char *account)
{
  for (guint i = 0; i < CONFIG_ACCOUNT_SHARDS; i++)
    {
      g_autofree char *name = g_strdup_printf ("keys/%02x", i);
      const ConfigPart *part = snapshot_part (intent->base, name);

      for (guint j = 0; part && j < config_part_keys (part)->len; j++)
        {
          const AccessKey *key = g_ptr_array_index (config_part_keys (part), j);

          /* Account ids are interned, so equal ids have the same address. */
          if (!account || key->account == account)
            index_key (intent, key);
        }
    }
}

/*
 * Returns the digests of an account's keys in the base, or NULL if it has none. A scan of
 * 88,000 keys takes 1 ms and indexing all of them takes 150 ms, so the index is built
 * only after KEY_SCANS_MAX scans.
 */
static const GArray *
find_account_keys (Intent *intent, const char *account)
{
  GRefString *interned;
  const GArray *digests;

  if (!intent->keys_by_account)
    intent->keys_by_account = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                                     (GDestroyNotify)g_array_unref);
  if (!intent->all_keys_indexed && intent->key_scans++ >= KEY_SCANS_MAX)
    {
      g_hash_table_remove_all (intent->keys_by_account);
      index_keys (intent, NULL);
      intent->all_keys_indexed = TRUE;
    }
  interned = g_ref_string_new_intern (account);
  if (!intent->all_keys_indexed &&
      !g_hash_table_contains (intent->keys_by_account, account))
    index_keys (intent, interned);
  digests = g_hash_table_lookup (intent->keys_by_account, account);
  g_ref_string_release (interned);
  return digests;
}

static void
remove_account_keys (Intent *intent, const char *account)
{
  const GArray *digests = find_account_keys (intent, account);

  for (guint i = 0; digests && i < digests->len; i++)
    {
      const guint8 *digest =
          (const guint8 *)digests->data + (gsize)i * CONFIG_KEY_DIGEST_LEN;
      g_autofree char *name = config_key_shard (digest);
      GPtrArray *shard = intent_shard (intent, intent->keys, name);

      for (guint j = shard->len; j-- > 0;)
        {
          const AccessKey *key = g_ptr_array_index (shard, j);

          if (memcmp (key->digest, digest, CONFIG_KEY_DIGEST_LEN) == 0 &&
              strcmp (key->account, account) == 0)
            g_ptr_array_remove_index (shard, j);
        }
    }
}

static void
add_key (Intent *intent, const char *hex, const char *account, const char *path)
{
  AccessKey *key = access_key_create (hex, account);
  g_autofree char *name = NULL;

  if (!key)
    {
      json_faults_add (intent->faults, path,
                       "an access key must be given as its SHA-256 digest, 64 "
                       "lower-case hexadecimal digits");
      return;
    }
  name = config_key_shard (key->digest);
  g_ptr_array_add (intent_shard (intent, intent->keys, name), key);
}

/* Replaces all keys of an account by those that the intent lists. */
static void
apply_keys (Intent *intent, JsonView *item, const char *account)
{
  guint count = json_view_array_length (item, "keys_sha256");

  if (snapshot_account (intent->base, account))
    remove_account_keys (intent, account);
  for (guint i = 0; i < count; i++)
    {
      const char *hex =
          json_view_array_string (item, "keys_sha256", i, 2 * CONFIG_KEY_DIGEST_LEN);

      if (hex)
        add_key (intent, hex, account, json_view_path (item));
    }
}

/*
 * Duplicate account ids, and keys that two accounts share, are not checked here:
 * config_part_parse reports them for the resulting parts.
 */
static void
apply_account (Intent *intent, JsonView *item)
{
  Account *account = account_read (item);
  g_autofree char *key = config_account_shard (account->id);
  GPtrArray *shard = intent_shard (intent, intent->accounts, key);

  if (snapshot_account (intent->base, account->id))
    remove_account (shard, account->id);
  apply_keys (intent, item, account->id);
  g_ptr_array_add (shard, account);
}

static void
apply_removed_account (Intent *intent, const char *id)
{
  g_autofree char *key = config_account_shard (id);

  if (remove_account (intent_shard (intent, intent->accounts, key), id))
    remove_account_keys (intent, id);
  else
    json_faults_add (intent->faults, "$.remove_accounts", "no account named \"%s\"", id);
}

/* Accounts are removed first, so that their keys can be given to another account. */
void
intent_apply_accounts (Intent *intent)
{
  guint count = json_view_array_length (intent->view, "remove_accounts");

  for (guint i = 0; i < count; i++)
    {
      const char *id =
          json_view_array_string (intent->view, "remove_accounts", i, NAME_MAX_LEN);

      if (id)
        apply_removed_account (intent, id);
    }
  count = json_view_array_length (intent->view, "accounts");
  for (guint i = 0; i < count; i++)
    {
      JsonView *item = json_view_array_object (intent->view, "accounts", i);

      if (!item)
        continue;
      apply_account (intent, item);
      json_view_close (item);
    }
}
