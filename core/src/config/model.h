/*
 * Internal to core/src/config: reading, writing, copying and freeing the contents of
 * configuration parts.
 */
#ifndef CORE_CONFIG_MODEL_H
#define CORE_CONFIG_MODEL_H

#include <core/config.h>
#include <core/names.h>

/* Maximum length in bytes of an access key in a part: "DIGEST ACCOUNT", with the digest
   in base64. Base64 is shorter than the hexadecimal digits that are counted here. */
#define ACCESS_KEY_TEXT_MAX (2 * CONFIG_KEY_DIGEST_LEN + 1 + NAME_MAX_LEN)

/* Each adds faults for an invalid view. The result is never NULL, but may be incomplete
   if faults were added; the caller owns it. */
Service *service_read (JsonView *view);
Route *route_read (JsonView *view);
Account *account_read (JsonView *view);
/* Reads an access key as access_key_write writes it: "DIGEST ACCOUNT". Returns NULL and
   adds a fault at `path` if the text is invalid. */
AccessKey *access_key_read (const char *text, const char *path, JsonFaults *faults);
/* Creates an access key of an account from the SHA-256 digest in `hex`. Returns NULL if
   `hex` does not begin with 64 lower-case hexadecimal digits. */
AccessKey *access_key_create (const char *hex, const char *account);

void service_free (Service *service);
/* Returns a copy of the service with copies of `targets` instead of its own, sorted by
   name. NULL stands for no targets. The caller owns the copy. */
Service *service_with_targets (const Service *service, const GPtrArray *targets);
void route_free (Route *route);
void account_free (Account *account);
void access_key_free (AccessKey *key);

/* Returns the index of the shard that holds an access key. */
guint config_key_shard_index (const guint8 *digest);

/* Sort a shard: lookups search it by bisection, and equal contents must give equal texts
   and digests. */
void routes_sort (GPtrArray *routes);
void accounts_sort (GPtrArray *accounts);
void access_keys_sort (GPtrArray *keys);
/* Returns the index of a digest in sorted keys, or -1. */
gint access_keys_find (const GPtrArray *keys, const guint8 *digest);

/* Each appends the JSON of its object: to a builder, or to a JSON text. */
void service_write (const Service *service, JsonBuilder *builder);
void route_write (const Route *route, GString *text);
void account_write (const Account *account, GString *text);
void access_key_write (const AccessKey *key, GString *text);

/* Deep copies, normalised as by reading: default tenant, no trailing slash of a prefix.
   The caller owns them. */
Route *route_copy (const Route *route);
Account *account_copy (const Account *account);

/* Sorts the contents of a shard and returns the JSON text of its part. The caller frees
   the text. */
char *shard_text (const char *key, GPtrArray *things);
/* Returns the free function for the contents of a shard, or NULL if the key is not that
   of a shard. */
GDestroyNotify shard_free_func (const char *key);

/* Create a part from a valid service or from valid contents of a shard, without checks.
   The part takes ownership of its argument. */
ConfigPart *config_part_from_service (Service *service);
ConfigPart *config_part_from_shard (const char *key, GPtrArray *things);

/* Compares a route with (host, prefix), by host and then by prefix, as strcmp does. */
int route_compare (const Route *route, const char *host, const char *prefix);

/* Returns the bit of an HTTP method; methods that are not listed share one bit. */
guint route_method_bit (const char *name);

/* Returns "HOST PREFIX", whose hash selects the shard of a route. The caller frees it. */
char *route_key (const char *host, const char *prefix);

/* Returns the builder's JSON text without white space, and frees the builder. */
char *json_text (JsonBuilder *builder);

#endif
