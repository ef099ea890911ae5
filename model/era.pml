/*
 * A store that comes back from an older copy: era, revision, condition.
 *
 * The store keeps the operator's version, a node's address and the changes of others under
 * one counter of revisions. Once, it comes back from a copy: its counter goes back, an era
 * begins, and the operator's last version is written again, under another revision. A
 * watcher goes on from the revision that it holds; a node removes what another left behind
 * if it is still of the revision that was read; and looks after its own address.
 *
 * Each safeguard can be taken out: NO_WATCH_ERA, NO_CONDITION_ERA, NO_PUT_BACK.
 */
#ifdef NO_WATCH_ERA
#define WATCHED(of) true
#else
#define WATCHED(of) (era == of)
#endif
#ifdef NO_CONDITION_ERA
#define CONDITION(of) true
#else
#define CONDITION(of) (era == of)
#endif
#ifdef NO_PUT_BACK
#define PUT_BACK false
#else
#define PUT_BACK true
#endif
#define VERSIONS 3
#define OTHERS 2
#define NONE 0
#define OWN 1     /* the node's address */
#define LEFT 2    /* what a node that has gone left behind */
#define FOREIGN 3 /* another text under the same name */

/* The store. */
byte revision = 1;
byte era = 1;
byte version = 1;
byte version_at = 1; /* the revision of the operator's last change */
byte own = NONE;
byte other = LEFT;
byte other_at = 1;

/* The copy that it comes back from. */
byte copy_revision, copy_version, copy_version_at, copy_own, copy_other, copy_other_at;
bool copied = false;
bool restored = false;

byte newest = 1;       /* that the operator has ever written */
bool operator_done = false;
bool store_done = false;
bool own_written = false;
byte held = 0;         /* the watcher's version */

inline write_version(number)
{
  revision++;
  version = number;
  version_at = revision
}

active proctype Operator ()
{
  do
  :: newest < VERSIONS ->
     atomic { newest++; write_version (newest) }
  :: break
  od;
  operator_done = true
}

/* What was left behind was written once more, after the copy or before. */
active proctype Leaver ()
{
  atomic {
    if
    :: !restored && other == LEFT -> revision++; other_at = revision
    :: else
    fi
  }
}

/* Takes a copy, and may come back from it later; others climb past the watched revision. */
active proctype Store ()
{
  byte climbed = 0;

  atomic {
    copy_revision = revision; copy_version = version; copy_version_at = version_at;
    copy_own = own; copy_other = other; copy_other_at = other_at; copied = true
  }
  if
  :: atomic {
       operator_done && own_written ->
       revision = copy_revision; version = copy_version; version_at = copy_version_at;
       own = copy_own; other = copy_other; other_at = copy_other_at;
       era++; restored = true;
       /* What the operator wrote is written again, and another text may come under the
          name and the number that were read. */
       if
       :: version != newest -> write_version (newest)
       :: else
       fi;
       if
       :: true -> revision++; other = FOREIGN; other_at = revision
       :: true
       fi
     }
  :: true
  fi;
  do
  :: climbed < OTHERS -> atomic { revision++; climbed++ }
  :: break
  od;
  store_done = true
}

/* Lists once, then goes on from the revision that it holds. */
active proctype Watcher ()
{
  byte from, from_era;
  bool stands = false;

  do
  :: !stands ->
     atomic { from = revision; from_era = era; held = version; stands = true }
  :: stands ->
     atomic {
       if
       :: revision < from -> stands = false /* 410 */
       :: revision >= from && !WATCHED (from_era) -> stands = false
       :: revision >= from && WATCHED (from_era) ->
          if
          :: version_at > from -> held = version
          :: else
          fi;
          from = revision;
          if
          :: operator_done && store_done && (era == 1 || restored) ->
             assert (held == newest);
             break
          :: else
          fi
       fi
     }
  od
}

/* Removes what was left behind, if it is still what was read. */
active proctype Remover ()
{
  byte read, read_at, read_era;

  atomic { read = other; read_at = other_at; read_era = era }
  atomic {
    if
    :: read == LEFT && other != NONE && other_at == read_at && CONDITION (read_era) ->
       assert (other == read); other = NONE; revision++
    :: else
    fi
  }
}

/* A node that looks after its own address. */
active proctype Node ()
{
  byte written_era;

  atomic { revision++; own = OWN; written_era = era; own_written = true }
  do
  :: atomic {
       PUT_BACK && era > written_era ->
       if
       :: own == NONE -> revision++; own = OWN
       :: else
       fi;
       written_era = era
     }
  :: atomic {
       store_done && (era == written_era || !PUT_BACK) ->
       assert (own == OWN);
       break
     }
  od
}
