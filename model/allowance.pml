/*
 * An account's allowance, lent by one lender at a time: its bucket, what was lent and is
 * held for a while, the lender's restarts, and the move of the lending to another node.
 *
 * In each tick the bucket takes RATE and lends some; what is held is used or lapses; the
 * lender may start again, or another may take over, perhaps before the first has heard of
 * it. In any WINDOW ticks no more may be used than BOUND. Each safeguard can be left out:
 *   NO_EMPTY_START  a bucket begins full with a new life of its lender
 *   NO_EMPTY_MOVE   and with the moment at which a node becomes the lender
 *   NO_LAPSE        what was lent is good for ever
 *   NO_STOP         a lender that has heard of another goes on
 */
#define WINDOW 3
#define HOLD 2
#define RATE 1
#define DEPTH 2
/* What one bucket gives for the uses of a window. A lender that has not heard of another
   has no more to give than it had taken in before. */
#define BOUND ((WINDOW + HOLD - 1) * RATE + DEPTH)
#define TICKS 9
#define LENT_MAX 3

byte level[2];          /* of the two nodes' buckets */
byte lender;            /* the one that lends by the view of those who ask */
bool stays;             /* the other has not heard yet that it does not */
byte held[HOLD];        /* by age in ticks */
byte used[WINDOW];      /* in the last ticks */
byte tick;

inline fill (node)
{
  level[node] = (level[node] + RATE > DEPTH -> DEPTH : level[node] + RATE)
}

/* Lends as much as chance will have it. */
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

inline start_again ()
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
       :: start_again ()
       :: !moved -> move (); moved = true
       :: skip
       fi;
       lend (lender);
       /* What the former one lends on before it has heard. */
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
