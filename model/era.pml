/*
 * A store that is restored from a backup: eras, revisions and conditional writes.
 *
 * The store keeps the operator's version, a node's address and another node's entry, with
 * one revision counter for all writes. It may be restored once from a copy: the counter
 * goes back, a new era begins, and the operator's last version is written again under
 * another revision. A watcher continues from the last revision that it has read. A node
 * removes an entry left by another node if its revision is still the one that was read,
 * and rewrites its own address if the restore has lost it.
 *
 * Each macro disables one safeguard:
 *   NO_WATCH_ERA      a watch continues across a change of era
 *   NO_CONDITION_ERA  a conditional removal does not compare the era
 *   NO_PUT_BACK       a node does not rewrite its address in a new era
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
#define LEFT 2    /* an entry left by a node that has gone */
#define FOREIGN 3 /* another value under the same name */

/* The store. */
byte revision = 1;
byte era = 1;
byte version = 1;
byte version_at = 1; /* the revision of the operator's last change */
byte own = NONE;
byte other = LEFT;
byte other_at = 1;

/* The copy that the store is restored from. */
byte copy_revision, copy_version, copy_version_at, copy_own, copy_other, copy_other_at;
bool copied = false;
bool restored = false;

byte newest = 1;       /* the newest version that the operator has written */
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

/* Writes the left entry once more, before the copy is taken or after it. */
active proctype EntryWriter ()
{
  atomic {
    if
    :: !restored && other == LEFT -> revision++; other_at = revision
    :: else
    fi
  }
}

/* Takes a copy and may later be restored from it. Writes of others then raise the revision,
   possibly past the one that the watcher has read. */
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
       /* The operator's last version is written again. Another value may be written under
          the name, and with the revision, that the remover has read. */
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

/* Lists once, then continues from the last revision that it has read. */
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
       :: revision < from -> stands = false /* the store answers 410 Gone: list again */
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

/* Removes the left entry if it has not changed since it was read. */
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

/* A node that writes its address, and again in a new era if the address is missing. */
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
