#include <core/config-draft.h>

#include "model.h"

struct ConfigDraft
{
  GPtrArray *services; /* of Service */
  GHashTable *shards;  /* key → GPtrArray of Route, Account or AccessKey */
};

ConfigDraft *
config_draft_create (void)
{
  ConfigDraft *draft = g_new0 (ConfigDraft, 1);

  draft->services = g_ptr_array_new_with_free_func ((GDestroyNotify)service_free);
  draft->shards = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                         (GDestroyNotify)g_ptr_array_unref);
  return draft;
}

void
config_draft_destroy (ConfigDraft *draft)
{
  if (!draft)
    return;
  g_ptr_array_unref (draft->services);
  g_hash_table_unref (draft->shards);
  g_free (draft);
}

/* Returns the shard with that key, which is added if needed. Takes ownership of `key`. */
static GPtrArray *
ensure_shard (ConfigDraft *draft, char *key)
{
  GPtrArray *shard = g_hash_table_lookup (draft->shards, key);

  if (shard)
    {
      g_free (key);
      return shard;
    }
  shard = g_ptr_array_new_with_free_func (shard_free_func (key));
  g_hash_table_insert (draft->shards, key, shard);
  return shard;
}

void
config_draft_add_service (ConfigDraft *draft, const Service *service)
{
  g_ptr_array_add (draft->services, service_with_targets (service, service->targets));
}

void
config_draft_add_route (ConfigDraft *draft, const Route *route)
{
  Route *copy = route_copy (route);
  GPtrArray *shard = ensure_shard (draft, config_route_shard (copy->host, copy->prefix));

  for (guint i = shard->len; i-- > 0;)
    if (route_compare (g_ptr_array_index (shard, i), copy->host, copy->prefix) == 0)
      g_ptr_array_remove_index_fast (shard, i);
  g_ptr_array_add (shard, copy);
}

void
config_draft_add_account (ConfigDraft *draft, const Account *account)
{
  g_ptr_array_add (ensure_shard (draft, config_account_shard (account->id)),
                   account_copy (account));
}

void
config_draft_add_key (ConfigDraft *draft, const char *hex, const char *account)
{
  AccessKey *key = access_key_create (hex, account);

  if (key)
    g_ptr_array_add (ensure_shard (draft, config_key_shard (key->digest)), key);
}

GPtrArray *
config_draft_parts (ConfigDraft *draft)
{
  GPtrArray *parts = g_ptr_array_new_with_free_func ((GDestroyNotify)config_part_unref);
  GHashTableIter iter;
  gpointer key;
  gpointer shard;

  g_ptr_array_set_free_func (draft->services, NULL);
  for (guint i = 0; i < draft->services->len; i++)
    g_ptr_array_add (parts,
                     config_part_from_service (g_ptr_array_index (draft->services, i)));
  g_ptr_array_set_size (draft->services, 0);
  g_ptr_array_set_free_func (draft->services, (GDestroyNotify)service_free);
  g_hash_table_iter_init (&iter, draft->shards);
  while (g_hash_table_iter_next (&iter, &key, &shard))
    g_ptr_array_add (parts, config_part_from_shard (key, g_ptr_array_ref (shard)));
  g_hash_table_remove_all (draft->shards);
  return parts;
}

ConfigHead *
config_draft_head (const GPtrArray *parts, guint64 generation)
{
  ConfigHead *head = config_head_create (generation);

  for (guint i = 0; i < parts->len; i++)
    {
      const ConfigPart *part = g_ptr_array_index (parts, i);

      g_hash_table_insert (head->parts, g_strdup (config_part_key (part)),
                           g_strdup (config_part_digest (part)));
    }
  return head;
}
