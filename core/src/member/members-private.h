/*
 * What the files of the membership share: members.c its life and what it takes in,
 * members-probe.c probing and suspicion, members-news.c what it tells,
 * members-compare.c when views are compared.
 */
#ifndef CORE_MEMBERS_PRIVATE_H
#define CORE_MEMBERS_PRIVATE_H

#include "table.h"

/* A probe that waits for its answer. */
typedef struct
{
  guint sequence;
  char *node;
  gint64 help_due_us;
  gint64 due_us;
  gboolean helped;
} Probe;

/* Comparisons of views with nodes of one kind. */
typedef struct
{
  guint mismatches; /* digests in a row that differed */
  gint64 at_us;     /* the last comparison; 0 for none */
} Comparison;

struct Members
{
  MembersTable *table;
  MemberRecord *self;
  char **seeds;
  MembersTiming timing;
  GRand *rand;
  Clock *clock;
  GPtrArray *round;   /* names of the own hall left to probe in this round */
  GPtrArray *distant; /* likewise of other halls */
  GArray *probes;     /* of Probe */
  guint sequence;
  gint64 next_probe_us;
  guint periods;
  gint64 began_us;
  Comparison comparisons[2]; /* with other halls' nodes, and with this hall's */
  GPtrArray *borrowed;       /* what the last query handed out */
  GArray *news;              /* what members_news handed out */
  MembersChanged changed;
  gpointer changed_data;
};

/* Has a record's news told to the others, in full where they may not know the member. */
void members_spread (Members *members, MemberRecord *record, gboolean full);

/* Changes what is held of a member, and tells it. */
void members_set_status (Members *members, MemberRecord *record, MemberStatus status);

/* About the logarithm of the fleet: how far news has to go. */
double members_fleet_log (const Members *members);

#endif
