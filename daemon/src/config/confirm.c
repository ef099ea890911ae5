#include "confirm.h"

#include <string.h>

#include "config-sync.h"
#include "platform.h"

/* Failed platform calls after which a confirmation gives up. */
#define TRIES_MAX 4u
#define CONFIRM_RETRY_US (200 * MS_US)

typedef struct
{
  Node *node;
  Plan *plan;
  ConfirmDone done;
  gpointer data;
  LoopTimer *timer;
  void (*next) (gpointer data); /* called by the timer */
  guint part;                   /* index of the next part to write */
  guint tries;
  char *version; /* of the head that the plan is based on */
} Confirm;

static void read_head (gpointer data);
static void write_part (gpointer data);

static void
finish (Confirm *confirm, ConfirmOutcome outcome)
{
  guint64 generation = plan_head (confirm->plan)->generation;

  if (outcome == CONFIRM_ACCEPTED)
    config_sync_poll (confirm->node->config);
  confirm->done (outcome, generation, confirm->data);
  loop_timer_destroy (confirm->timer);
  plan_destroy (confirm->plan);
  g_free (confirm->version);
  g_free (confirm);
}

static void
on_timer (gpointer data)
{
  Confirm *confirm = data;

  confirm->next (confirm);
}

/* Calls `next` after a pause, or gives up after TRIES_MAX failures. */
static void
schedule_retry (Confirm *confirm, void (*next) (gpointer data))
{
  if (++confirm->tries >= TRIES_MAX)
    {
      finish (confirm, CONFIRM_UNKNOWN);
      return;
    }
  confirm->next = next;
  loop_timer_start (confirm->timer, CONFIRM_RETRY_US);
}

static void
on_head_written (const PlatformResult *result, gpointer data)
{
  Confirm *confirm = data;

  if (result->outcome == PLATFORM_OK)
    {
      finish (confirm, CONFIRM_ACCEPTED);
      return;
    }
  /*
   * A write may take effect although its answer is lost. Repeating it then conflicts with
   * its own result, so that only the head shows whether the plan was accepted.
   */
  if (result->outcome == PLATFORM_CONFLICT)
    read_head (confirm);
  else
    schedule_retry (confirm, read_head);
}

static void
write_head (Confirm *confirm)
{
  g_autofree char *text = config_head_text (plan_head (confirm->plan));

  platform_put (confirm->node, CONFIG_HEAD_KEY, confirm->version, text, strlen (text),
                on_head_written, confirm);
}

/* Compares the head in the store (NULL if it is missing) with the plan: ends the
   confirmation if the head names the plan or is of another generation than the plan's
   base, else writes the parts. */
static void
check_head (Confirm *confirm, const ConfigHead *head, const char *version)
{
  guint64 generation = head ? head->generation : 0;

  if (head && config_head_has_plan (head, plan_id (confirm->plan)))
    {
      finish (confirm, CONFIRM_ACCEPTED);
      return;
    }
  if (generation != plan_base_generation (confirm->plan))
    {
      finish (confirm, CONFIRM_STALE);
      return;
    }
  g_free (confirm->version);
  confirm->version = g_strdup (head ? version : "");
  write_part (confirm);
}

static void
on_head_read (const PlatformResult *result, gpointer data)
{
  Confirm *confirm = data;
  JsonFaults *faults;
  ConfigHead *head;

  if (result->outcome == PLATFORM_MISSING)
    {
      check_head (confirm, NULL, "");
      return;
    }
  if (result->outcome != PLATFORM_OK)
    {
      schedule_retry (confirm, read_head);
      return;
    }
  faults = json_faults_create ();
  head = config_head_parse ((const char *)result->body->data, result->body->len, faults);
  json_faults_destroy (faults);
  if (head)
    check_head (confirm, head, result->version);
  else
    finish (confirm, CONFIRM_UNKNOWN);
  config_head_destroy (head);
}

static void
read_head (gpointer data)
{
  Confirm *confirm = data;

  platform_get (confirm->node, CONFIG_HEAD_KEY, on_head_read, confirm);
}

static void
on_part_written (const PlatformResult *result, gpointer data)
{
  Confirm *confirm = data;

  /* A part that exists already has the same content, because its key is its digest. */
  if (result->outcome == PLATFORM_OK || result->outcome == PLATFORM_CONFLICT)
    {
      confirm->part++;
      write_part (confirm);
      return;
    }
  schedule_retry (confirm, write_part);
}

static void
write_part (gpointer data)
{
  Confirm *confirm = data;
  const GPtrArray *parts = plan_parts (confirm->plan);
  g_autofree char *key = NULL;
  const ConfigPart *part;
  const void *text;
  gsize len;

  if (confirm->part >= parts->len)
    {
      write_head (confirm);
      return;
    }
  part = g_ptr_array_index (parts, confirm->part);
  key = g_strconcat (CONFIG_PART_KEY, config_part_digest (part), NULL);
  text = g_bytes_get_data (config_part_text (part), &len);
  platform_put (confirm->node, key, "", text, len, on_part_written, confirm);
}

void
confirm_start (Node *node, Plan *plan, ConfirmDone done, gpointer data)
{
  Confirm *confirm = g_new0 (Confirm, 1);

  confirm->node = node;
  confirm->plan = plan;
  confirm->done = done;
  confirm->data = data;
  confirm->version = g_strdup ("");
  confirm->timer = loop_timer_create (node->loop, on_timer, confirm);
  read_head (confirm);
}
