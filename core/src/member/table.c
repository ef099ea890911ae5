#include "table.h"

#include <string.h>

struct MembersTable
{
  GHashTable *records; /* node → MemberRecord */
  GHashTable *by_id;   /* id → MemberRecord; the last inserted one of an id */
  guint64 buckets[MEMBERS_BUCKETS];
};

static void
clear_member (Member *member)
{
  g_free ((char *)member->node);
  g_free ((char *)member->hall);
  g_free ((char *)member->address);
  g_clear_pointer (&member->payload, g_bytes_unref);
  g_clear_pointer (&member->state, g_bytes_unref);
}

static void
record_free (gpointer data)
{
  MemberRecord *record = data;

  clear_member (&record->member);
  g_free (record);
}

static void
copy_member (Member *to, const Member *from)
{
  *to = *from;
  to->node = g_strdup (from->node);
  to->hall = g_strdup (from->hall);
  to->address = g_strdup (from->address);
  to->payload = from->payload ? g_bytes_ref (from->payload) : NULL;
  to->state = from->state ? g_bytes_ref (from->state) : NULL;
}

MembersTable *
members_table_create (void)
{
  MembersTable *table = g_new0 (MembersTable, 1);

  table->records = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, record_free);
  table->by_id = g_hash_table_new (NULL, NULL);
  return table;
}

void
members_table_destroy (MembersTable *table)
{
  g_hash_table_unref (table->by_id);
  g_hash_table_unref (table->records);
  g_free (table);
}

MemberRecord *
members_table_find (const MembersTable *table, const char *node)
{
  return node ? g_hash_table_lookup (table->records, node) : NULL;
}

guint32
members_id (const char *node)
{
  return g_str_hash (node);
}

MemberRecord *
members_table_find_delta (const MembersTable *table, const MemberDelta *delta)
{
  MemberRecord *record = g_hash_table_lookup (table->by_id, GUINT_TO_POINTER (delta->id));

  if (!record || (guint32)record->member.incarnation != delta->incarnation)
    return NULL;
  return record;
}

/* The finalizer of MurmurHash3 (public domain): every bit of x affects the result. */
static guint64
mix (guint64 x)
{
  x ^= x >> 33;
  x *= G_GUINT64_CONSTANT (0xff51afd7ed558ccd);
  x ^= x >> 33;
  x *= G_GUINT64_CONSTANT (0xc4ceb9fe1a85ec53);
  return x ^ x >> 33;
}

static guint64
hash_of (const Member *member)
{
  guint64 hash = mix (g_str_hash (member->node));

  /* Nodes drop dead members at different times; views that differ only by them count as
     equal. */
  if (!members_is_alive (member))
    return 0;
  hash = mix (hash ^ member->incarnation);
  hash = mix (hash ^ ((guint64)member->epoch << 32 | member->serial));
  return mix (hash ^ (guint64)member->status);
}

void
members_table_rehash (MembersTable *table, MemberRecord *record)
{
  table->buckets[record->bucket] ^= record->hash;
  record->hash = hash_of (&record->member);
  table->buckets[record->bucket] ^= record->hash;
}

MemberRecord *
members_table_put (MembersTable *table, const Member *member)
{
  MemberRecord *record = g_new0 (MemberRecord, 1);

  copy_member (&record->member, member);
  record->bucket = g_str_hash (member->node) % MEMBERS_BUCKETS;
  record->hash = hash_of (&record->member);
  table->buckets[record->bucket] ^= record->hash;
  g_hash_table_insert (table->records, (char *)record->member.node, record);
  g_hash_table_insert (table->by_id, GUINT_TO_POINTER (members_id (record->member.node)),
                       record);
  return record;
}

void
members_table_update (MembersTable *table, MemberRecord *record, const Member *member)
{
  Member old = record->member;

  copy_member (&record->member, member);
  /* The hash table's key is the name string of the record when it was inserted. */
  g_free ((char *)record->member.node);
  record->member.node = old.node;
  g_free ((char *)old.hall);
  g_free ((char *)old.address);
  g_clear_pointer (&old.payload, g_bytes_unref);
  g_clear_pointer (&old.state, g_bytes_unref);
  members_table_rehash (table, record);
}

void
members_table_remove (MembersTable *table, MemberRecord *record)
{
  guint32 id = members_id (record->member.node);

  table->buckets[record->bucket] ^= record->hash;
  if (g_hash_table_lookup (table->by_id, GUINT_TO_POINTER (id)) == record)
    g_hash_table_remove (table->by_id, GUINT_TO_POINTER (id));
  g_hash_table_remove (table->records, record->member.node);
}

void
members_table_names (const MembersTable *table, GPtrArray *names)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, table->records);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    g_ptr_array_add (names, g_strdup (key));
}

void
members_table_dead_addresses (const MembersTable *table, GPtrArray *addresses)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const MemberRecord *record = value;

      if (record->member.status == MEMBER_DEAD)
        g_ptr_array_add (addresses, (char *)record->member.address);
    }
}

gboolean
members_table_has_address (const MembersTable *table, const char *address)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (strcmp (((const MemberRecord *)value)->member.address, address) == 0)
      return TRUE;
  return FALSE;
}

static gint
compare_sends_left (gconstpointer a, gconstpointer b)
{
  const MemberRecord *x = *(MemberRecord *const *)a;
  const MemberRecord *y = *(MemberRecord *const *)b;

  if (x->sends_left != y->sends_left)
    return x->sends_left > y->sends_left ? -1 : 1;
  return strcmp (x->member.node, y->member.node);
}

void
members_table_pending (const MembersTable *table, GPtrArray *records)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((MemberRecord *)value)->sends_left > 0)
      g_ptr_array_add (records, value);
  g_ptr_array_sort (records, compare_sends_left);
}

void
members_table_buckets (const MembersTable *table, guint64 *buckets)
{
  memcpy (buckets, table->buckets, sizeof table->buckets);
}

void
members_table_all (const MembersTable *table, GPtrArray *members)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (members, &((MemberRecord *)value)->member);
}

void
members_table_bucket (const MembersTable *table, guint bucket, GPtrArray *members)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((MemberRecord *)value)->bucket == bucket)
      g_ptr_array_add (members, &((MemberRecord *)value)->member);
}

guint
members_table_alive (const MembersTable *table)
{
  GHashTableIter iter;
  gpointer value;
  guint alive = 0;

  g_hash_table_iter_init (&iter, table->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (members_is_alive (&((MemberRecord *)value)->member))
      alive++;
  return alive;
}
