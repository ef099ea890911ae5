/*
 * The table of members: records by name, and digests of buckets kept up to date.
 */
#ifndef CORE_MEMBER_TABLE_H
#define CORE_MEMBER_TABLE_H

#include <core/members.h>

typedef struct
{
  Member member; /* its texts and payload are owned here */
  gint64 status_since_us;
  guint sends_left; /* how often this news is still to be sent */
  guint full_left;  /* and how often in full */
  guint64 hash;     /* its share of its bucket's digest */
  guint bucket;
  gboolean contested;  /* somebody speaks for another incarnation: the member must hear */
  gboolean introduced; /* self has been told to it in full */
} MemberRecord;

typedef struct MembersTable MembersTable;

MembersTable *members_table_create (void);
void members_table_destroy (MembersTable *table);

MemberRecord *members_table_find (const MembersTable *table, const char *node);
/* The record that a brief is about, or NULL. */
MemberRecord *members_table_of (const MembersTable *table, const MemberBrief *brief);
MemberRecord *members_table_put (MembersTable *table, const Member *member);
void
members_table_update (MembersTable *table, MemberRecord *record, const Member *member);
void members_table_remove (MembersTable *table, MemberRecord *record);
/* To be called after a record's epoch, status or serial was changed in place. */
void members_table_rehash (MembersTable *table, MemberRecord *record);

/* Appends copies of all names. */
void members_table_names (const MembersTable *table, GPtrArray *names);
/* Appends the borrowed addresses of the dead. */
void members_table_dead_addresses (const MembersTable *table, GPtrArray *addresses);
gboolean members_table_has_address (const MembersTable *table, const char *address);
/* Appends records with news to send, the least sent first. */
void members_table_fresh (const MembersTable *table, GPtrArray *records);
void members_table_buckets (const MembersTable *table, guint64 *buckets);
/* Appends all Members; borrowed. */
void members_table_all (const MembersTable *table, GPtrArray *members);
/* Appends the Members of one bucket. */
void members_table_bucket (const MembersTable *table, guint bucket, GPtrArray *members);
guint members_table_alive (const MembersTable *table);

#endif
