#include "config-sync-private.h"

#include "log.h"

/* Interval at which a node that does not watch checks whether it has to. */
#define WATCHER_CHECK_INTERVAL_US (1 * SECOND_US)
/* Interval at which a node that watches checks whether it still has to. It must end
   before a newly started node, which waits for WATCH_SETTLE_US, takes its place. */
#define WATCHING_CHECK_INTERVAL_US (200 * MS_US)
/* A starting node knows no other members and would rank itself as a watcher; after this
   time gossip has named the members of its hall. Changes made meanwhile are not missed,
   because the watch starts after the revision that the node has read. */
#define WATCH_SETTLE_US (1500 * MS_US)
/* The same for a fleet's first start, until the platform's list names the other nodes. */
#define WATCH_SETTLE_FIRST_US (10 * SECOND_US)
/* A node that has heard no other for this time watches whatever its rank is: nodes hear
   others every second, and those that outrank it by the platform's list may be gone. */
#define UNHEARD_US (2 * SECOND_US)
/* Nodes of the platform's list that are gone hold places among the watchers. After
   UNHEARD_US a starting node halves its rank by the list at this interval, so that others
   take these places within seconds, and few at a time where the listed ones are merely
   unheard of. */
#define LIST_RANK_HALVING_US (300 * MS_US)
#define LIST_RANK_HALVINGS_MAX 16
/* Minimum numbers of nodes that watch the store, in each hall and in the whole fleet.
   If a third of the nodes lose the store, all of nine watchers are among them in one of
   12,000 cases. The other nodes hear of changes by gossip, within a second at 30 nodes.
   With a watch at each of 353 nodes, a quiet 40 s took 2,859 calls, most of them for
   changes and renewals. */
#define WATCHERS_PER_HALL 2u
#define WATCHERS_MIN 9u
/* Backoff of failed watches: 125 ms, doubled up to one second. */
#define WATCH_BACKOFF_FIRST_US (125 * MS_US)
#define WATCH_DOUBLINGS_MAX 3u
/* The first failure may be a watch that was cut, or a history that is gone. */
#define FAILURES_BEFORE_DELEGATION 2u

gboolean
config_watch_has_settled (const ConfigSync *sync)
{
  const Node *node = sync->node;
  gint64 age = clock_now (node->clock) - sync->created_us;

  if (node->settings->first_start && !fleet_list_is_read (node->list) &&
      age < WATCH_SETTLE_FIRST_US)
    return FALSE;
  return age >= WATCH_SETTLE_US;
}

/* What decides whether this node watches, in its view of the members. */
typedef struct
{
  guint rank;  /* of this node in its hall */
  guint halls; /* in the fleet */
} WatchRank;

static guint
list_rank (const ConfigSync *sync)
{
  const Member *self = members_self (sync->node->members);
  gint64 age = clock_now (sync->node->clock) - sync->created_us;
  gint64 halvings = MAX (0, age - UNHEARD_US) / LIST_RANK_HALVING_US;

  return fleet_list_rank_in_hall (sync->node->list, self->node, self->hall) >>
         MIN (halvings, LIST_RANK_HALVINGS_MAX);
}

/* Nodes are ranked by a hash of their names (rendezvous hashing), so that those with the
   same view of the members agree on the watchers of each hall. */
static WatchRank
watch_rank (const ConfigSync *sync)
{
  const Members *members = sync->node->members;
  const FleetList *list = sync->node->list;
  guint halls = members_count_halls (members);
  guint rank = members_rank_in_hall (members);

  /* When 981 nodes start at once, each of them knows only a few members. The rank and the
     halls by the platform's list as well make them agree on the watchers. */
  if (members_is_starting_up (members))
    {
      halls = MAX (halls, fleet_list_count_halls (list));
      rank = MAX (rank, list_rank (sync));
    }
  return (WatchRank){ rank, halls };
}

static guint
watchers_per_hall (WatchRank own)
{
  return MAX (WATCHERS_PER_HALL, (WATCHERS_MIN + own.halls - 1) / own.halls);
}

static gboolean
is_among_watchers (WatchRank own)
{
  return own.rank < watchers_per_hall (own);
}

static gboolean
hears_no_other (const ConfigSync *sync)
{
  return clock_now (sync->node->clock) - sync->heard_us > UNHEARD_US;
}

gboolean
config_watch_is_chosen (const ConfigSync *sync)
{
  return config_watch_has_settled (sync) && is_among_watchers (watch_rank (sync));
}

gboolean
config_sync_is_watcher (const ConfigSync *sync)
{
  return config_watch_has_settled (sync) &&
         (is_among_watchers (watch_rank (sync)) || hears_no_other (sync) ||
          config_delegate_is_on_duty (sync->delegate));
}

void
config_sync_note_watch_overdue (ConfigSync *sync)
{
  config_delegate_begin (sync->delegate);
}

/* The watchers take turns: first the first of each hall, then the second of each. A
   change is in force at all of them at about the same time, which is their common moment.
 */
WatchTimes
config_sync_watch_times (const ConfigSync *sync)
{
  const Node *node = sync->node;
  WatchRank own = watch_rank (sync);
  WatchBounds bounds = { node->settings->apply_us, sync->kind->watch_most_us };
  WatchPlace place = { .watchers = MIN (watchers_per_hall (own) * own.halls,
                                        members_count_alive (node->members)),
                       .place = own.rank * own.halls +
                                members_count_halls_before (node->members),
                       .since_us = sync->applied_us };

  return watch_times_next (&place, &bounds, clock_now (node->clock));
}

/* Logs when this node begins or ceases to be a watcher, and what its view of the members
   was. */
static void
log_watcher (const ConfigSync *sync, gboolean is_watcher)
{
  WatchRank own = watch_rank (sync);
  g_autofree char *rank = g_strdup_printf ("%u", own.rank);
  g_autofree char *halls = g_strdup_printf ("%u", own.halls);
  g_autofree char *alive =
      g_strdup_printf ("%u", members_count_alive (sync->node->members));

  log_event (G_LOG_LEVEL_INFO, is_watcher ? "watcher-begins" : "watcher-ends", "RANK",
             rank, "HALLS", halls, "ALIVE", alive, NULL);
}

gint64
config_sync_watch_backoff_us (const ConfigSync *sync, guint failures)
{
  double jitter = g_rand_double_range (sync->node->rand, 0.5, 1.5);
  gint64 pause;

  if (failures == 0)
    return 0;
  pause = WATCH_BACKOFF_FIRST_US << MIN (failures - 1, WATCH_DOUBLINGS_MAX);
  return (gint64)((double)pause * jitter);
}

static void
on_watched (const ConfigReading *reading, gpointer data)
{
  ConfigSync *sync = data;
  /* The platform answers at once for a missing object, so that a watch without a delay
     would spin. */
  gboolean failed =
      reading->outcome == CONFIG_READ_FAILED || reading->outcome == CONFIG_READ_NONE;

  sync->watching = FALSE;
  config_sync_apply_reading (sync, reading);
  sync->watch_failures = failed ? sync->watch_failures + 1 : 0;
  config_delegate_note_answer (sync->delegate, reading->outcome != CONFIG_READ_FAILED);
  if (reading->outcome == CONFIG_READ_FAILED &&
      sync->watch_failures >= FAILURES_BEFORE_DELEGATION)
    config_delegate_begin (sync->delegate);
  loop_timer_start (sync->watch,
                    config_sync_watch_backoff_us (sync, sync->watch_failures));
}

void
config_sync_unwatch (ConfigSync *sync)
{
  if (sync->watching && sync->kind->unwatch (sync->source_data))
    sync->watching = FALSE;
}

void
config_watch_check (gpointer data)
{
  ConfigSync *sync = data;
  gboolean is_watcher = config_sync_is_watcher (sync);
  WatchTimes times;

  /* Until the others are known, nobody can be heard. */
  if (!config_watch_has_settled (sync))
    sync->heard_us = clock_now (sync->node->clock);
  if (is_watcher != sync->is_watcher)
    log_watcher (sync, is_watcher);
  sync->is_watcher = is_watcher;
  if (!is_watcher)
    {
      config_sync_unwatch (sync);
      loop_timer_start (sync->watch, WATCHER_CHECK_INTERVAL_US);
      return;
    }
  loop_timer_start (sync->watch, WATCHING_CHECK_INTERVAL_US);
  if (sync->watching)
    return;
  sync->watching = TRUE;
  times = config_sync_watch_times (sync);
  sync->kind->watch (sync->source_data, &times, on_watched, sync);
}

void
config_watch_start (ConfigSync *sync)
{
  loop_timer_start (sync->watch, WATCH_SETTLE_US);
}
