#include "model.h"

#include <string.h>

#include <core/json-write.h>

typedef struct
{
  const char *area; /* prefix of the part's key and name of the JSON array */
  GDestroyNotify free;
  void (*sort) (GPtrArray *things);
  void (*write) (gconstpointer thing, GString *text);
} ShardKind;

static void
write_route (gconstpointer thing, GString *text)
{
  /* route_write appends an object without a comma before it. */
  if (text->str[text->len - 1] != '[')
    g_string_append_c (text, ',');
  route_write (thing, text);
}

static void
write_account (gconstpointer thing, GString *text)
{
  if (text->str[text->len - 1] != '[')
    g_string_append_c (text, ',');
  account_write (thing, text);
}

static void
write_key (gconstpointer thing, GString *text)
{
  access_key_write (thing, text);
}

static const ShardKind kinds[] = {
  { "routes", (GDestroyNotify)route_free, routes_sort, write_route },
  { "accounts", (GDestroyNotify)account_free, accounts_sort, write_account },
  { "keys", (GDestroyNotify)access_key_free, access_keys_sort, write_key },
};

static const ShardKind *
find_shard_kind (const char *key)
{
  gsize len = strcspn (key, "/");

  for (gsize i = 0; i < G_N_ELEMENTS (kinds); i++)
    if (strncmp (kinds[i].area, key, len) == 0 && kinds[i].area[len] == '\0')
      return &kinds[i];
  return NULL;
}

GDestroyNotify
shard_free_func (const char *key)
{
  const ShardKind *kind = find_shard_kind (key);

  return kind ? kind->free : NULL;
}

char *
shard_text (const char *key, GPtrArray *things)
{
  const ShardKind *kind = find_shard_kind (key);
  GString *text = g_string_new ("{");

  kind->sort (things);
  json_put_key (text, kind->area);
  g_string_append_c (text, '[');
  for (guint i = 0; i < things->len; i++)
    kind->write (g_ptr_array_index (things, i), text);
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}
