/*
 * The fence: at most one execution, and "not run" is true.
 *
 * One request, up to two attempts, each at a sidecar of its own. The network keeps every
 * message that was ever sent and delivers it any number of times, in any order, or never;
 * that covers loss, delay, duplicates and crossing, and a paused process on either side,
 * for any process may stand still at any point. A sidecar may crash and come back with a
 * new incarnation, an empty table and a clock of its own.
 *
 * The transitions of the sidecar bear the names of core/src/request/fence.c, those of
 * the ingress the names of core/src/request/dispatch.c.
 *
 * A macro takes one safeguard out, and must make Spin find a violation:
 *   NO_TOMBSTONE      fence_ask answers "not run" without recording it
 *   NO_INCARNATION    a sidecar takes what is addressed to an earlier incarnation
 *   NO_START_RECORD   the start is recorded only after the target has run
 *   NO_WINDOW         old clock readings are taken although entries were forgotten
 *   NO_REFUSE_RECORD  fence_refuse leaves no tombstone
 *   NO_PROOF          the ingress goes elsewhere without a refusal or a fence
 */
#define ATTEMPTS 2
#define CLOCK_MAX 3
#define WINDOW 1
#define RESTARTS 1

/* An entry of the fence's table. */
#define ABSENT 0
#define QUEUED 1
#define STARTED 2
#define FINISHED 3
#define TOMBSTONE 4

/* What the caller hears. */
#define NOTHING 0
#define DONE 1
#define NOT_RUN 2
#define UNKNOWN 3

typedef Message {
  bit sent;
  byte incarnation;
  byte reading
}

typedef Replies {
  bit done;
  bit refused;   /* proof that it did not run and never will */
  bit unsure
}

Message submit[ATTEMPTS];
bit fence_sent[ATTEMPTS]; /* carries the incarnation and the reading of the submit */
Replies replies[ATTEMPTS];

/* Sidecar i serves attempt i. */
byte incarnation[ATTEMPTS];
byte now[ATTEMPTS];
byte entry[ATTEMPTS];
byte created[ATTEMPTS];

byte executions;
byte answer = NOTHING;

#define HORIZON(i) (now[i] > WINDOW -> now[i] - WINDOW : 0)
#define FRESH(i) (submit[i].reading >= HORIZON (i))

#ifdef NO_INCARNATION
#define ADDRESSED(i) true
#else
#define ADDRESSED(i) (submit[i].incarnation == incarnation[i])
#endif

#ifdef NO_WINDOW
#define ACCEPTED(i) true
#else
#define ACCEPTED(i) FRESH (i)
#endif

#define CHECK assert (executions <= 1); assert (!(answer == NOT_RUN && executions > 0))

proctype Sidecar (byte i)
{
  byte restarts = 0;
  bit held = 0; /* started at the target, not yet recorded (NO_START_RECORD only) */

  do
  :: atomic { /* fence_submit */
       submit[i].sent ->
       if
       :: !ADDRESSED (i) -> replies[i].unsure = 1
       :: ADDRESSED (i) && entry[i] == ABSENT && ACCEPTED (i) ->
            entry[i] = QUEUED; created[i] = now[i]
       :: ADDRESSED (i) && entry[i] == ABSENT && !ACCEPTED (i) -> replies[i].unsure = 1
       :: ADDRESSED (i) && entry[i] == TOMBSTONE -> replies[i].refused = 1
       :: else -> skip /* known: it is answered when it ends */
       fi
     }
  :: atomic { /* fence_start, then the first byte */
       entry[i] == QUEUED ->
#ifdef NO_START_RECORD
       held = 1; entry[i] = ABSENT;
#else
       entry[i] = STARTED;
#endif
       executions++; CHECK
     }
#ifdef NO_START_RECORD
  :: atomic { held -> held = 0; entry[i] = FINISHED; replies[i].done = 1 }
#endif
  :: atomic { /* fence_finish */
       entry[i] == STARTED -> entry[i] = FINISHED; replies[i].done = 1
     }
  :: atomic { /* fence_refuse */
       entry[i] == QUEUED ->
#ifdef NO_REFUSE_RECORD
       entry[i] = ABSENT;
#else
       entry[i] = TOMBSTONE;
#endif
       replies[i].refused = 1
     }
  :: atomic { /* fence_ask */
       fence_sent[i] ->
       if
       :: !ADDRESSED (i) -> replies[i].unsure = 1
       :: ADDRESSED (i) && (entry[i] == QUEUED || entry[i] == TOMBSTONE) ->
            entry[i] = TOMBSTONE; replies[i].refused = 1
       :: ADDRESSED (i) && entry[i] == FINISHED -> replies[i].done = 1
       :: ADDRESSED (i) && entry[i] == ABSENT && !FRESH (i) -> replies[i].unsure = 1
       :: ADDRESSED (i) && entry[i] == ABSENT && FRESH (i) ->
#ifndef NO_TOMBSTONE
            entry[i] = TOMBSTONE; created[i] = now[i];
#endif
            replies[i].refused = 1
       :: else -> skip
       fi
     }
  :: atomic { now[i] < CLOCK_MAX -> now[i]++ }
  :: atomic { /* sweep */
       (entry[i] == FINISHED || entry[i] == TOMBSTONE) && created[i] < HORIZON (i) ->
       entry[i] = ABSENT; created[i] = 0
     }
  :: atomic { /* crash; what ran at the target has run */
       restarts < RESTARTS ->
       restarts++; incarnation[i]++; entry[i] = ABSENT; created[i] = 0; now[i] = 0; held = 0
     }
  od
}

proctype Ingress ()
{
  byte i = 0;

send: /* dispatch_chosen: the stamp is read before the attempt is first sent */
  atomic {
    submit[i].incarnation = incarnation[i];
    submit[i].reading = now[i];
    submit[i].sent = 1
  }
  do
  :: atomic { replies[i].done -> answer = DONE; CHECK; assert (executions == 1); break }
  :: atomic { replies[i].refused -> /* dispatch_sent and dispatch_asked: refused */
       if
       :: i + 1 < ATTEMPTS -> i++; goto send
       :: answer = NOT_RUN; CHECK; break
       fi
     }
  :: atomic { replies[i].unsure -> answer = UNKNOWN; break }
  :: atomic { !fence_sent[i] -> fence_sent[i] = 1 } /* no answer: ask */
#ifdef NO_PROOF
  :: atomic { i + 1 < ATTEMPTS -> i++; goto send }
#endif
  :: atomic { answer = UNKNOWN; break } /* out of time */
  od
}

init {
  atomic {
    run Sidecar (0);
    run Sidecar (1);
    run Ingress ()
  }
}
