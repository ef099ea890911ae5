/*
 * An account's allowance with one lender at a time: the lender's token bucket, lent
 * requests that other nodes hold, restarts of the lender, and a change of lender.
 *
 * In each tick the bucket gains RATE tokens and lends some of them. Held requests are used
 * or expire after HOLD ticks. The lender may restart, or another node may become the lender
 * before the former lender has learned of it. No more than BOUND requests may be used in
 * any WINDOW ticks. Each macro disables one safeguard:
 *   NO_EMPTY_START  the bucket is full, not empty, after a restart of its lender
 *   NO_EMPTY_MOVE   the bucket of a new lender is full, not empty
 *   NO_LAPSE        lent requests do not expire
 *   NO_STOP         a former lender goes on lending after it has learned of the new one
 */
#define WINDOW 3
#define HOLD 2
#define RATE 1
#define DEPTH 2
/* The most that one bucket can lend for use within a window. A former lender that has not
   yet learned of the new one can only lend tokens gained before the change. */
#define BOUND ((WINDOW + HOLD - 1) * RATE + DEPTH)
#define TICKS 9
#define LENT_MAX 3

byte level[2];          /* tokens in the buckets of the two nodes */
byte lender;            /* the node that borrowers take for the lender */
bool stays;             /* the other node still takes itself for the lender */
byte held[HOLD];        /* lent and unused requests, by age in ticks */
byte used[WINDOW];      /* requests used in each of the last ticks, newest first */
byte tick;

inline fill (node)
{
  level[node] = (level[node] + RATE > DEPTH -> DEPTH : level[node] + RATE)
}

/* Lends a nondeterministic number of requests. */
inline lend (node)
{
  do
  :: level[node] > 0 && held[0] < LENT_MAX -> level[node]--; held[0]++
  :: break
  od
}

inline use (age)
{
  do
  :: held[age] > 0 -> held[age]--; used[0]++
  :: break
  od
}

inline pass_time ()
{
  used[2] = used[1];
  used[1] = used[0];
  used[0] = 0;
#ifdef NO_LAPSE
  held[1] = held[1] + held[0];
#else
  held[1] = held[0];
#endif
  held[0] = 0
}

inline restart_lender ()
{
#ifdef NO_EMPTY_START
  level[lender] = DEPTH
#else
  level[lender] = 0
#endif
}

inline move ()
{
  lender = 1 - lender;
  stays = true;
#ifdef NO_EMPTY_MOVE
  level[lender] = DEPTH
#else
  level[lender] = 0
#endif
}

init {
  bool moved = false;

  level[0] = DEPTH;
  do
  :: tick == TICKS -> break
  :: else ->
     atomic {
       fill (lender);
       if
       :: restart_lender ()
       :: !moved -> move (); moved = true
       :: skip
       fi;
       lend (lender);
       /* The former lender lends until it learns of the change. */
       if
       :: stays -> lend (1 - lender);
#ifdef NO_STOP
          fill (1 - lender)
#else
          stays = false; level[1 - lender] = 0
#endif
       :: else
       fi;
       use (0);
       use (1);
       assert (used[0] + used[1] + used[2] <= BOUND);
       pass_time ();
       tick++
     }
  od
}
