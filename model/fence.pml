/*
 * The fence: a request is executed at most once, and the answer "not run" is true.
 *
 * One request has up to two attempts, each at a different sidecar. The network keeps every
 * message ever sent and delivers it any number of times, in any order, or never. This
 * covers loss, delay, duplication, reordering, and paused processes, because any process
 * may pause at any point. A sidecar may crash and restart with a new incarnation, an empty
 * table and a new clock.
 *
 * The transitions of the sidecar are labelled with the functions of
 * core/src/request/fence.c, those of the ingress with core/src/request/dispatch.c.
 *
 * Each macro disables one safeguard, and Spin must then find a violation:
 *   NO_TOMBSTONE      fence_ask answers "not run" without recording a tombstone
 *   NO_INCARNATION    a sidecar accepts messages to an earlier incarnation
 *   NO_START_RECORD   the start is recorded only after the target has executed the request
 *   NO_WINDOW         old clock readings are accepted although entries were dropped
 *   NO_REFUSE_RECORD  fence_refuse leaves no tombstone
 *   NO_PROOF          the ingress retries elsewhere without a refusal or a fence answer
 */
#define ATTEMPTS 2
#define CLOCK_MAX 3
#define WINDOW 1
#define RESTARTS 1

/* States of an entry in the fence's table. */
#define ABSENT 0
#define QUEUED 1
#define STARTED 2
#define FINISHED 3
#define TOMBSTONE 4

/* Answers to the caller. */
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
  bit refused;   /* proof that the attempt was not executed and never will be */
  bit unsure
}

Message submit[ATTEMPTS];
bit fence_sent[ATTEMPTS]; /* has the incarnation and the clock reading of the submit */
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
       :: else -> skip /* a known attempt; the answer follows when it finishes */
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
  :: atomic { /* crash; the executions at the target are not undone */
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
  :: atomic { !fence_sent[i] -> fence_sent[i] = 1 } /* no answer yet: query the fence */
#ifdef NO_PROOF
  :: atomic { i + 1 < ATTEMPTS -> i++; goto send }
#endif
  :: atomic { answer = UNKNOWN; break } /* the deadline has passed */
  od
}

init {
  atomic {
    run Sidecar (0);
    run Sidecar (1);
    run Ingress ()
  }
}
