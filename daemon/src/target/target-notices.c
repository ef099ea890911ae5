#include "target-notices.h"

#include <string.h>

#define LEAVING_VALUE "1"

/* Returns the only value of the header `name`, or NULL. Sets `twice` if there are several
   such headers. */
static const char *
single_value (const GArray *headers, const char *name, gboolean *twice)
{
  const char *value = NULL;

  for (guint i = 0; name && i < headers->len; i++)
    {
      const HttpHeader *header = &g_array_index (headers, HttpHeader, i);

      if (g_ascii_strcasecmp (header->name, name) != 0)
        continue;
      *twice = value != NULL;
      value = header->value;
    }
  return value;
}

static void
read_rate (const Dialect *dialect, const GArray *headers, TargetNotices *notices)
{
  gboolean twice = FALSE;
  const char *text = single_value (headers, dialect->rate_header, &twice);

  if (!text)
    return;
  notices->rate = rate_notice_parse (text);
  if (twice)
    notices->rate.kind = RATE_NOTICE_MALFORMED;
  if (notices->rate.kind == RATE_NOTICE_MALFORMED)
    notices->malformed = text;
}

static void
read_leaving (const Dialect *dialect, const GArray *headers, TargetNotices *notices)
{
  gboolean twice = FALSE;
  const char *text = single_value (headers, dialect->leaving_header, &twice);

  if (!text)
    return;
  notices->leaving = strcmp (text, LEAVING_VALUE) == 0;
  if (!notices->leaving)
    notices->malformed = text;
}

TargetNotices
target_notices_read (const Dialect *dialect, const GArray *headers)
{
  TargetNotices notices = { 0 };

  read_rate (dialect, headers, &notices);
  read_leaving (dialect, headers, &notices);
  return notices;
}
