#include "quarantine-node.h"

#include <core/json-write.h>

#include "log.h"
#include "quarantine-wire.h"

struct QuarantineNode
{
  Node *node;
  Quarantine *list;
  QuarantineNotifyFunc notify_func; /* may be NULL */
  gpointer notify_data;
  GHashTable *behind; /* set of names of members whose list differs from this node's */
};

/* Logs each request that is quarantined or released. */
static void
on_changed (const QuarantineEntry *entry, gpointer data)
{
  QuarantineNode *quarantine = data;
  g_autofree char *request = fingerprint_text (&entry->request);
  g_autofree char *ends = g_strdup_printf ("%u", entry->end_count);
  gint64 now = clock_now (quarantine->node->clock);
  g_autofree char *age =
      g_strdup_printf ("%" G_GINT64_FORMAT, now - MAX (entry->last_end_us, 0));

  if (entry->held_us)
    metrics_add (quarantine->node->metrics, METRIC_QUARANTINED, 1);
  log_event (G_LOG_LEVEL_WARNING, entry->held_us ? "quarantined" : "quarantine-over",
             "REQUEST", request, "ENDS", ends, "LAST_END_AGE_US",
             entry->last_end_us ? age : NULL, NULL);
}

QuarantineNode *
quarantine_node_create (Node *node)
{
  QuarantineNode *quarantine = g_new0 (QuarantineNode, 1);

  quarantine->node = node;
  quarantine->list = quarantine_create (node->clock);
  quarantine->behind = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  quarantine_set_changed (quarantine->list, on_changed, quarantine);
  return quarantine;
}

void
quarantine_node_destroy (QuarantineNode *quarantine)
{
  if (!quarantine)
    return;
  quarantine_destroy (quarantine->list);
  g_hash_table_unref (quarantine->behind);
  g_free (quarantine);
}

void
quarantine_node_set_notify (QuarantineNode *quarantine,
                            QuarantineNotifyFunc func,
                            gpointer data)
{
  quarantine->notify_func = func;
  quarantine->notify_data = data;
}

gboolean
quarantine_node_watches (const QuarantineNode *quarantine, const char *service)
{
  return quarantine_entries (quarantine->list)->len > 0 &&
         quarantine_has_service (quarantine->list, quarantine_service_hash (service));
}

static gboolean
has_any_head (const Quarantine *list, const Fingerprints *prints)
{
  for (guint i = 0; i < prints->count; i++)
    if (quarantine_has_head (list, prints->of[i].head))
      return TRUE;
  return FALSE;
}

/* Returns whether the request may have an entry. If so, its fingerprints are complete
   afterwards. */
static gboolean
may_have_entry (const QuarantineNode *quarantine,
                RequestFingerprints *print,
                const FingerprintInput *words)
{
  const FingerprintKey *key = quarantine->node->fingerprints;

  if (print->prints.count == 0)
    print->prints = fingerprint_heads (key, words);
  if (!has_any_head (quarantine->list, &print->prints))
    return FALSE;
  if (!print->has_body)
    fingerprint_add_body (key, words, &print->prints);
  print->has_body = TRUE;
  return TRUE;
}

/* Asks for updates to be sent at once instead of with the next probe. */
static void
notify_updates (QuarantineNode *quarantine)
{
  if (quarantine->notify_func && quarantine_urgency (quarantine->list))
    quarantine->notify_func (quarantine->notify_data);
}

QuarantineVerdict
quarantine_node_check (QuarantineNode *quarantine,
                       RequestFingerprints *print,
                       const FingerprintInput *words)
{
  QuarantineVerdict worst = { QUARANTINE_FREE, 0 };

  if (!may_have_entry (quarantine, print, words))
    return worst;
  for (guint i = 0; i < print->prints.count; i++)
    {
      QuarantineVerdict verdict =
          quarantine_check (quarantine->list, &print->prints.of[i]);

      if (verdict.state > worst.state)
        print->worst = i;
      worst.state = MAX (worst.state, verdict.state);
      worst.retry_after_us = MAX (worst.retry_after_us, verdict.retry_after_us);
    }
  notify_updates (quarantine);
  return worst;
}

static gboolean
begin_trial (QuarantineNode *quarantine, const Fingerprints *prints)
{
  gboolean any = FALSE;

  for (guint i = 0; i < prints->count; i++)
    any |= quarantine_begin_trial (quarantine->list, &prints->of[i]);
  return any;
}

gboolean
quarantine_node_admits (QuarantineNode *quarantine,
                        RequestFingerprints *print,
                        const FingerprintInput *words,
                        gboolean offered,
                        gboolean *trial,
                        gint64 *retry_after_us)
{
  QuarantineVerdict verdict = quarantine_node_check (quarantine, print, words);

  *retry_after_us = verdict.retry_after_us;
  if (verdict.state < QUARANTINE_TRIAL)
    return TRUE;
  *trial = offered && verdict.state == QUARANTINE_TRIAL &&
           begin_trial (quarantine, &print->prints);
  notify_updates (quarantine);
  return *trial;
}

void
quarantine_node_note_answer (QuarantineNode *quarantine,
                             RequestFingerprints *print,
                             const FingerprintInput *words)
{
  if (!may_have_entry (quarantine, print, words))
    return;
  for (guint i = 0; i < print->prints.count; i++)
    {
      g_autofree char *request = fingerprint_text (&print->prints.of[i]);

      if (quarantine_note_answer (quarantine->list, &print->prints.of[i]))
        log_event (G_LOG_LEVEL_INFO, "quarantine-answer", "REQUEST", request, NULL);
    }
  notify_updates (quarantine);
}

void
quarantine_node_trial_undecided (QuarantineNode *quarantine, const Fingerprints *prints)
{
  for (guint i = 0; i < prints->count; i++)
    quarantine_trial_undecided (quarantine->list, &prints->of[i]);
  notify_updates (quarantine);
}

void
quarantine_node_note_end (QuarantineNode *quarantine,
                          const char *service,
                          const char *version,
                          const GArray *requests)
{
  quarantine_note_end (quarantine->list, g_rand_int (quarantine->node->rand),
                       quarantine_service_hash (service),
                       version ? quarantine_service_hash (version) : 0, requests);
  notify_updates (quarantine);
}

void
quarantine_node_note_version (QuarantineNode *quarantine,
                              const char *service,
                              const char *version)
{
  quarantine_note_version (quarantine->list, quarantine_service_hash (service),
                           quarantine_service_hash (version));
  notify_updates (quarantine);
}

void
quarantine_node_fill_gossip (QuarantineNode *quarantine,
                             const char *to,
                             sw_gossip *message)
{
  QuarantineUpdate updates[SW_QUARANTINE_MAX];
  gboolean all = to && g_hash_table_remove (quarantine->behind, to);
  guint count =
      all ? quarantine_next_part (quarantine->list, updates, SW_QUARANTINE_MAX)
          : quarantine_next_updates (quarantine->list, updates, SW_QUARANTINE_MAX);

  message->quarantine_digest = quarantine_digest (quarantine->list);
  message->quarantine.quarantine_val = g_new0 (sw_quarantine, count + 1);
  message->quarantine.quarantine_len = count;
  for (guint i = 0; i < count; i++)
    quarantine_wire_fill (&updates[i], &message->quarantine.quarantine_val[i]);
}

void
quarantine_node_clear_gossip (sw_gossip *message)
{
  for (guint i = 0; i < message->quarantine.quarantine_len; i++)
    g_free (message->quarantine.quarantine_val[i].ends.ends_val);
  g_free (message->quarantine.quarantine_val);
}

gboolean
quarantine_node_merge_gossip (QuarantineNode *quarantine, const sw_gossip *message)
{
  gboolean any = FALSE;

  for (guint i = 0; i < message->quarantine.quarantine_len; i++)
    {
      QuarantineUpdate update;

      if (quarantine_wire_read (&message->quarantine.quarantine_val[i], &update))
        any |= quarantine_merge (quarantine->list, &update);
    }
  if (any)
    metrics_add (quarantine->node->metrics, METRIC_QUARANTINE_NEWS, 1);
  /* A sender whose list differs gets a part of this node's list with the next message to
     it, which is the answer to this one if it was a probe. */
  if (message->quarantine_digest != quarantine_digest (quarantine->list))
    g_hash_table_add (quarantine->behind, g_strdup (message->from));
  else
    g_hash_table_remove (quarantine->behind, message->from);
  return any;
}

QuarantineUrgency
quarantine_node_urgency (const QuarantineNode *quarantine)
{
  return quarantine_urgency (quarantine->list);
}

void
quarantine_node_tick (QuarantineNode *quarantine)
{
  if (quarantine_entries (quarantine->list)->len == 0)
    return;
  quarantine_tick (quarantine->list);
  notify_updates (quarantine);
}

gboolean
quarantine_node_lift (QuarantineNode *quarantine, const char *digits)
{
  gboolean lifted = quarantine_lift (quarantine->list, digits);

  notify_updates (quarantine);
  return lifted;
}

guint
quarantine_node_held (const QuarantineNode *quarantine)
{
  const GArray *entries = quarantine_entries (quarantine->list);
  guint held = 0;

  for (guint i = 0; i < entries->len; i++)
    held += g_array_index (entries, QuarantineEntry, i).held_us != 0;
  return held;
}

static const char *
state_name (const QuarantineEntry *entry)
{
  if (entry->held_us)
    return "held";
  return entry->end_count > 0 ? "suspect" : "cleared";
}

static void
write_entry (const QuarantineEntry *entry, gint64 now, JsonBuilder *builder)
{
  g_autofree char *request = fingerprint_text (&entry->request);

  json_builder_begin_object (builder);
  json_write_string (builder, "request", request);
  json_write_string (builder, "state", state_name (entry));
  json_write_int (builder, "ends", entry->end_count);
  json_write_int (builder, "trials", entry->trials);
  if (entry->last_end_us)
    json_write_int (builder, "last_end_age_ms", (now - entry->last_end_us) / MS_US);
  if (entry->held_us)
    {
      json_write_int (builder, "held_ms", (now - entry->held_us) / MS_US);
      json_write_int (builder, "next_trial_ms", MAX (entry->due_us - now, 0) / MS_US);
    }
  json_builder_end_object (builder);
}

void
quarantine_node_write (const QuarantineNode *quarantine, JsonBuilder *builder)
{
  const GArray *entries = quarantine_entries (quarantine->list);
  gint64 now = clock_now (quarantine->node->clock);

  json_builder_begin_array (builder);
  for (guint i = 0; i < entries->len; i++)
    write_entry (&g_array_index (entries, QuarantineEntry, i), now, builder);
  json_builder_end_array (builder);
}
