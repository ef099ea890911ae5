/*
 * Detects targets that crash while they run requests. A broken exchange alone is no proof
 * of a crash, because targets in a bad spell break off single requests and keep running.
 * A crash breaks all exchanges at once, and afterwards nothing listens at the address.
 */
#ifndef DAEMON_CRASH_WATCH_H
#define DAEMON_CRASH_WATCH_H

#include <core/fingerprint.h>

#include "node.h"

/* An attempt that its target has broken off. */
typedef struct
{
  Fingerprints prints;
  char *attempt;  /* the name used in logs; crash_watches_note_break takes ownership */
  gboolean trial; /* this is a trial of a quarantined request */
  gint64 ran_us;
} BrokenAttempt;

/* The target of a broken attempt; texts are copied. */
typedef struct
{
  const char *name;
  const char *service;
  const char *address;
} WatchedTarget;

/* Callbacks to the owner of the watches. */
typedef struct
{
  /* Returns whether a request that was sent to the target before `before_us` still runs
     there. */
  gboolean (*has_older_request) (const char *target, gint64 before_us, gpointer data);
  /* The target still accepts connections; the owner closes `fd`, which is one. */
  void (*connected) (const char *target, int fd, gpointer data);
  /* A target has crashed while it ran these requests: an array of Fingerprint without
     duplicates. */
  void (*ended) (const char *service, const GArray *requests, gpointer data);
  /* A trial was broken off, but the target did not crash. */
  void (*trial_broken) (const Fingerprints *prints, gpointer data);
} CrashWatchOwner;

typedef struct CrashWatches CrashWatches;

/* `owner` is borrowed. */
CrashWatches *
crash_watches_create (const Node *node, const CrashWatchOwner *owner, gpointer data);
void crash_watches_destroy (CrashWatches *watches);

void crash_watches_note_break (CrashWatches *watches,
                               const WatchedTarget *target,
                               const BrokenAttempt *work);

#endif
