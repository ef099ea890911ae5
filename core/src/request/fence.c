#include <core/fence.h>

#include <string.h>

struct FenceEntry
{
  AttemptId *id;
  FenceState state;
  gint64 created_us;
  GBytes *answer;
  gpointer data;
  GList place;       /* in Fence.order */
  GList answer_link; /* in Fence.answers, while an answer is kept */
};

struct Fence
{
  FenceLimits limits;
  guint64 incarnation;
  Clock *clock;
  GHashTable *entries; /* AttemptId → FenceEntry */
  GQueue order;        /* by created_us, oldest first */
  GQueue answers;      /* entries with an answer, oldest first */
  gsize answer_bytes;
  /* Older readings are refused even if the window allows them. Never decreases. */
  gint64 accept_from_us;
};

AttemptId *
attempt_id_copy (const AttemptId *id)
{
  AttemptId *copy = g_new (AttemptId, 1);

  *copy = *id;
  copy->node = g_strdup (id->node);
  return copy;
}

void
attempt_id_free (AttemptId *id)
{
  if (!id)
    return;
  g_free (id->node);
  g_free (id);
}

guint
attempt_id_hash (gconstpointer data)
{
  const AttemptId *id = data;
  gint64 mixed = (gint64)(id->counter * 31 + id->incarnation);

  return g_int64_hash (&mixed) ^ g_str_hash (id->node);
}

gboolean
attempt_id_equal (gconstpointer a, gconstpointer b)
{
  const AttemptId *x = a;
  const AttemptId *y = b;

  return x->counter == y->counter && x->incarnation == y->incarnation &&
         strcmp (x->node, y->node) == 0;
}

Fence *
fence_create (const FenceLimits *limits, guint64 incarnation, Clock *clock)
{
  Fence *fence = g_new0 (Fence, 1);

  fence->limits = *limits;
  fence->incarnation = incarnation;
  fence->clock = clock;
  fence->entries = g_hash_table_new (attempt_id_hash, attempt_id_equal);
  g_queue_init (&fence->order);
  g_queue_init (&fence->answers);
  return fence;
}

static void
drop_answer (Fence *fence, FenceEntry *entry)
{
  if (!entry->answer)
    return;
  g_queue_unlink (&fence->answers, &entry->answer_link);
  fence->answer_bytes -= g_bytes_get_size (entry->answer);
  g_clear_pointer (&entry->answer, g_bytes_unref);
}

static void
drop_entry (Fence *fence, FenceEntry *entry)
{
  drop_answer (fence, entry);
  g_queue_unlink (&fence->order, &entry->place);
  g_hash_table_remove (fence->entries, entry->id);
  attempt_id_free (entry->id);
  g_free (entry);
}

void
fence_destroy (Fence *fence)
{
  if (!fence)
    return;
  while (fence->order.head)
    drop_entry (fence, fence->order.head->data);
  g_hash_table_unref (fence->entries);
  g_free (fence);
}

guint64
fence_incarnation (const Fence *fence)
{
  return fence->incarnation;
}

guint
fence_size (const Fence *fence)
{
  return fence->order.length;
}

/* The oldest reading for which a missing entry proves that the attempt did not run. */
static gint64
horizon (const Fence *fence)
{
  return clock_now (fence->clock) - fence->limits.window_us;
}

/*
 * Deletes entries that no acceptable message can refer to. Entries of attempts that are
 * queued or running are kept for another window; they end by their deadlines, and a later
 * sweep deletes them.
 */
static void
sweep (Fence *fence)
{
  gint64 oldest = horizon (fence);

  while (fence->order.head)
    {
      FenceEntry *entry = fence->order.head->data;

      if (entry->created_us >= oldest)
        return;
      if (entry->state == FENCE_QUEUED || entry->state == FENCE_STARTED)
        {
          g_queue_unlink (&fence->order, &entry->place);
          entry->created_us = clock_now (fence->clock);
          g_queue_push_tail_link (&fence->order, &entry->place);
          continue;
        }
      drop_entry (fence, entry);
    }
}

static FenceEntry *
add_entry (Fence *fence, const AttemptId *id, FenceState state)
{
  FenceEntry *entry = g_new0 (FenceEntry, 1);

  entry->id = attempt_id_copy (id);
  entry->state = state;
  entry->created_us = clock_now (fence->clock);
  entry->place.data = entry;
  entry->answer_link.data = entry;
  g_queue_push_tail_link (&fence->order, &entry->place);
  g_hash_table_insert (fence->entries, entry->id, entry);
  return entry;
}

/*
 * Refuses every reading issued so far, because the table has no room for an entry. Later
 * copies of the same message are then refused as well, without a tombstone.
 */
static void
reject_older_readings (Fence *fence)
{
  fence->accept_from_us = clock_now (fence->clock) + 1;
}

FenceSubmit
fence_submit (Fence *fence,
              const AttemptId *id,
              guint64 incarnation,
              gint64 reading_us,
              FenceEntry **entry)
{
  *entry = NULL;
  if (incarnation != fence->incarnation)
    return FENCE_WRONG_INCARNATION;
  sweep (fence);
  *entry = g_hash_table_lookup (fence->entries, id);
  if (*entry)
    return FENCE_KNOWN;
  if (reading_us < horizon (fence))
    return FENCE_STALE;
  if (reading_us < fence->accept_from_us)
    return FENCE_FULL;
  if (fence_size (fence) >= fence->limits.entries_max)
    {
      reject_older_readings (fence);
      return FENCE_FULL;
    }
  /* A reading from the future is an error of the peer, so the attempt never starts. */
  if (reading_us > clock_now (fence->clock))
    {
      *entry = add_entry (fence, id, FENCE_TOMBSTONE);
      return FENCE_KNOWN;
    }
  *entry = add_entry (fence, id, FENCE_QUEUED);
  return FENCE_NEW;
}

gboolean
fence_start (FenceEntry *entry)
{
  if (entry->state != FENCE_QUEUED)
    return FALSE;
  entry->state = FENCE_STARTED;
  return TRUE;
}

void
fence_finish (Fence *fence, FenceEntry *entry, GBytes *answer)
{
  g_return_if_fail (entry->state == FENCE_STARTED);
  entry->state = FENCE_FINISHED;
  if (!answer || g_bytes_get_size (answer) > fence->limits.answers_max)
    return;
  entry->answer = g_bytes_ref (answer);
  fence->answer_bytes += g_bytes_get_size (answer);
  g_queue_push_tail_link (&fence->answers, &entry->answer_link);
  while (fence->answer_bytes > fence->limits.answers_max)
    drop_answer (fence, fence->answers.head->data);
}

void
fence_refuse (FenceEntry *entry)
{
  g_return_if_fail (entry->state == FENCE_QUEUED);
  entry->state = FENCE_TOMBSTONE;
}

static FenceVerdict
verdict_of (FenceEntry *entry)
{
  switch (entry->state)
    {
    case FENCE_QUEUED:
      entry->state = FENCE_TOMBSTONE;
      return FENCE_NOT_RUN;
    case FENCE_TOMBSTONE:
      return FENCE_NOT_RUN;
    case FENCE_STARTED:
      return FENCE_RUNNING;
    default:
      return FENCE_RAN;
    }
}

FenceVerdict
fence_ask (Fence *fence,
           const AttemptId *id,
           guint64 incarnation,
           gint64 reading_us,
           FenceEntry **entry)
{
  *entry = NULL;
  if (incarnation != fence->incarnation)
    return FENCE_UNKNOWN;
  sweep (fence);
  *entry = g_hash_table_lookup (fence->entries, id);
  if (*entry)
    return verdict_of (*entry);
  if (reading_us < horizon (fence))
    return FENCE_UNKNOWN;
  if (reading_us < fence->accept_from_us)
    return FENCE_NOT_RUN;
  if (fence_size (fence) >= fence->limits.entries_max)
    {
      reject_older_readings (fence);
      return reading_us < fence->accept_from_us ? FENCE_NOT_RUN : FENCE_UNKNOWN;
    }
  *entry = add_entry (fence, id, FENCE_TOMBSTONE);
  return FENCE_NOT_RUN;
}

FenceEntry *
fence_find (Fence *fence, const AttemptId *id)
{
  return g_hash_table_lookup (fence->entries, id);
}

FenceState
fence_entry_state (const FenceEntry *entry)
{
  return entry->state;
}

const AttemptId *
fence_entry_id (const FenceEntry *entry)
{
  return entry->id;
}

GBytes *
fence_entry_answer (const FenceEntry *entry)
{
  return entry->answer;
}

gpointer
fence_entry_data (const FenceEntry *entry)
{
  return entry->data;
}

void
fence_entry_set_data (FenceEntry *entry, gpointer data)
{
  entry->data = data;
}
