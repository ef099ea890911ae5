/*
 * The membership of a fleet by gossip, without I/O: who is there, at which address, in
 * which incarnation. Probes go to one random member a second, mostly of the own data
 * hall, through others when it does not answer; news travels on probes and answers;
 * digests repair what got lost. No wall clock, and no clock of another node, is ever
 * compared.
 */
#ifndef CORE_MEMBERS_H
#define CORE_MEMBERS_H

#include <core/clock.h>

#define MEMBERS_BUCKETS 64u

typedef enum
{
  MEMBER_ALIVE,
  MEMBER_SUSPECT, /* did not answer; still counted as there */
  MEMBER_DEAD,
  MEMBER_LEFT /* said good-bye */
} MemberStatus;

/* What is known of one member. All texts are borrowed from its holder. */
typedef struct
{
  const char *node;
  const char *hall;
  const char *address;
  guint64 incarnation; /* random, new with each start */
  guint32 epoch;       /* raised by the member alone, to overrule what is said of it */
  MemberStatus status;
  guint32 serial;         /* of payload and state, within one epoch */
  guint32 payload_serial; /* the serial that the payload came with */
  GBytes *payload;        /* the member's own words that seldom change; may be NULL */
  GBytes *state;          /* and those that change all the time; may be NULL */
} Member;

/*
 * What is new of a member whose name, addresses and payload the reader knows already. The
 * whole of a member takes some 170 bytes, and targets fall sick and recover every second.
 */
typedef struct
{
  guint32 id;          /* members_id of its name */
  guint32 incarnation; /* the low half: tells starts and names that share an id apart */
  guint32 epoch;
  MemberStatus status;
  guint32 serial;
  guint32 payload_serial;
  GBytes *state; /* borrowed; may be NULL */
} MemberBrief;

/* One piece of news on a message. */
typedef struct
{
  const Member *member;
  gboolean brief; /* a brief will do */
} MemberNews;

typedef struct Members Members;

/* Time spans of the protocol. */
typedef struct
{
  gint64 period_us;    /* between probes */
  gint64 answer_us;    /* for a direct answer, before others are asked to help */
  guint helpers;       /* how many are asked */
  gint64 suspicion_us; /* at ten members; grows with the logarithm of the fleet */
  gint64 forget_us;    /* how long the dead are remembered */
} MembersTiming;

extern const MembersTiming members_timing_default;

typedef enum
{
  MEMBERS_PROBE,    /* ask `address` for an answer */
  MEMBERS_PROBE_VIA /* ask `address` to probe `subject` */
} MembersActionKind;

typedef struct
{
  MembersActionKind kind;
  char *address;
  char *subject;  /* a node's name; NULL when a seed without a name is probed */
  guint sequence; /* to be given back with the answer */
} MembersAction;

void members_action_free (MembersAction *action);

/* Told of each member whose status, incarnation, address or payload has changed. */
typedef void (*MembersChanged) (const Member *member, gpointer data);

/* `self` gives node, hall, address and incarnation. `seeds` are addresses. */
Members *members_create (const Member *self,
                         const char *const *seeds,
                         const MembersTiming *timing,
                         GRand *rand,
                         Clock *clock);
void members_destroy (Members *members);
void members_set_changed (Members *members, MembersChanged changed, gpointer data);

/* When members_tick wants to be called next. */
gint64 members_next_tick_us (const Members *members);
/* Carries the protocol on; returns MembersActions, which the caller frees. */
GPtrArray *members_tick (Members *members);

/*
 * An answer to the probe of that number has come from a node, which is the one that was
 * probed or one that was asked to help. From any other: see members_taken_over.
 */
void members_answered (Members *members, guint sequence, const char *from);

/*
 * Another node answers at a member's address, so that the member is gone: VMs that are
 * replaced leave their addresses to others. Without this it would be held alive for as
 * long as the other one answers.
 */
void members_taken_over (Members *members, const char *node);

/* Takes in what another says of a member. TRUE when it was news. */
gboolean members_merge (Members *members, const Member *rumour);

/* Likewise of a brief; one about an unknown member, or one with another payload than the
   one that is held, is passed over: digests mend what it would have said. */
gboolean members_merge_brief (Members *members, const MemberBrief *brief);

/* A brief about a member. */
MemberBrief members_brief (const Member *member);

/*
 * News to put on a message to `to` (may be NULL), at most `max_bytes` by the estimate
 * of members_weight; an array of MemberNews, borrowed until the next call on `members`.
 * The sender itself comes first, and what is known of `to` where it differs from `to`'s
 * own words.
 */
const GArray *members_news (Members *members, const char *to, gsize max_bytes);

/* About how many bytes a piece of news takes on the wire. */
gsize members_weight (const MemberNews *news);

/* A member's digest has come: whether the views are to be compared now. */
gboolean members_compare_due (Members *members, const char *with, guint64 digest);

/* Digests of the view: of all of it, and by bucket. Equal views have equal digests. */
guint64 members_digest (const Members *members);
void members_buckets (const Members *members, guint64 buckets[MEMBERS_BUCKETS]);
/* The members in buckets that differ from `buckets`: in all that are empty there, as a
   new node's are, and in a few of the others, from a random one on; borrowed. */
GPtrArray *members_differing (Members *members, const guint64 buckets[MEMBERS_BUCKETS]);

const Member *members_self (const Members *members);
const Member *members_find (const Members *members, const char *node);
/* All that are known, self and the dead too; borrowed. */
GPtrArray *members_all (Members *members);
/* Members alive or suspect, self included. */
guint members_count_alive (const Members *members);
/* Whether any member that is not known dead was heard of besides self. */
gboolean members_is_alive (const Member *member);

/* What a member is called in briefs, and ranked by: a hash of its name. */
guint32 members_id (const char *node);

/* Whether self has only just started: it may know few of the others. */
gboolean members_is_young (const Members *members);

/* How many live members of the own hall come before self in an order by a hash of their
   names, which all that see them agree on without a word. */
guint members_rank_in_hall (const Members *members);

/* Data halls with a live member, self's included. */
guint members_count_halls (const Members *members);

/* Whether a member is of the same data hall as self. */
gboolean members_in_own_hall (const Members *members, const Member *member);

/* Replaces self's payload and state; what differs is spread. */
void members_set_words (Members *members, GBytes *payload, GBytes *state);

/* Marks self as left; the news goes out with the messages that follow. */
void members_leave (Members *members);

#endif
