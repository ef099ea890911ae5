/*
 * Quarantine of requests that crash the targets they run on.
 *
 * An "end" is the abrupt termination of a target process, together with the requests that
 * were running on it.
 *
 * Failure: a request ends every target that starts to run it, and each target is back
 * after some seconds. The caller sends the request again under a new id, at any node, and
 * retries and hedges forward it as well. A service of eight targets had 18 ends in 15 s
 * from each of two such requests.
 *
 * Rule: each end of a target counts against all requests that were running on it. A
 * request that has three ends at distinct moments, and has completed nowhere in the
 * meantime, is quarantined ("held") on every node. This also applies to requests that
 * wait in a queue. A completed answer from any target shows that the request is harmless,
 * and clears all ends that count against it.
 *
 * Every node decides by itself, from the ends that all nodes have seen. Ends are gossiped
 * as facts (a random number and an age) that may arrive in any order and any number of
 * times, so that nodes with the same facts hold the same list. No single node's view
 * decides, and no node has to stay alive: the three ends may have been seen by three
 * nodes that are gone afterwards.
 *
 * Protection of innocent requests: an end counts only against the request with the most
 * ends among those that were running there, and an end of a quarantined request counts
 * against that request alone. Ends at one moment, such as those of a failing data hall,
 * count once. A request is quarantined only QUARANTINE_SETTLE_US after its decisive end,
 * so that an answer from elsewhere can still arrive. A quarantined request is tried
 * again, one request at a time: at once, after a minute, after ten minutes and so on.
 */
#ifndef CORE_QUARANTINE_H
#define CORE_QUARANTINE_H

#include <core/clock.h>
#include <core/fingerprint.h>

/* Ends that quarantine a request: the limit that the requirements set. */
#define QUARANTINE_ENDS_LIMIT 3u
/* Ends that are closer together count as one event, because a host, a rack or a hall
   fails with many targets at one moment. An update about an end is delayed by at most a
   trip between halls, 12 ms. */
#define QUARANTINE_MOMENT_US (30 * MS_US)
/* Time for an answer to arrive from elsewhere: the longest mean latency of a route in the
   reference deployment is 290 ms. The requirements allow at least 3 s from the third end,
   including the time for gossip. */
#define QUARANTINE_SETTLE_US (300 * MS_US)
/* Maximum number of entries. Entries with the fewest and oldest ends are evicted first,
   the same ones on each node. A list of 64 takes 10 KB of memory, and 5 KB to send to a
   node that has none of it. */
#define QUARANTINE_ENTRIES_MAX 64u
/* Ends kept per entry: those with the lowest ids, the same ones on all nodes. */
#define QUARANTINE_ENDS_KEPT 6u
/* Fingerprints that one end counts against; a request with a query has two. With more
   requests at work, an end says little about each of them. */
#define QUARANTINE_FINGERPRINTS_MAX 24u
/* A request that is not quarantined is forgotten this long after its last end. The time
   is long enough to recognise a request that arrives every few minutes. */
#define QUARANTINE_RETENTION_US (600 * SECOND_US)
/* A cleared entry is kept for this time, because reports from before it was cleared may
   arrive this late. */
#define QUARANTINE_CLEARED_RETENTION_US (10 * SECOND_US)
/* Pauses after the first and the second trial; later pauses double, up to an hour. Two
   trials fall within the first ten minutes, which leaves one of the three ends that the
   requirements allow for a request that is already in transit. */
#define QUARANTINE_PAUSE_FIRST_US (60 * SECOND_US)
#define QUARANTINE_PAUSE_SECOND_US (600 * SECOND_US)
#define QUARANTINE_PAUSE_MAX_US (3600 * SECOND_US)
/* Pause before a trial that led to neither an answer nor an end is repeated. */
#define QUARANTINE_PAUSE_UNDECIDED_US SECOND_US

/* One end of a target, as recorded for a request. */
typedef struct
{
  guint32 id;   /* random; assigned by the node that saw the end */
  gint64 at_us; /* time of the end on this node's clock */
} QuarantineEnd;

/* What is known about one request. Times are of this node's clock; 0 means never. */
typedef struct
{
  Fingerprint request;
  guint32 service; /* quarantine_service_hash of the service's name */
  guint32 version; /* hash of the software version that ended last; 0 if unknown */
  guint32 epoch;   /* incremented when the entry is cleared; facts of earlier epochs no
                      longer count */
  gint64 cleared_us;
  QuarantineEnd ends[QUARANTINE_ENDS_KEPT]; /* of this epoch, oldest first */
  guint end_count;
  gint64 last_end_us;
  gint64 held_us; /* start of the quarantine; 0 if not quarantined */
  guint32 turn; /* version of `trials` and `due_us` within an epoch; incremented with each
                   change */
  guint32 trials; /* trials made since the request was quarantined */
  gint64 due_us;  /* time of the next trial */
} QuarantineEntry;

typedef enum
{
  QUARANTINE_FREE,
  QUARANTINE_SUSPECT, /* the request was running at one end or more, but it may run */
  QUARANTINE_DOUBTED, /* ends at two or more moments count against it; it may run, but
                         once per caller */
  QUARANTINE_TRIAL,   /* quarantined, but a trial is due: one request may run */
  QUARANTINE_HELD
} QuarantineState;

typedef struct
{
  QuarantineState state;
  gint64 retry_after_us; /* for QUARANTINE_HELD: time until the next trial */
} QuarantineVerdict;

typedef struct Quarantine Quarantine;

/* Called when an entry becomes quarantined, or is cleared while quarantined, on this
   node; `entry` is borrowed. */
typedef void (*QuarantineChanged) (const QuarantineEntry *entry, gpointer data);

Quarantine *quarantine_create (Clock *clock);
void quarantine_destroy (Quarantine *quarantine);
void
quarantine_set_changed (Quarantine *quarantine, QuarantineChanged changed, gpointer data);

guint32 quarantine_service_hash (const char *service);

/* Returns whether the list has any entry for this service. If not, its requests need no
   fingerprint. */
gboolean quarantine_has_service (const Quarantine *quarantine, guint32 service);
/* Returns whether a request with this head is listed. If not, its body needs no digest at
   all. */
gboolean quarantine_has_head (const Quarantine *quarantine, guint64 head);

/* Records that a target has ended while these requests (Fingerprint) ran on it. Each
   request must be listed once. */
void quarantine_note_end (Quarantine *quarantine,
                          guint32 end,
                          guint32 service,
                          guint32 version,
                          const GArray *requests);

/* Records a good answer to a request. Returns TRUE if this cleared an entry. */
gboolean quarantine_note_answer (Quarantine *quarantine, const Fingerprint *request);

/* Returns whether a request may run now. */
QuarantineVerdict quarantine_check (Quarantine *quarantine, const Fingerprint *request);

/* Starts the trial that is due. Returns FALSE if none is due, for example because another
   node has started it. */
gboolean quarantine_begin_trial (Quarantine *quarantine, const Fingerprint *request);
/* Records that a trial led to neither an answer nor an end. Only the first trial of a
   quarantine is repeated, at most once. */
void quarantine_trial_undecided (Quarantine *quarantine, const Fingerprint *request);

/* Records that a target runs another version of the service's software. Quarantined
   requests that ended a target of a different version are due for a trial at once, unless
   they have had two trials. */
void quarantine_note_version (Quarantine *quarantine, guint32 service, guint32 version);

/* Clears the entry whose fingerprint text is `digits`, on an operator's request. Returns
   FALSE if no entry or several entries match. */
gboolean quarantine_lift (Quarantine *quarantine, const char *digits);

/* Quarantines requests whose time to settle has passed, and forgets old entries. */
void quarantine_tick (Quarantine *quarantine);

/* Returns all entries (QuarantineEntry), borrowed. */
const GArray *quarantine_entries (const Quarantine *quarantine);

/* --- Updates between nodes. Times are sent as ages; clocks are never compared. --- */

typedef struct
{
  Fingerprint request;
  gint64 held_age_us;    /* -1 if not quarantined */
  gint64 cleared_age_us; /* since the epoch began; -1 for the first epoch */
  gint64 due_in_us;      /* negative when the trial is overdue */
  gint64 end_ages_us[QUARANTINE_ENDS_KEPT];
  guint32 end_ids[QUARANTINE_ENDS_KEPT];
  guint end_count;
  guint32 service;
  guint32 version;
  guint32 epoch;
  guint32 turn;
  guint32 trials;
} QuarantineUpdate;

typedef enum
{
  QUARANTINE_UPDATES_NONE,
  QUARANTINE_UPDATES_NORMAL, /* of first ends, most of which lead to no quarantine */
  QUARANTINE_UPDATES_URGENT /* of requests that are quarantined, were just cleared, or may
                            soon be quarantined */
} QuarantineUrgency;

/* Takes the updates for one message, at most `max` and the most urgent first, and returns
   how many. Each change is sent a limited number of times. */
guint
quarantine_next_updates (Quarantine *quarantine, QuarantineUpdate *updates, guint max);
QuarantineUrgency quarantine_urgency (const Quarantine *quarantine);
/* Takes up to `max` entries whether or not they have been sent before, the next part of
   the list with each call. */
guint quarantine_next_part (Quarantine *quarantine, QuarantineUpdate *updates, guint max);
/* Merges a received update. Returns TRUE if it changed the list. */
gboolean quarantine_merge (Quarantine *quarantine, const QuarantineUpdate *update);
/* Returns a digest of the list, equal on nodes with equal lists; 0 for an empty one. */
guint32 quarantine_digest (const Quarantine *quarantine);

#endif
