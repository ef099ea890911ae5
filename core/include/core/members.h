/*
 * Gossip membership of the fleet, without I/O: the nodes with their addresses and
 * incarnations, after the SWIM protocol. Every period, 1 s by default, a node probes one
 * member in random order, mostly of its own data hall, and asks other members to probe it
 * when it does not answer. Updates are piggybacked on probes and answers, and views are
 * compared by digests to repair lost updates. Neither wall-clock time nor another node's
 * clock is used.
 */
#ifndef CORE_MEMBERS_H
#define CORE_MEMBERS_H

#include <core/clock.h>

#define MEMBERS_BUCKETS 64u

typedef enum
{
  MEMBER_ALIVE,
  MEMBER_SUSPECT, /* did not answer a probe; still counted as alive */
  MEMBER_DEAD,
  MEMBER_LEFT /* announced its departure */
} MemberStatus;

/* One member's entry in a view. Its pointers are borrowed. */
typedef struct
{
  const char *node;
  const char *hall;
  const char *address;
  guint64 incarnation; /* random, new with each start */
  guint32 epoch;       /* raised only by the member itself, to refute others */
  MemberStatus status;
  guint32 serial;         /* version of payload and state, within one epoch */
  guint32 payload_serial; /* the serial at which the payload last changed */
  GBytes *payload;        /* published by the member, changes rarely; may be NULL */
  GBytes *state;          /* published by the member, changes often; may be NULL */
} Member;

/*
 * An update of a member whose name, addresses and payload the receiver already has. A
 * full Member takes about 170 bytes on the wire, and some target's health changes every
 * second.
 */
typedef struct
{
  guint32 id;          /* members_id of its name */
  guint32 incarnation; /* the low half; tells starts and equal ids apart */
  guint32 epoch;
  MemberStatus status;
  guint32 serial;
  guint32 payload_serial;
  GBytes *state; /* borrowed; may be NULL */
} MemberDelta;

/* One update in a message. */
typedef struct
{
  const Member *member;
  gboolean delta; /* send only the MemberDelta */
} MemberUpdate;

typedef struct Members Members;

/* Parameters of the protocol. */
typedef struct
{
  gint64 period_us;         /* between probes */
  gint64 direct_timeout_us; /* time limit of a direct probe, before the indirect ones */
  guint indirect_probes;    /* members asked to probe indirectly */
  gint64
      suspicion_timeout_us; /* for ten members; scales with log10 of the fleet's size */
  gint64 dead_retention_us; /* how long members that are dead or left are kept */
} MembersTiming;

extern const MembersTiming members_timing_default;

typedef enum
{
  MEMBERS_PROBE,    /* probe `address` */
  MEMBERS_PROBE_VIA /* ask `address` to probe `subject` */
} MembersActionKind;

typedef struct
{
  MembersActionKind kind;
  char *address;
  char *subject; /* a node's name; NULL if `address` is a seed or that of a dead member */
  guint sequence; /* passed to members_answered with the answer */
} MembersAction;

void members_action_free (MembersAction *action);

/* Called for each other member that was added or whose entry has changed. */
typedef void (*MembersChangedFunc) (const Member *member, gpointer data);

/* Copies node, hall, address and incarnation from `self`. `seeds` are addresses. */
Members *members_create (const Member *self,
                         const char *const *seeds,
                         const MembersTiming *timing,
                         GRand *rand,
                         Clock *clock);
void members_destroy (Members *members);
void members_set_changed (Members *members, MembersChangedFunc changed, gpointer data);

/* Returns when members_tick is due next. */
gint64 members_next_tick_us (const Members *members);
/* Runs the steps of the protocol that are due. The caller carries out and frees the
   returned array of MembersAction. */
GPtrArray *members_tick (Members *members);

/*
 * Notes that node `from` has answered the probe with this sequence number. Until other
 * members have been asked to probe the subject, an answer from another node than the
 * subject has the effect of members_mark_replaced.
 */
void members_answered (Members *members, guint sequence, const char *from);

/*
 * Marks a member as dead because another node answers at its address, which happens when
 * a VM is replaced. Otherwise the member would count as alive for as long as the other
 * node answers.
 */
void members_mark_replaced (Members *members, const char *node);

/* Merges another node's entry of a member into the view. Returns TRUE when it was newer,
   or when it made self raise its own epoch. */
gboolean members_merge (Members *members, const Member *rumour);

/* The same for a delta. A delta about an unknown member, or about another payload than
   the held one, is ignored; a comparison of views repairs the difference. */
gboolean members_merge_delta (Members *members, const MemberDelta *delta);

/* The delta's state is borrowed from `member`. */
MemberDelta members_delta (const Member *member);

/*
 * Returns the updates to send in a message to `to` (may be NULL), at most `max_bytes` by
 * the estimate of members_update_size, as an array of MemberUpdate that is borrowed until
 * the next call. The updates of self and of third members count as sent. Self comes
 * first, then `to` itself if this view holds it suspect, dead, left or in another
 * incarnation, so that it can refute that.
 */
const GArray *members_next_updates (Members *members, const char *to, gsize max_bytes);

/* Estimates the bytes that an update takes on the wire. */
gsize members_update_size (const MemberUpdate *update);

/* Notes the digest that `node` has sent. Returns TRUE when the caller should compare
   views with it now. */
gboolean members_compare_due (Members *members, const char *node, guint64 digest);

/* Digests of the live members of the view: of all, and by bucket. Equal views have equal
   digests. */
guint64 members_digest (const Members *members);
void members_buckets (const Members *members, guint64 buckets[MEMBERS_BUCKETS]);
/* Returns the members in the buckets that differ from `buckets`: in all buckets that are
   empty there, as a new node's are, and in a few others from a random one on. Borrowed
   until the next call. */
GPtrArray *members_differing (Members *members, const guint64 buckets[MEMBERS_BUCKETS]);

const Member *members_self (const Members *members);
const Member *members_find (const Members *members, const char *node);
/* Returns all known Members, with self and the dead; borrowed until the next call. */
GPtrArray *members_all (Members *members);
/* Counts the members that are alive or suspect, including self. */
guint members_count_alive (const Members *members);
/* Returns whether the member is alive or suspect. */
gboolean members_is_alive (const Member *member);

/* A hash of the name, which identifies the member in a MemberDelta and orders members. */
guint32 members_id (const char *node);

/* Returns whether self started less than 8 s ago and may know only part of the fleet. */
gboolean members_is_starting_up (const Members *members);

/* Counts the live members of the own hall that precede self in the order of members_id.
   Nodes with equal views get consistent ranks without communication. */
guint members_rank_in_hall (const Members *members);

/* Counts the data halls that have a live member, including self's. */
guint members_count_halls (const Members *members);

/* Counts the data halls that have a live member and precede self's by name. */
guint members_count_halls_before (const Members *members);

gboolean members_in_own_hall (const Members *members, const Member *member);

/* Replaces self's payload and state, of which it takes references, and schedules an
   update when one of them has changed. */
void members_publish (Members *members, GBytes *payload, GBytes *state);

/* Marks self as left and schedules an update for the messages that follow. */
void members_leave (Members *members);

#endif
