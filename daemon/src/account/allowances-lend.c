#include "allowances-private.h"

#include "account-stats.h"
#include "config-sync.h"
#include "log.h"

static gboolean
is_own (const char *account, gpointer data)
{
  return allowance_fleet_share (data, account) > 0;
}

void
allowances_note_list (Allowances *allowances)
{
  allowance_fleet_note_list (allowances->fleet);
}

/* Drops the buckets of accounts that other nodes lend for now. Otherwise, when this node
   became their lender again, the buckets would have filled up with what the others have
   lent meanwhile. */
static void
prune (Allowances *allowances)
{
  allowance_buckets_prune (allowances->buckets, is_own, allowances->fleet);
}

void
allowances_refresh (Allowances *allowances)
{
  if (allowance_fleet_expire_list (allowances->fleet))
    prune (allowances);
}

/* A member that joins or leaves may change the lenders of any account. */
void
allowances_note_member (Allowances *allowances, const Member *member)
{
  if (allowance_fleet_note_member (allowances->fleet, member))
    prune (allowances);
}

/* Returns the account's limits from the newer configuration, this node's or the
   caller's. */
static AllowanceTerms
newest_terms (const Allowances *allowances, const sw_allow_args *args)
{
  const Snapshot *snapshot = config_sync_snapshot (allowances->node->config);
  const Account *account = snapshot_account (snapshot, args->account);
  AllowanceTerms asked = { args->per_s_milli / 1000.0, args->burst_milli / 1000.0 };

  if (args->generation > snapshot_generation (snapshot))
    return asked;
  if (!account)
    return asked;
  return (AllowanceTerms){ account->per_s, account->burst };
}

void
allowances_lend (Allowances *allowances, const sw_allow_args *args, sw_allow_res *res)
{
  AllowanceTerms terms = newest_terms (allowances, args);
  AllowanceGrant grant;
  double share;

  allowances_refresh (allowances);
  share = allowance_fleet_share (allowances->fleet, args->account);
  if (share <= 0)
    return;
  res->lender = TRUE;
  /* This node's configuration is newer than the caller's, and has removed the limit. */
  if (terms.per_s <= 0)
    {
      res->lent = args->wanted;
      return;
    }
  grant = allowance_buckets_lend (allowances->buckets, args->account, &terms, share,
                                  allowance_fleet_lends_since_us (allowances->fleet),
                                  args->wanted);
  res->lent = grant.lent;
  res->retry_after_ms = (u_int)(grant.retry_after_us / MS_US);
}

void
allowances_log (const Allowances *allowances,
                const ExchangeParams *order,
                const AllowanceVerdict *verdict)
{
  const Node *node = allowances->node;
  const Account *account = order->account;
  const Queue *queue = g_hash_table_lookup (allowances->queues, account->id);
  g_autofree char *per_s = g_strdup_printf ("%g", account->per_s);
  g_autofree char *burst = g_strdup_printf ("%g", account->burst);
  g_autofree char *rate =
      g_strdup_printf ("%.1f", allowance_cache_use_rate (allowances->cache, account->id));
  g_autofree char *retry =
      g_strdup_printf ("%" G_GINT64_FORMAT, verdict->retry_after_us / MS_US);
  g_autofree char *generation =
      g_strdup_printf ("%" G_GUINT64_FORMAT, snapshot_generation (order->snapshot));
  g_autofree char *age = NULL;

  if (queue && queue->answered_us > 0)
    age = g_strdup_printf ("%" G_GINT64_FORMAT,
                           (clock_now (node->clock) - queue->answered_us) / MS_US);
  metrics_add (node->metrics, METRIC_ALLOWANCE_REFUSED, 1);
  account_stats_note (node->account_stats, account->id,
                      verdict->outcome == ALLOWANCE_EXCEEDED ? ACCOUNT_EXCEEDED
                                                             : ACCOUNT_ALLOWANCE_UNKNOWN,
                      clock_now (node->clock) -
                          http_request_received_us (order->request));
  log_event (G_LOG_LEVEL_INFO, "allowance-refused", "ID", order->id, "ACCOUNT",
             account->id, "OUTCOME",
             verdict->outcome == ALLOWANCE_EXCEEDED ? "exceeded" : "unknown", "PER_S",
             per_s, "BURST", burst, "LET_HERE_PER_S", rate, "LENDER",
             queue ? queue->lender : NULL, "ANSWER_AGE_MS", age, "RETRY_AFTER_MS", retry,
             "GENERATION", generation, NULL);
}
