/*
 * Shared by the files of the membership: members.c creates it and merges updates,
 * members-probe.c probes members and handles suspicion, members-updates.c selects the
 * updates to send and the buckets that differ, members-compare.c decides when to compare
 * views.
 */
#ifndef CORE_MEMBERS_PRIVATE_H
#define CORE_MEMBERS_PRIVATE_H

#include "table.h"

/* The sequence of probes begins below this number, at random. */
#define MEMBERS_FIRST_SEQUENCE_MAX 0x40000000u

/* A pending probe. */
typedef struct
{
  guint sequence;
  char *node;
  gint64 indirect_due_us; /* when other members are asked to probe the node */
  gint64 due_us;          /* when the node becomes suspect */
  gboolean indirect_sent; /* other members have been asked */
} Probe;

/* State of the view comparisons, kept for nodes of the own hall and for all others. */
typedef struct
{
  guint mismatches; /* consecutive digests that differed */
  gint64 at_us;     /* time of the last comparison; 0 for none */
} Comparison;

struct Members
{
  MembersTable *table;
  MemberRecord *self;
  char **seeds;
  MembersTiming timing;
  GRand *rand;
  Clock *clock;
  GPtrArray *round;        /* names of the own hall still to probe in this round */
  GPtrArray *remote_round; /* the same for other halls */
  GArray *probes;          /* of Probe */
  guint sequence;
  gint64 next_probe_us;
  guint periods;
  gint64 began_us;
  Comparison comparisons[2]; /* [0] with nodes of other halls, [1] of the own hall */
  GPtrArray *borrowed;       /* result of the last query */
  GArray *updates;           /* result of the last members_next_updates */
  MembersChangedFunc changed;
  gpointer changed_data;
};

/* Schedules a record's update for sending: also in full sends if `full`, for receivers
   that may not know the member or its payload. */
void members_disseminate (Members *members, MemberRecord *record, gboolean full);

/* Changes a member's status in this view, schedules the update and reports the change. */
void members_set_status (Members *members, MemberRecord *record, MemberStatus status);

/* Returns log10 (live members + 1). The number of sends of an update and the suspicion
   timeout scale with it. */
double members_fleet_log (const Members *members);

#endif
