#include "crash-watch.h"

#include <io/connect-check.h>

#include "log.h"

/* Time for which broken attempts are collected. The connections of a crashing process
   break within a millisecond of each other. */
#define COLLECT_US (5 * MS_US)
/* On the same VM a refused connection is reported within a round trip. */
#define CHECK_TIMEOUT_US (100 * MS_US)
/* Least time between checks of a target. In a bad spell a target breaks off most
   requests, and each check costs it a connection. */
#define CHECK_INTERVAL_MIN_US (50 * MS_US)
/* Broken attempts kept for one target; with more, a crash tells little about each. */
#define BROKEN_ATTEMPTS_MAX 32u

/* Broken attempts at one target, until it is known whether it has crashed. */
typedef struct
{
  CrashWatches *owner;
  char *target;
  char *service;
  char *address;
  GArray *work; /* of BrokenAttempt */
  gint64 first_break_us;
  gint64 checked_us; /* when the last check began */
  LoopTimer *timer;
  ConnectCheck *check; /* NULL if no check is in progress */
} CrashWatch;

struct CrashWatches
{
  const Node *node;
  const CrashWatchOwner *owner;
  gpointer data;
  GHashTable *by_target; /* name → CrashWatch */
};

static void
clear_broken_attempt (gpointer data)
{
  g_free (((BrokenAttempt *)data)->attempt);
}

static void
crash_watch_free (gpointer data)
{
  CrashWatch *watch = data;

  connect_check_destroy (watch->check);
  loop_timer_destroy (watch->timer);
  g_array_unref (watch->work);
  g_free (watch->target);
  g_free (watch->service);
  g_free (watch->address);
  g_free (watch);
}

CrashWatches *
crash_watches_create (const Node *node, const CrashWatchOwner *owner, gpointer data)
{
  CrashWatches *watches = g_new0 (CrashWatches, 1);

  watches->node = node;
  watches->owner = owner;
  watches->data = data;
  watches->by_target =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, crash_watch_free);
  return watches;
}

void
crash_watches_destroy (CrashWatches *watches)
{
  if (!watches)
    return;
  g_hash_table_unref (watches->by_target);
  g_free (watches);
}

static void
log_broken_attempt (const CrashWatch *watch, const BrokenAttempt *work)
{
  const Fingerprints *prints = &work->prints;
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

/* Returns the fingerprints of the broken attempts. Several attempts may carry the same
   request, which counts once. The caller frees the array. */
static GArray *
distinct_requests (const CrashWatch *watch)
{
  GArray *requests = g_array_new (FALSE, FALSE, sizeof (Fingerprint));

  for (guint i = 0; i < watch->work->len; i++)
    {
      const Fingerprints *prints = &g_array_index (watch->work, BrokenAttempt, i).prints;

      for (guint j = 0; j < prints->count; j++)
        add_distinct (requests, &prints->of[j]);
    }
  return requests;
}

/* Handles breaks that were no crash: trials among them were inconclusive. */
static void
report_no_crash (CrashWatch *watch)
{
  for (guint i = 0; i < watch->work->len; i++)
    {
      const BrokenAttempt *work = &g_array_index (watch->work, BrokenAttempt, i);

      if (work->trial)
        watch->owner->owner->trial_broken (&work->prints, watch->owner->data);
    }
  g_array_set_size (watch->work, 0);
}

static void
report (const CrashWatch *watch)
{
  CrashWatches *watches = watch->owner;
  g_autoptr (GArray) requests = distinct_requests (watch);
  g_autofree char *at_work = g_strdup_printf ("%u", watch->work->len);

  metrics_add (watches->node->metrics, METRIC_TARGETS_ENDED, 1);
  metrics_add (watches->node->metrics, METRIC_ENDED_REQUESTS, watch->work->len);
  log_event (G_LOG_LEVEL_WARNING, "target-ended", "TARGET", watch->target, "SERVICE",
             watch->service, "AT_WORK", at_work, NULL);
  for (guint i = 0; i < watch->work->len; i++)
    log_broken_attempt (watch, &g_array_index (watch->work, BrokenAttempt, i));
  watches->owner->ended (watch->service, requests, watches->data);
}

static void
on_checked (ConnectAnswer answer, int fd, gpointer data)
{
  CrashWatch *watch = data;
  const CrashWatches *watches = watch->owner;

  if (answer == CONNECT_ACCEPTED)
    watches->owner->connected (watch->target, fd, watches->data);
  if (answer == CONNECT_REFUSED)
    report (watch);
  else
    report_no_crash (watch);
  g_array_set_size (watch->work, 0);
  loop_timer_start (watch->timer, 0);
}

/* Runs when the collection time is over, and after each check to free it. */
static void
on_timer (gpointer data)
{
  CrashWatch *watch = data;
  const CrashWatches *watches = watch->owner;
  const Node *node = watches->node;

  g_clear_pointer (&watch->check, connect_check_destroy);
  if (watch->work->len == 0)
    return;
  /* An older request still runs, so the process has not crashed. */
  if (watches->owner->has_older_request (watch->target, watch->first_break_us,
                                         watches->data))
    {
      report_no_crash (watch);
      return;
    }
  watch->checked_us = clock_now (node->clock);
  watch->check = connect_check_create (node->loop, watch->address, CHECK_TIMEOUT_US,
                                       on_checked, watch);
}

static CrashWatch *
watch_of (CrashWatches *watches, const WatchedTarget *target)
{
  CrashWatch *watch = g_hash_table_lookup (watches->by_target, target->name);

  if (watch)
    return watch;
  watch = g_new0 (CrashWatch, 1);
  watch->owner = watches;
  watch->target = g_strdup (target->name);
  watch->service = g_strdup (target->service);
  watch->address = g_strdup (target->address);
  watch->work = g_array_new (FALSE, FALSE, sizeof (BrokenAttempt));
  g_array_set_clear_func (watch->work, clear_broken_attempt);
  watch->timer = loop_timer_create (watches->node->loop, on_timer, watch);
  g_hash_table_insert (watches->by_target, watch->target, watch);
  return watch;
}

/* Drops the idle watches of all targets except `but`, so that none stay for targets that
   no longer exist. */
static void
drop_idle_watches (CrashWatches *watches, const char *but)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, watches->by_target);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CrashWatch *watch = value;

      if (watch->work->len == 0 && !watch->check && !g_str_equal (watch->target, but))
        g_hash_table_iter_remove (&iter);
    }
}

static void
begin_collecting (CrashWatch *watch, gint64 now)
{
  gint64 next_check =
      watch->checked_us > 0 ? watch->checked_us + CHECK_INTERVAL_MIN_US : 0;

  watch->first_break_us = now;
  if (!watch->check)
    loop_timer_start (watch->timer, MAX (COLLECT_US, next_check - now));
}

void
crash_watches_note_break (CrashWatches *watches,
                          const WatchedTarget *target,
                          const BrokenAttempt *work)
{
  CrashWatch *watch;

  drop_idle_watches (watches, target->name);
  watch = watch_of (watches, target);
  if (watch->work->len == 0)
    begin_collecting (watch, clock_now (watches->node->clock));
  if (watch->work->len < BROKEN_ATTEMPTS_MAX)
    g_array_append_vals (watch->work, work, 1);
  else
    g_free (work->attempt);
}
