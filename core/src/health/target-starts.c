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

gboolean
target_start_is_up_to (const char *name, const char *other)
{
  g_autofree char *identifier = target_start_identifier (name);
  g_autofree char *others = target_start_identifier (other);

  return strcmp (identifier, others) == 0 && born_of (name) <= born_of (other);
}

/* Returns whether `name` is an earlier start of the same identifier than `other`. */
static gboolean
is_earlier (const char *name, const char *other)
{
  return strcmp (name, other) != 0 && target_start_is_up_to (name, other);
}

TargetStarts *
target_starts_create (Clock *clock)
{
  TargetStarts *target_starts = g_new0 (TargetStarts, 1);

  target_starts->clock = clock;
  g_queue_init (&target_starts->over);
  return target_starts;
}

void
target_starts_destroy (TargetStarts *target_starts)
{
  if (!target_starts)
    return;
  if (target_starts->present)
    start_free (target_starts->present);
  g_queue_clear_full (&target_starts->over, start_free);
  g_free (target_starts);
}

const char *
target_starts_current (const TargetStarts *target_starts)
{
  return target_starts->present ? target_starts->present->name : NULL;
}

static Start *
find_past_start (TargetStarts *target_starts, const char *name)
{
  for (GList *item = target_starts->over.head; item; item = item->next)
    if (strcmp (((Start *)item->data)->name, name) == 0)
      return item->data;
  return NULL;
}

static void
add_past_start (TargetStarts *target_starts, Start *start)
{
  start->beats = 0;
  g_queue_push_tail (&target_starts->over, start);
  if (g_queue_get_length (&target_starts->over) > PAST_STARTS_MAX)
    start_free (g_queue_pop_head (&target_starts->over));
}

static void
make_current (TargetStarts *target_starts, Start *start, gint64 sequence)
{
  if (target_starts->present)
    add_past_start (target_starts, target_starts->present);
  start->sequence = sequence;
  target_starts->present = start;
  target_starts->last_heartbeat_us = clock_now (target_starts->clock);
}

/* Returns whether a later start of the same identifier is known. */
static gboolean
is_over (const TargetStarts *target_starts, const char *name)
{
  if (target_starts->present && is_earlier (name, target_starts->present->name))
    return TRUE;
  for (GList *item = target_starts->over.head; item; item = item->next)
    if (is_earlier (name, ((Start *)item->data)->name))
      return TRUE;
  return FALSE;
}

/* Returns whether a replaced start continues while the current one is silent. */
static gboolean
returns (const TargetStarts *target_starts, Start *start, gint64 sequence)
{
  gint64 silence = clock_now (target_starts->clock) - target_starts->last_heartbeat_us;

  if (start->ended || sequence <= start->sequence)
    return FALSE;
  start->sequence = sequence;
  start->beats++;
  return start->beats >= RETURN_HEARTBEATS && silence >= SILENCE_US;
}

TargetStartsResult
target_starts_heartbeat (TargetStarts *target_starts, const char *name, gint64 sequence)
{
  Start *present = target_starts->present;
  Start *over;

  if (present && strcmp (present->name, name) == 0)
    {
      if (sequence <= present->sequence)
        return TARGET_STARTS_STALE;
      present->sequence = sequence;
      target_starts->last_heartbeat_us = clock_now (target_starts->clock);
      return TARGET_STARTS_CURRENT;
    }
  if (is_over (target_starts, name))
    return TARGET_STARTS_STALE;
  over = find_past_start (target_starts, name);
  if (over && !returns (target_starts, over, sequence))
    return TARGET_STARTS_STALE;
  if (over)
    g_queue_remove (&target_starts->over, over);
  make_current (target_starts, over ? over : start_create (name), sequence);
  return TARGET_STARTS_NEW;
}

void
target_starts_note_end (TargetStarts *target_starts, const char *name)
{
  Start *start = find_past_start (target_starts, name);

  if (target_starts->present && strcmp (target_starts->present->name, name) == 0)
    start = target_starts->present;
  if (!start)
    {
      start = start_create (name);
      add_past_start (target_starts, start);
    }
  start->ended = TRUE;
}
