/*
 * The table of members: records by name, and a digest for each bucket of names.
 */
#ifndef CORE_MEMBER_TABLE_H
#define CORE_MEMBER_TABLE_H

#include <core/members.h>

typedef struct
{
  Member member; /* the record owns its strings, payload and state */
  gint64 status_since_us;
  guint sends_left;      /* remaining sends of the latest update */
  guint full_sends_left; /* how many of them are in full */
  guint64 hash;          /* XORed into its bucket's digest */
  guint bucket;
  gboolean contested; /* an update named another incarnation: inform the member */
  gboolean self_sent; /* self has been sent to it in full */
} MemberRecord;

typedef struct MembersTable MembersTable;

MembersTable *members_table_create (void);
void members_table_destroy (MembersTable *table);

MemberRecord *members_table_find (const MembersTable *table, const char *node);
/* Returns the record that a delta refers to, or NULL. */
MemberRecord *members_table_find_delta (const MembersTable *table,
                                        const MemberDelta *delta);
MemberRecord *members_table_put (MembersTable *table, const Member *member);
void
members_table_update (MembersTable *table, MemberRecord *record, const Member *member);
void members_table_remove (MembersTable *table, MemberRecord *record);
/* Updates the digest after a record's epoch, status or serial was changed in place. */
void members_table_rehash (MembersTable *table, MemberRecord *record);

/* Appends copies of all names. */
void members_table_names (const MembersTable *table, GPtrArray *names);
/* Appends the addresses of dead members; borrowed. */
void members_table_dead_addresses (const MembersTable *table, GPtrArray *addresses);
gboolean members_table_has_address (const MembersTable *table, const char *address);
/* Appends the records with an update to send, those with most sends left first. */
void members_table_pending (const MembersTable *table, GPtrArray *records);
void members_table_buckets (const MembersTable *table, guint64 *buckets);
/* Appends all Members; borrowed. */
void members_table_all (const MembersTable *table, GPtrArray *members);
/* Appends the Members of one bucket; borrowed. */
void members_table_bucket (const MembersTable *table, guint bucket, GPtrArray *members);
guint members_table_alive (const MembersTable *table);

#endif
