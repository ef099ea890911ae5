#include "log.h"

#include <poll.h>
#include <stdarg.h>
#include <string.h>
#include <unistd.h>

#define FIELDS_MAX 24u
/* Keeps a line below PIPE_BUF, up to which a write to a pipe is never partial. */
#define LINE_BYTES_MAX 4000u
/* Limit for one kind of event. A node at its share of the users' full load (175 requests
   a second) omits some of its successes, and logs their number. */
#define LINES_PER_SECOND 100u

/* Lines of one kind of event in the current second. */
typedef struct
{
  gint64 second;
  guint written;
  guint omitted;
} Budget;

static char *node_name;
static GLogLevelFlags level_max = G_LOG_LEVEL_INFO;
static Clock *log_clock;
static GHashTable *budgets; /* kind of event → Budget */
static guint64 dropped;     /* lines lost because the reader was too slow */

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

/* GLib's own fields, which are of no use here or are written under another name. */
static gboolean
is_glib_internal (const char *key)
{
  return g_str_has_prefix (key, "CODE_") || strcmp (key, "PRIORITY") == 0 ||
         strcmp (key, "GLIB_DOMAIN") == 0;
}

/* Never waits for the reader: drops and counts a line whose write would block. */
static void
write_or_drop_line (GString *line)
{
  struct pollfd out = { STDOUT_FILENO, POLLOUT, 0 };

  if (line->len > LINE_BYTES_MAX)
    {
      g_string_truncate (line, LINE_BYTES_MAX);
      g_string_append (line, "\"}");
    }
  g_string_append_c (line, '\n');
  if (poll (&out, 1, 0) != 1 || !(out.revents & POLLOUT) ||
      write (STDOUT_FILENO, line->str, line->len) != (gssize)line->len)
    dropped++;
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
    if (!is_glib_internal (fields[i].key))
      append_pair (line, fields[i].key, fields[i].value, fields[i].length);
  if (dropped > 0)
    {
      g_string_append_printf (line, ",\"dropped_before\":%" G_GUINT64_FORMAT, dropped);
      dropped = 0;
    }
  g_string_append_c (line, '}');
  write_or_drop_line (line);
  return G_LOG_WRITER_HANDLED;
}

void
log_set_threshold (LogThreshold threshold)
{
  static const GLogLevelFlags levels[] = { G_LOG_LEVEL_CRITICAL, G_LOG_LEVEL_WARNING,
                                           G_LOG_LEVEL_INFO, G_LOG_LEVEL_DEBUG };

  level_max = levels[threshold];
}

void
log_init (const char *node, LogThreshold threshold, Clock *clock)
{
  g_free (node_name);
  node_name = g_strdup (node);
  log_clock = clock;
  log_set_threshold (threshold);
  g_log_set_writer_func (write_line, NULL, NULL);
}

/* Appends the pairs of a log_event to its fields; returns the new number of fields. */
static gsize
append_fields (GLogField *fields, gsize count, va_list args)
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

static Budget *
budget_of (const char *event)
{
  Budget *budget;

  if (!budgets)
    budgets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  budget = g_hash_table_lookup (budgets, event);
  if (budget)
    return budget;
  budget = g_new0 (Budget, 1);
  g_hash_table_insert (budgets, g_strdup (event), budget);
  return budget;
}

static void
log_omitted_lines (GLogLevelFlags level, const char *event, guint omitted)
{
  g_autofree char *count = g_strdup_printf ("%u", omitted);
  GLogField fields[] = { { "EVENT", "log-omitted", -1 },
                         { "SUBJECT", event, -1 },
                         { "COUNT", count, -1 } };

  g_log_structured_array (level, fields, G_N_ELEMENTS (fields));
}

/* Whether one more line of this kind may be written now. At the start of a new second,
   logs how many were omitted before. */
static gboolean
may_write_line (GLogLevelFlags level, const char *event)
{
  Budget *budget = budget_of (event);
  gint64 second = clock_now (log_clock) / SECOND_US;

  if (second != budget->second)
    {
      if (budget->omitted > 0)
        log_omitted_lines (level, event, budget->omitted);
      *budget = (Budget){ .second = second };
    }
  if (budget->written++ < LINES_PER_SECOND)
    return TRUE;
  budget->omitted++;
  return FALSE;
}

void
log_event (GLogLevelFlags level, const char *event, ...)
{
  GLogField fields[FIELDS_MAX] = { { "EVENT", event, -1 } };
  gsize count;
  va_list args;

  if (level > level_max || (log_clock && !may_write_line (level, event)))
    return;
  va_start (args, event);
  count = append_fields (fields, 1, args);
  va_end (args);
  g_log_structured_array (level, fields, count);
}
