/*
 * State shared by intent.c (services and routes) and intent-accounts.c (client accounts
 * and their access keys).
 */
#ifndef CORE_CONFIG_INTENT_PRIVATE_H
#define CORE_CONFIG_INTENT_PRIVATE_H

#include "intent.h"

/* An intent while it is applied to a base snapshot. */
typedef struct
{
  const Snapshot *base;
  JsonFaults *faults;
  JsonView *view;
  GHashTable *services; /* name → Service, changed or added; NULL if removed */
  GHashTable *routes;   /* shard key → GPtrArray of Route, copied from the base */
  GHashTable *accounts; /* shard key → GPtrArray of Account */
  GHashTable *keys;     /* shard key → GPtrArray of AccessKey */
  GHashTable *keys_by_account; /* account id → GArray of its key digests in the base */
  gboolean all_keys_indexed;   /* `keys_by_account` covers all accounts of the base */
  guint key_scans;             /* look-ups of one account's keys before that */
} Intent;

/*
 * Returns the shard with that key from `shards`; if it is not there, adds a copy of the
 * base's shard, or an empty one. The caller may change it; `shards` owns it.
 */
GPtrArray *intent_shard (Intent *intent, GHashTable *shards, const char *key);

/* Applies the intent's "remove_accounts" and "accounts". */
void intent_apply_accounts (Intent *intent);

#endif
