/*
 * Determines from heartbeats which start of a target is current. Each start has a name:
 * the target's identifier, followed by the start time if the target reports one, because
 * a target may restart under the same identifier. Heartbeats of a crashed start may
 * arrive seconds late, even after the next start has registered and after the node itself
 * has restarted.
 *
 * Rule: a heartbeat with a new name takes over at once, because a crash is not announced.
 * The start that was replaced becomes current again only if it sends two more heartbeats
 * and the current one is silent. A start that has announced its end never returns, nor
 * does a start of the same identifier with an earlier start time.
 */
#ifndef CORE_TARGET_STARTS_H
#define CORE_TARGET_STARTS_H

#include <core/clock.h>

typedef struct TargetStarts TargetStarts;

typedef enum
{
  TARGET_STARTS_STALE,   /* ignored: an old heartbeat, or one of a past start */
  TARGET_STARTS_CURRENT, /* from the current start */
  TARGET_STARTS_NEW      /* from a start that has just become current */
} TargetStartsResult;

/* `clock` is borrowed. */
TargetStarts *target_starts_create (Clock *clock);
void target_starts_destroy (TargetStarts *target_starts);

/*
 * Returns the name of a start: the identifier alone if `born`, its start time in Unix
 * milliseconds, is 0. The caller frees it.
 */
char *target_start_name (const char *identifier, gint64 born);
/* Returns the identifier in the name of a start; the caller frees it. */
char *target_start_identifier (const char *name);

/* Returns whether both names have the same identifier and `name` does not start after
   `other`. A name without a start time starts before all others. */
gboolean target_start_is_up_to (const char *name, const char *other);

/* Processes a heartbeat of the start `name`; `sequence` rises with each heartbeat of a
   start. */
TargetStartsResult
target_starts_heartbeat (TargetStarts *target_starts, const char *name, gint64 sequence);

/* Records that a start has announced its end. */
void target_starts_note_end (TargetStarts *target_starts, const char *name);

/* Returns the name of the current start; NULL before the first heartbeat. */
const char *target_starts_current (const TargetStarts *target_starts);

#endif
