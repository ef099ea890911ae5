#include <core/target-starts.h>

#include <string.h>

/* Number of past starts whose names are remembered: at most one ends every few seconds,
   and heartbeats are late by seconds. */
#define PAST_STARTS_MAX 64u
/* Twice the heartbeat interval of 1.5 s in the reference deployment: a start that is
   silent for this long has missed a heartbeat. */
#define SILENCE_US (3 * SECOND_US)
/* Heartbeats after which a replaced start may become current again. */
#define RETURN_HEARTBEATS 2u

/* Separates the identifier from the start time in hexadecimal in the name of a start. */
#define BORN_MARK ".b"

typedef struct
{
  char *name;
  gint64 sequence; /* of its last heartbeat */
  gboolean ended;  /* it has announced its end */
  guint beats;     /* heartbeats since it was replaced */
} Start;

struct TargetStarts
{
  Clock *clock;
  Start *present;           /* NULL before the first heartbeat */
  gint64 last_heartbeat_us; /* when the current start was last heard from */
  GQueue over;              /* of Start, oldest first */
};

static Start *
start_create (const char *name)
{
  Start *start = g_new0 (Start, 1);

  start->name = g_strdup (name);
  return start;
}

static void
start_free (gpointer data)
{
  Start *start = data;

  g_free (start->name);
  g_free (start);
}

/* Returns the position of the mark in a name, or NULL. */
static const char *
find_born_mark (const char *name)
{
  const char *mark = g_strrstr (name, BORN_MARK);
  gsize digits = mark ? strspn (mark + strlen (BORN_MARK), "0123456789abcdef") : 0;

  return digits > 0 && !mark[strlen (BORN_MARK) + digits] ? mark : NULL;
}

char *
target_start_name (const char *identifier, gint64 born)
{
  /* An identifier that looks like a name with a start time gets a start time of 0, so
     that target_start_identifier returns it unchanged. */
  if (born == 0 && !find_born_mark (identifier))
    return g_strdup (identifier);
  return g_strdup_printf ("%s" BORN_MARK "%" G_GINT64_MODIFIER "x", identifier,
                          (guint64)born);
}

char *
target_start_identifier (const char *name)
{
  const char *mark = find_born_mark (name);

  return mark ? g_strndup (name, (gsize)(mark - name)) : g_strdup (name);
}

static gint64
born_of (const char *name)
{
  const char *mark = find_born_mark (name);

  return mark ? (gint64)g_ascii_strtoull (mark + strlen (BORN_MARK), NULL, 16) : 0;
}

/* Returns whether `name` is an earlier start of the same identifier than `other`. */
static gboolean
is_earlier (const char *name, const char *other)
{
  g_autofree char *identifier = target_start_identifier (name);
  g_autofree char *others = target_start_identifier (other);

  return strcmp (identifier, others) == 0 && born_of (name) < born_of (other);
}

TargetStarts *
target_starts_create (Clock *clock)
{
  TargetStarts *succession = g_new0 (TargetStarts, 1);

  succession->clock = clock;
  g_queue_init (&succession->over);
  return succession;
}

void
target_starts_destroy (TargetStarts *succession)
{
  if (!succession)
    return;
  if (succession->present)
    start_free (succession->present);
  g_queue_clear_full (&succession->over, start_free);
  g_free (succession);
}

const char *
target_starts_current (const TargetStarts *succession)
{
  return succession->present ? succession->present->name : NULL;
}

static Start *
find_past_start (TargetStarts *succession, const char *name)
{
  for (GList *item = succession->over.head; item; item = item->next)
    if (strcmp (((Start *)item->data)->name, name) == 0)
      return item->data;
  return NULL;
}

static void
add_past_start (TargetStarts *succession, Start *start)
{
  start->beats = 0;
  g_queue_push_tail (&succession->over, start);
  if (g_queue_get_length (&succession->over) > PAST_STARTS_MAX)
    start_free (g_queue_pop_head (&succession->over));
}

static void
make_current (TargetStarts *succession, Start *start, gint64 sequence)
{
  if (succession->present)
    add_past_start (succession, succession->present);
  start->sequence = sequence;
  succession->present = start;
  succession->last_heartbeat_us = clock_now (succession->clock);
}

/* Returns whether a later start of the same identifier is known. */
static gboolean
is_over (const TargetStarts *succession, const char *name)
{
  if (succession->present && is_earlier (name, succession->present->name))
    return TRUE;
  for (GList *item = succession->over.head; item; item = item->next)
    if (is_earlier (name, ((Start *)item->data)->name))
      return TRUE;
  return FALSE;
}

/* Returns whether a replaced start continues while the current one is silent. */
static gboolean
returns (const TargetStarts *succession, Start *start, gint64 sequence)
{
  gint64 silence = clock_now (succession->clock) - succession->last_heartbeat_us;

  if (start->ended || sequence <= start->sequence)
    return FALSE;
  start->sequence = sequence;
  start->beats++;
  return start->beats >= RETURN_HEARTBEATS && silence >= SILENCE_US;
}

TargetStartsResult
target_starts_heartbeat (TargetStarts *succession, const char *name, gint64 sequence)
{
  Start *present = succession->present;
  Start *over;

  if (present && strcmp (present->name, name) == 0)
    {
      if (sequence <= present->sequence)
        return TARGET_STARTS_STALE;
      present->sequence = sequence;
      succession->last_heartbeat_us = clock_now (succession->clock);
      return TARGET_STARTS_CURRENT;
    }
  if (is_over (succession, name))
    return TARGET_STARTS_STALE;
  over = find_past_start (succession, name);
  if (over && !returns (succession, over, sequence))
    return TARGET_STARTS_STALE;
  if (over)
    g_queue_remove (&succession->over, over);
  make_current (succession, over ? over : start_create (name), sequence);
  return TARGET_STARTS_NEW;
}

void
target_starts_note_end (TargetStarts *succession, const char *name)
{
  Start *start = find_past_start (succession, name);

  if (succession->present && strcmp (succession->present->name, name) == 0)
    start = succession->present;
  if (!start)
    {
      start = start_create (name);
      add_past_start (succession, start);
    }
  start->ended = TRUE;
}
