#include "http-grammar.h"

#include <string.h>

gboolean
http_is_token (const char *text, gsize len)
{
  for (gsize i = 0; i < len; i++)
    if (!g_ascii_isalnum (text[i]) && (!text[i] || !strchr ("!#$%&'*+-.^_`|~", text[i])))
      return FALSE;
  return len > 0;
}

gboolean
http_has_control (const char *text, gsize len)
{
  for (gsize i = 0; i < len; i++)
    if (g_ascii_iscntrl (text[i]) && text[i] != '\t')
      return TRUE;
  return FALSE;
}
