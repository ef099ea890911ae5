/*
 * What the files of an intent share: intent.c services and routes, intent-accounts.c
 * client accounts and their access keys.
 */
#ifndef CORE_CONFIG_INTENT_PRIVATE_H
#define CORE_CONFIG_INTENT_PRIVATE_H

#include "intent.h"

/* An intent being worked out. */
typedef struct
{
  const Snapshot *base;
  JsonFaults *faults;
  JsonView *view;
  GHashTable *services; /* name → Service, changed or added; NULL value: removed */
  GHashTable *routes;   /* shard key → GPtrArray of Route, copied from the base */
  GHashTable *accounts; /* shard key → GPtrArray of Account */
  GHashTable *keys;     /* shard key → GPtrArray of AccessKey */
  GHashTable *holdings; /* account → GArray of the digests that it holds in the base */
  gboolean all_held;    /* and all accounts are in it */
  guint looked_for;     /* accounts whose keys were looked for one by one */
} Intent;

/* The shard of that name, to be changed freely; of `shards`, or copied from the base. */
GPtrArray *intent_shard (Intent *intent, GHashTable *shards, const char *key);

/* Works out the accounts that the intent changes, and those that it removes. */
void intent_apply_accounts (Intent *intent);

#endif
