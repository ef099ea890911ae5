#include <core/names.h>

#include <arpa/inet.h>
#include <string.h>

#define ADDRESS_MAX_LEN 21 /* "255.255.255.255:65535" */

gboolean
names_valid (const char *text)
{
  if (!*text || strlen (text) > NAME_MAX_LEN)
    return FALSE;
  for (const char *p = text; *p; p++)
    if (!g_ascii_isalnum (*p) && !strchr ("._-", *p))
      return FALSE;
  return TRUE;
}

/* Reads a required string that passes `is_valid`; else notes a fault and returns "". */
static const char *
required (JsonView *view,
          const char *key,
          gsize max,
          gboolean (*is_valid) (const char *text),
          const char *fault)
{
  const char *text = json_view_required (view, key, max);
  g_autofree char *path = NULL;

  if (!*text || is_valid (text))
    return text;
  path = g_strdup_printf ("%s.%s", json_view_path (view), key);
  json_faults_add (json_view_faults (view), path, "%s", fault);
  return "";
}

const char *
names_required (JsonView *view, const char *key)
{
  return required (view, key, NAME_MAX_LEN, names_valid,
                   "may hold letters, digits, '.', '_' and '-' only");
}

gboolean
names_address_valid (const char *text)
{
  const char *colon = strchr (text, ':');
  g_autofree char *host = NULL;
  struct in_addr number;
  guint64 port;

  if (!colon)
    return FALSE;
  host = g_strndup (text, (gsize)(colon - text));
  return inet_pton (AF_INET, host, &number) == 1 &&
         g_ascii_string_to_unsigned (colon + 1, 10, 1, G_MAXUINT16, &port, NULL);
}

const char *
names_required_address (JsonView *view, const char *key)
{
  return required (view, key, ADDRESS_MAX_LEN, names_address_valid,
                   "must be an IP number and a port");
}
