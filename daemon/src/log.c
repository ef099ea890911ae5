#include "log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define FIELDS_MAX 16u

static char *node_name;
static GLogLevelFlags level_max = G_LOG_LEVEL_INFO;

static const char *
level_name (GLogLevelFlags level)
{
  if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
    return "error";
  if (level & G_LOG_LEVEL_WARNING)
    return "warning";
  if (level & (G_LOG_LEVEL_MESSAGE | G_LOG_LEVEL_INFO))
    return "info";
  return "debug";
}

static void
append_quoted (GString *line, const char *text, gssize len)
{
  gsize size = len < 0 ? strlen (text) : (gsize)len;

  g_string_append_c (line, '"');
  for (gsize i = 0; i < size; i++)
    {
      guchar c = (guchar)text[i];

      if (c == '"' || c == '\\')
        g_string_append_printf (line, "\\%c", c);
      else if (c < 0x20)
        g_string_append_printf (line, "\\u%04x", c);
      else
        g_string_append_c (line, (char)c);
    }
  g_string_append_c (line, '"');
}

static void
append_pair (GString *line, const char *name, const char *value, gssize len)
{
  g_autofree char *lower = g_ascii_strdown (name, -1);

  g_string_append_c (line, ',');
  append_quoted (line, lower, -1);
  g_string_append_c (line, ':');
  append_quoted (line, value, len);
}

/* GLib's own fields that say nothing here, or are said otherwise. */
static gboolean
is_plumbing (const char *key)
{
  return g_str_has_prefix (key, "CODE_") || strcmp (key, "PRIORITY") == 0 ||
         strcmp (key, "GLIB_DOMAIN") == 0;
}

static GLogWriterOutput
write_line (GLogLevelFlags level, const GLogField *fields, gsize count, gpointer data)
{
  g_autoptr (GDateTime) now = g_date_time_new_now_utc ();
  g_autofree char *time = g_date_time_format (now, "%Y-%m-%dT%H:%M:%S.%fZ");
  g_autoptr (GString) line = NULL;

  if ((level & G_LOG_LEVEL_MASK) > level_max)
    return G_LOG_WRITER_HANDLED;
  line = g_string_new ("{\"time\":");
  append_quoted (line, time, -1);
  append_pair (line, "level", level_name (level), -1);
  append_pair (line, "node", node_name ? node_name : "", -1);
  for (gsize i = 0; i < count; i++)
    if (!is_plumbing (fields[i].key))
      append_pair (line, fields[i].key, fields[i].value, fields[i].length);
  g_string_append (line, "}\n");
  fwrite (line->str, 1, line->len, stderr);
  return G_LOG_WRITER_HANDLED;
}

void
log_init (const char *node, LogThreshold threshold)
{
  static const GLogLevelFlags levels[] = { G_LOG_LEVEL_CRITICAL, G_LOG_LEVEL_WARNING,
                                           G_LOG_LEVEL_INFO, G_LOG_LEVEL_DEBUG };

  g_free (node_name);
  node_name = g_strdup (node);
  level_max = levels[threshold];
  g_log_set_writer_func (write_line, NULL, NULL);
}

/* Appends the pairs of a log_event to its fields; returns how many there are then. */
static gsize
take_pairs (GLogField *fields, gsize count, va_list args)
{
  const char *name;

  while (count < FIELDS_MAX && (name = va_arg (args, const char *)))
    {
      const char *value = va_arg (args, const char *);

      if (value)
        fields[count++] = (GLogField){ name, value, -1 };
    }
  return count;
}

void
log_event (GLogLevelFlags level, const char *event, ...)
{
  GLogField fields[FIELDS_MAX] = { { "EVENT", event, -1 } };
  gsize count;
  va_list args;

  if (level > level_max)
    return;
  va_start (args, event);
  count = take_pairs (fields, 1, args);
  va_end (args);
  g_log_structured_array (level, fields, count);
}
