/*
 * The config area's own: reading and freeing of the things that parts hold.
 */
#ifndef CORE_CONFIG_MODEL_H
#define CORE_CONFIG_MODEL_H

#include <core/config.h>
#include <core/names.h>

/* Bytes of an access key in a part: its digest in base 64, a space, its account. */
#define ACCESS_KEY_TEXT_MAX (2 * CONFIG_KEY_DIGEST + 1 + NAME_MAX_LEN)

/* Each returns NULL or a partly filled thing, with faults noted, for a bad view. */
Service *service_read (JsonView *view);
Route *route_read (JsonView *view);
Account *account_read (JsonView *view);
/* A part's key, as access_key_write writes it: "DIGEST ACCOUNT"; NULL with a fault noted
   for a text that is none. */
AccessKey *access_key_read (const char *text, const char *path, JsonFaults *faults);
/* An access key of an account; NULL unless `hex` is 64 lower-case hexadecimal digits. */
AccessKey *access_key_create (const char *hex, const char *account);

void service_free (Service *service);
/* The service with copies of `targets` in place of its own; NULL for none. */
Service *service_with_targets (const Service *service, const GPtrArray *targets);
void route_free (Route *route);
void account_free (Account *account);
void access_key_free (AccessKey *key);

/* The number of the shard that holds an access key. */
guint config_key_shard_place (const guint8 *digest);

/* Puts a shard into the order that lookups and digests rest on. */
void routes_sort (GPtrArray *routes);
void accounts_sort (GPtrArray *accounts);
void access_keys_sort (GPtrArray *keys);
/* The place of a digest among sorted keys, or -1. */
gint access_keys_find (const GPtrArray *keys, const guint8 *digest);

/* Appends the thing to a JSON being built, or to a text of one. */
void service_write (const Service *service, JsonBuilder *builder);
void route_write (const Route *route, GString *text);
void account_write (const Account *account, GString *text);
void access_key_write (const AccessKey *key, GString *text);

/* A copy, its texts too, as reading it would make it. */
Route *route_copy (const Route *route);
Account *account_copy (const Account *account);

/* A shard's things, put into order, as the text of the part of that key. */
char *shard_text (const char *key, GPtrArray *things);
/* How things of that key are freed; NULL for a key of no shard. */
GDestroyNotify shard_free_func (const char *key);

/* Parts of things that are known to be valid, which they take over. */
ConfigPart *config_part_of_service (Service *service);
ConfigPart *config_part_of_shard (const char *key, GPtrArray *things);

/* The order of routes in a shard: by host, then by prefix. */
int route_compare (const Route *route, const char *host, const char *prefix);

/* The bit of a method; all that no route can name share one. */
guint route_method_bit (const char *name);

/* "host prefix", what a route is found by. */
char *route_key (const char *host, const char *prefix);

/* The builder's text, without white space; consumes the builder. */
char *json_text (JsonBuilder *builder);

#endif
