#include "intent-private.h"

#include <string.h>

#include <core/names.h>

/* So many accounts' keys are looked for one by one. */
#define LOOKED_FOR_MAX 64u

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
note_holding (Intent *intent, const AccessKey *key)
{
  GArray *digests = g_hash_table_lookup (intent->holdings, key->account);

  if (!digests)
    {
      digests = g_array_new (FALSE, FALSE, CONFIG_KEY_DIGEST);
      g_hash_table_insert (intent->holdings, key->account, digests);
    }
  g_array_append_val (digests, key->digest);
}

/* Notes the digests that an account of the base holds, or all with NULL: a shard is found
   by the digest, and not by the account. */
static void
note_holdings (Intent *intent, const char *account)
{
  for (guint i = 0; i < CONFIG_ACCOUNT_SHARDS; i++)
    {
      g_autofree char *name = g_strdup_printf ("keys/%02x", i);
      const ConfigPart *part = snapshot_part (intent->base, name);

      for (guint j = 0; part && j < config_part_keys (part)->len; j++)
        {
          const AccessKey *key = g_ptr_array_index (config_part_keys (part), j);

          /* Accounts' names are interned: equal ones are the same text. */
          if (!account || key->account == account)
            note_holding (intent, key);
        }
    }
}

/* A look through 88,000 keys takes a millisecond, a table of them 150: for a few accounts
   each is looked for, for many there is a table. */
static const GArray *
held_by (Intent *intent, const char *account)
{
  GRefString *interned;
  const GArray *digests;

  if (!intent->holdings)
    intent->holdings = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                              (GDestroyNotify)g_array_unref);
  if (!intent->all_held && intent->looked_for++ >= LOOKED_FOR_MAX)
    {
      g_hash_table_remove_all (intent->holdings);
      note_holdings (intent, NULL);
      intent->all_held = TRUE;
    }
  interned = g_ref_string_new_intern (account);
  if (!intent->all_held && !g_hash_table_contains (intent->holdings, account))
    note_holdings (intent, interned);
  digests = g_hash_table_lookup (intent->holdings, account);
  g_ref_string_release (interned);
  return digests;
}

static void
remove_keys_of (Intent *intent, const char *account)
{
  const GArray *digests = held_by (intent, account);

  for (guint i = 0; digests && i < digests->len; i++)
    {
      const guint8 *digest = (const guint8 *)digests->data + (gsize)i * CONFIG_KEY_DIGEST;
      g_autofree char *name = config_key_shard (digest);
      GPtrArray *shard = intent_shard (intent, intent->keys, name);

      for (guint j = shard->len; j-- > 0;)
        {
          const AccessKey *key = g_ptr_array_index (shard, j);

          if (memcmp (key->digest, digest, CONFIG_KEY_DIGEST) == 0 &&
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
                       "a key's digest must be 64 lower-case hexadecimal digits");
      return;
    }
  name = config_key_shard (key->digest);
  g_ptr_array_add (intent_shard (intent, intent->keys, name), key);
}

/* An account's keys are given by their digests, all of them: those left out go. */
static void
apply_keys (Intent *intent, JsonView *item, const char *account)
{
  guint count = json_view_array_length (item, "keys_sha256");

  if (snapshot_account (intent->base, account))
    remove_keys_of (intent, account);
  for (guint i = 0; i < count; i++)
    {
      const char *hex =
          json_view_array_string (item, "keys_sha256", i, 2 * CONFIG_KEY_DIGEST);

      if (hex)
        add_key (intent, hex, account, json_view_path (item));
    }
}

/*
 * Two accounts of an intent with a key in common, or two of the same name, are faults of
 * the parts that come of it.
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
    remove_keys_of (intent, id);
  else
    json_faults_add (intent->faults, "$.remove_accounts", "no account \"%s\"", id);
}

/* What is removed goes first, so that its keys can be passed on to another account. */
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
