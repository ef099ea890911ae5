#include "end-watch.h"

#include <io/connect-check.h>

#include "attempt-name.h"
#include "log.h"
#include "sidecar-private.h"

/* The connections of a process that ends break within a millisecond of each other. */
#define GATHER_US (5 * MS_US)
/* A refusal comes within a round trip on the VM itself. */
#define CHECK_TIMEOUT_US (100 * MS_US)
/* In a bad spell a target breaks off most of what it gets: so many checks at the most,
   each the price of a connection. */
#define CHECK_GAP_US (50 * MS_US)
/* A target with more at work tells little of each: no more are kept. */
#define WORK_MAX 32u

/* What has broken at one target, and is not known yet to have been its end. */
typedef struct
{
  EndWatches *owner;
  char *target;
  char *service;
  char *address;
  GArray *work; /* of EndedWork */
  gint64 first_break_us;
  gint64 checked_us; /* when the last check began */
  LoopTimer *timer;
  ConnectCheck *check; /* NULL for none under way */
} EndWatch;

struct EndWatches
{
  Node *node;
  GHashTable *by_target; /* name → EndWatch */
};

static void
clear_work (gpointer data)
{
  g_free (((EndedWork *)data)->attempt);
}

static void
end_watch_free (gpointer data)
{
  EndWatch *watch = data;

  connect_check_destroy (watch->check);
  loop_timer_destroy (watch->timer);
  g_array_unref (watch->work);
  g_free (watch->target);
  g_free (watch->service);
  g_free (watch->address);
  g_free (watch);
}

EndWatches *
end_watches_create (Node *node)
{
  EndWatches *watches = g_new0 (EndWatches, 1);

  watches->node = node;
  watches->by_target =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, end_watch_free);
  return watches;
}

void
end_watches_destroy (EndWatches *watches)
{
  if (!watches)
    return;
  g_hash_table_unref (watches->by_target);
  g_free (watches);
}

static void
log_work (const EndWatch *watch, const EndedWork *work)
{
  const Fingerprints *prints = &work->print.prints;
  g_autofree char *request = fingerprint_text (&prints->of[0]);
  g_autofree char *alone = prints->count > 1 ? fingerprint_text (&prints->of[1]) : NULL;
  g_autofree char *ran = g_strdup_printf ("%" G_GINT64_FORMAT, work->ran_us);
  g_autofree char *beside = g_strdup_printf ("%u", watch->work->len - 1);

  log_event (G_LOG_LEVEL_INFO, "ended-under", "ATTEMPT", work->attempt, "TARGET",
             watch->target, "REQUEST", request, "PATH_ALONE", alone, "RAN_US", ran,
             "BESIDE", beside, NULL);
}

static void
add_distinct (GArray *requests, const Fingerprint *request)
{
  for (guint i = 0; i < requests->len; i++)
    if (fingerprint_equal (&g_array_index (requests, Fingerprint, i), request))
      return;
  g_array_append_val (requests, *request);
}

/* Several of them may be the same request, which counts once. */
static GArray *
distinct_requests (const EndWatch *watch)
{
  GArray *requests = g_array_new (FALSE, FALSE, sizeof (Fingerprint));

  for (guint i = 0; i < watch->work->len; i++)
    {
      const Fingerprints *prints =
          &g_array_index (watch->work, EndedWork, i).print.prints;

      for (guint j = 0; j < prints->count; j++)
        add_distinct (requests, &prints->of[j]);
    }
  return requests;
}

/* The target lives on: a trial among what it broke off has shown nothing. */
static void
lives_on (EndWatch *watch)
{
  for (guint i = 0; i < watch->work->len; i++)
    {
      const EndedWork *work = &g_array_index (watch->work, EndedWork, i);

      if (work->trial)
        quarantine_node_trial_undecided (watch->owner->node->quarantine, &work->print);
    }
  g_array_set_size (watch->work, 0);
}

static void
report (const EndWatch *watch)
{
  EndWatches *watches = watch->owner;
  g_autoptr (GArray) requests = distinct_requests (watch);
  g_autofree char *at_work = g_strdup_printf ("%u", watch->work->len);

  metrics_add (watches->node->metrics, METRIC_TARGETS_ENDED, 1);
  metrics_add (watches->node->metrics, METRIC_ENDED_REQUESTS, watch->work->len);
  log_event (G_LOG_LEVEL_WARNING, "target-ended", "TARGET", watch->target, "SERVICE",
             watch->service, "AT_WORK", at_work, NULL);
  for (guint i = 0; i < watch->work->len; i++)
    log_work (watch, &g_array_index (watch->work, EndedWork, i));
  quarantine_node_note_end (watches->node->quarantine, watch->service, requests);
}

static void
on_checked (ConnectAnswer answer, gpointer data)
{
  EndWatch *watch = data;

  if (answer == CONNECT_REFUSED)
    report (watch);
  else
    lives_on (watch);
  g_array_set_size (watch->work, 0);
  loop_timer_start (watch->timer, 0);
}

/* Something that was sent before the first break runs on: the process is there. */
static gboolean
works_on (const EndWatch *watch)
{
  const Sidecar *sidecar = watch->owner->node->sidecar;
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, sidecar->submissions);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const Submission *submission = key;

      if (submission->running && submission->started_us < watch->first_break_us &&
          g_str_equal (submission->target->name, watch->target))
        return TRUE;
    }
  return FALSE;
}

/* Either enough has been gathered, or the last check is over. */
static void
on_timer (gpointer data)
{
  EndWatch *watch = data;
  Node *node = watch->owner->node;

  g_clear_pointer (&watch->check, connect_check_destroy);
  if (watch->work->len == 0)
    return;
  if (works_on (watch))
    {
      lives_on (watch);
      return;
    }
  watch->checked_us = clock_now (node->clock);
  watch->check = connect_check_create (node->loop, watch->address, CHECK_TIMEOUT_US,
                                       on_checked, watch);
}

static EndWatch *
watch_of (EndWatches *watches, const SidecarTarget *target)
{
  EndWatch *watch = g_hash_table_lookup (watches->by_target, target->name);

  if (watch)
    return watch;
  watch = g_new0 (EndWatch, 1);
  watch->owner = watches;
  watch->target = g_strdup (target->name);
  watch->service = g_strdup (target->service);
  watch->address = g_strdup (target->address);
  watch->work = g_array_new (FALSE, FALSE, sizeof (EndedWork));
  g_array_set_clear_func (watch->work, clear_work);
  watch->timer = loop_timer_create (watches->node->loop, on_timer, watch);
  g_hash_table_insert (watches->by_target, watch->target, watch);
  return watch;
}

/* Watches over targets that have gone are dropped once nothing happens there. */
static void
drop_idle (EndWatches *watches, const char *but)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, watches->by_target);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const EndWatch *watch = value;

      if (watch->work->len == 0 && !watch->check && !g_str_equal (watch->target, but))
        g_hash_table_iter_remove (&iter);
    }
}

static void
begin_gathering (EndWatch *watch, gint64 now)
{
  gint64 next_check = watch->checked_us > 0 ? watch->checked_us + CHECK_GAP_US : 0;

  watch->first_break_us = now;
  if (!watch->check)
    loop_timer_start (watch->timer, MAX (GATHER_US, next_check - now));
}

void
end_watches_note_break (EndWatches *watches, const Submission *submission)
{
  const Node *node = watches->node;
  gint64 now = clock_now (node->clock);
  FingerprintWords words = submission_words (submission);
  EndWatch *watch;
  EndedWork work;

  drop_idle (watches, submission->target->name);
  watch = watch_of (watches, submission->target);
  if (watch->work->len == 0)
    begin_gathering (watch, now);
  if (watch->work->len >= WORK_MAX)
    return;
  work.print.prints = fingerprint_all (node->fingerprints, &words);
  work.print.has_body = TRUE;
  work.attempt = attempt_name_text (&submission->args.attempt);
  work.trial = submission->quarantine_trial;
  work.ran_us = now - submission->started_us;
  g_array_append_val (watch->work, work);
}
