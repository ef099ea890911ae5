#include "target-query.h"

#include <string.h>

char *
target_query_text (const char *path, const char *key)
{
  const char *query = strchr (path, '?');
  g_auto (GStrv) pairs = query ? g_strsplit (query + 1, "&", -1) : NULL;
  g_autofree char *prefix = g_strconcat (key, "=", NULL);

  for (guint i = 0; pairs && pairs[i]; i++)
    if (g_str_has_prefix (pairs[i], prefix))
      return g_strdup (pairs[i] + strlen (prefix));
  return NULL;
}

gint64
target_query_number (const char *path, const char *key, gint64 fallback)
{
  g_autofree char *text = target_query_text (path, key);

  return text ? g_ascii_strtoll (text, NULL, 10) : fallback;
}
