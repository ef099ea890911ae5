/*
 * Measures the cost of client accounts at full size: the look-up of a request's key,
 * planning a change of one key compared with one route, and memory per account.
 */
#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include <core/clock.h>
#include <core/plan.h>

#define ACCOUNTS 44000u
#ifndef ROUTES
#define ROUTES 17000u
#endif
#define KEYS_EACH 2u
#define LOOKUPS 400000u
#define CHANGES 20u

static void
append_digest (GString *text, guint number)
{
  g_autofree char *key = g_strdup_printf ("key-of-%u", number);
  g_autofree char *digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, key, -1);

  g_string_append_printf (text, "\"%s\"", digest);
}

static char *
create_full_intent (void)
{
  GString *text = g_string_new ("{\"services\":[{\"name\":\"s\",\"tenant\":\"t\"}],"
                                "\"routes\":[");

  for (guint i = 0; i < ROUTES; i++)
    g_string_append_printf (text, "%s{\"prefix\":\"/r/%u\",\"service\":\"s\"}",
                            i ? "," : "", i);
  g_string_append (text, "],\"accounts\":[");
  for (guint i = 0; i < ACCOUNTS; i++)
    {
      g_string_append_printf (text,
                              "%s{\"id\":\"g%u\",\"per_s\":8,\"burst\":8,"
                              "\"keys_sha256\":[",
                              i ? "," : "", i);
      append_digest (text, KEYS_EACH * i);
      g_string_append_c (text, ',');
      append_digest (text, KEYS_EACH * i + 1);
      g_string_append (text, "]}");
    }
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

static Plan *
create_plan (const Snapshot *base, const char *intent)
{
  JsonFaults *faults = json_faults_create ();
  Plan *plan = plan_create (base, intent, -1, NULL, NULL, faults);

  if (!plan)
    g_error ("%s", json_faults_get (faults, 0));
  json_faults_destroy (faults);
  return plan;
}

static Snapshot *
snapshot_of (const Plan *plan)
{
  g_autoptr (GHashTable) parts = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < plan_parts (plan)->len; i++)
    {
      ConfigPart *part = g_ptr_array_index (plan_parts (plan), i);

      g_hash_table_insert (parts, (char *)config_part_digest (part), part);
    }
  return snapshot_create (plan_head (plan), parts);
}

/* Measures a look-up as in the ingress: digest of the key, shard, account. */
static double
lookup_us (const Snapshot *snapshot)
{
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  gint64 began = clock_thread_cpu ();
  guint found = 0;

  for (guint i = 0; i < LOOKUPS; i++)
    {
      guint8 digest[CONFIG_KEY_DIGEST_LEN];
      gsize size = sizeof digest;
      char key[32];

      g_snprintf (key, sizeof key, "key-of-%u", i * 7919u % (KEYS_EACH * ACCOUNTS));
      g_checksum_reset (sum);
      g_checksum_update (sum, (const guchar *)key, -1);
      g_checksum_get_digest (sum, digest, &size);
      found += snapshot_account_by_key (snapshot, digest) != NULL;
    }
  g_checksum_free (sum);
  g_assert (found == LOOKUPS);
  return (double)(clock_thread_cpu () - began) / LOOKUPS;
}

static double
change_ms (const Snapshot *base, gboolean key)
{
  gint64 began = clock_thread_cpu ();

  for (guint i = 0; i < CHANGES; i++)
    {
      g_autoptr (GString) text = g_string_new (NULL);

      if (key)
        {
          g_string_printf (text,
                           "{\"accounts\":[{\"id\":\"g%u\",\"per_s\":8,\"burst\":8,"
                           "\"keys_sha256\":[",
                           i);
          append_digest (text, 1000000 + i);
          g_string_append (text, "]}]}");
        }
      else
        g_string_printf (text,
                         "{\"routes\":[{\"prefix\":\"/r/%u\",\"service\":\"s\","
                         "\"class\":\"new\"}]}",
                         i);
      plan_destroy (create_plan (base, text->str));
    }
  return (double)(clock_thread_cpu () - began) / 1000 / CHANGES;
}

static gsize
allocated (void)
{
  return mallinfo2 ().uordblks + mallinfo2 ().hblkhd;
}

int
main (void)
{
  Snapshot *empty = snapshot_create_empty ();
  gsize before = allocated ();
  g_autofree char *intent = create_full_intent ();
  Plan *plan = create_plan (empty, intent);
  Snapshot *snapshot = snapshot_of (plan);
  double route;
  double key;
  gsize after;

  /* A node keeps the parts, but not the plan and the intent. */
  plan_destroy (plan);
  g_clear_pointer (&intent, g_free);
  after = allocated ();
  route = change_ms (snapshot, FALSE);
  key = change_ms (snapshot, TRUE);
  printf ("lookup-us %.3f\nplan-one-route-ms %.2f\nplan-one-key-ms %.2f\n"
          "key-over-route %.2f\nbytes-with-routes %.0f\n",
          lookup_us (snapshot), route, key, key / route,
          (double)(after - before) / ACCOUNTS);
  snapshot_unref (snapshot);
  snapshot_unref (empty);
  return 0;
}
