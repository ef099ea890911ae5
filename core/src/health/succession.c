#include <core/succession.h>

#include <string.h>

/* Names of starts that are over are remembered so far: one ends every few seconds at
   most, and a heartbeat is seconds late. */
#define OVER_MAX 64u
/* Twice the users' 1.5 s between heartbeats: one that is silent for so long has missed
   one. */
#define SILENCE_US (3 * SECOND_US)
/* So many heartbeats of one that was replaced bring it back. */
#define RETURN_BEATS 2u

typedef struct
{
  char *name;
  gint64 sequence; /* of its last heartbeat */
  gboolean ended;  /* it has said so */
  guint beats;     /* since it was replaced, while the present one was silent */
} Start;

struct Succession
{
  Clock *clock;
  Start *present; /* NULL before the first heartbeat */
  gint64 beat_us; /* when the present one was heard last */
  GQueue over;    /* of Start, oldest first */
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

Succession *
succession_create (Clock *clock)
{
  Succession *succession = g_new0 (Succession, 1);

  succession->clock = clock;
  g_queue_init (&succession->over);
  return succession;
}

void
succession_destroy (Succession *succession)
{
  if (!succession)
    return;
  if (succession->present)
    start_free (succession->present);
  g_queue_clear_full (&succession->over, start_free);
  g_free (succession);
}

const char *
succession_present (const Succession *succession)
{
  return succession->present ? succession->present->name : NULL;
}

static Start *
find_over (Succession *succession, const char *name)
{
  for (GList *item = succession->over.head; item; item = item->next)
    if (strcmp (((Start *)item->data)->name, name) == 0)
      return item->data;
  return NULL;
}

static void
put_over (Succession *succession, Start *start)
{
  start->beats = 0;
  g_queue_push_tail (&succession->over, start);
  if (g_queue_get_length (&succession->over) > OVER_MAX)
    start_free (g_queue_pop_head (&succession->over));
}

static void
make_present (Succession *succession, Start *start, gint64 sequence)
{
  if (succession->present)
    put_over (succession, succession->present);
  start->sequence = sequence;
  succession->present = start;
  succession->beat_us = clock_now (succession->clock);
}

/* Whether one that was replaced goes on while the one that replaced it does not. */
static gboolean
returns (const Succession *succession, Start *start, gint64 sequence)
{
  gint64 silence = clock_now (succession->clock) - succession->beat_us;

  if (start->ended || sequence <= start->sequence)
    return FALSE;
  start->sequence = sequence;
  start->beats++;
  return start->beats >= RETURN_BEATS && silence >= SILENCE_US;
}

SuccessionAnswer
succession_beat (Succession *succession, const char *name, gint64 sequence)
{
  Start *present = succession->present;
  Start *over;

  if (present && strcmp (present->name, name) == 0)
    {
      if (sequence <= present->sequence)
        return SUCCESSION_LATE;
      present->sequence = sequence;
      succession->beat_us = clock_now (succession->clock);
      return SUCCESSION_SAME;
    }
  over = find_over (succession, name);
  if (over && !returns (succession, over, sequence))
    return SUCCESSION_LATE;
  if (over)
    g_queue_remove (&succession->over, over);
  make_present (succession, over ? over : start_create (name), sequence);
  return SUCCESSION_NEXT;
}

void
succession_end (Succession *succession, const char *name)
{
  Start *start = find_over (succession, name);

  if (succession->present && strcmp (succession->present->name, name) == 0)
    start = succession->present;
  if (!start)
    {
      start = start_create (name);
      put_over (succession, start);
    }
  start->ended = TRUE;
}
