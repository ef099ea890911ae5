#include "config-source.h"

#include "config-sync.h"
#include "platform.h"

typedef struct
{
  Node *node;
  char *version;       /* of the head read last; "" before the first read */
  PlatformCall *watch; /* in progress, or NULL */
  gpointer watched;    /* its Read */
} Source;

typedef struct
{
  Source *source;
  ConfigReadDone done;
  gpointer data;
} Read;

typedef struct
{
  ConfigPartDone done;
  gpointer data;
} PartRead;

static gpointer
create (Node *node)
{
  Source *source = g_new0 (Source, 1);

  source->node = node;
  source->version = g_strdup ("");
  return source;
}

static void
destroy (gpointer data)
{
  Source *source = data;

  g_free (source->version);
  g_free (source);
}

static ConfigReadOutcome
outcome_of (PlatformOutcome outcome)
{
  switch (outcome)
    {
    case PLATFORM_OK:
      return CONFIG_READ_HEAD;
    case PLATFORM_MISSING:
      return CONFIG_READ_NONE;
    case PLATFORM_UNCHANGED:
      return CONFIG_READ_UNCHANGED;
    default:
      return CONFIG_READ_FAILED;
    }
}

static void
on_head (const PlatformResult *result, gpointer data)
{
  Read *read = data;
  ConfigReading reading = { .outcome = outcome_of (result->outcome) };

  if (read == read->source->watched)
    {
      read->source->watch = NULL;
      read->source->watched = NULL;
    }
  if (reading.outcome == CONFIG_READ_HEAD)
    {
      g_free (read->source->version);
      read->source->version = g_strdup (result->version);
      reading.head = (const char *)result->body->data;
      reading.head_len = result->body->len;
    }
  read->done (&reading, read->data);
  g_free (read);
}

static Read *
read_create (Source *source, ConfigReadDone done, gpointer data)
{
  Read *read = g_new0 (Read, 1);

  read->source = source;
  read->done = done;
  read->data = data;
  return read;
}

static void
read_head (gpointer data, ConfigReadDone done, gpointer user)
{
  Source *source = data;

  platform_get (source->node, CONFIG_HEAD_KEY, on_head, read_create (source, done, user));
}

static void
watch_head (gpointer data, const WatchTimes *times, ConfigReadDone done, gpointer user)
{
  Source *source = data;

  source->watched = read_create (source, done, user);
  source->watch = platform_watch (source->node, CONFIG_HEAD_KEY, source->version,
                                  times->wait_us, on_head, source->watched);
}

static gboolean
unwatch_head (gpointer data)
{
  Source *source = data;

  if (!source->watch)
    return FALSE;
  platform_call_cancel (source->watch);
  source->watch = NULL;
  g_clear_pointer (&source->watched, g_free);
  return TRUE;
}

static void
on_part (const PlatformResult *result, gpointer data)
{
  PartRead *read = data;
  g_autoptr (GBytes) text = NULL;

  if (result->outcome == PLATFORM_OK)
    text = g_bytes_new (result->body->data, result->body->len);
  read->done (text, read->data);
  g_free (read);
}

static void
read_part (gpointer data, const char *digest, ConfigPartDone done, gpointer user)
{
  Source *source = data;
  g_autofree char *key = g_strconcat (CONFIG_PART_KEY, digest, NULL);
  PartRead *read = g_new0 (PartRead, 1);

  read->done = done;
  read->data = user;
  platform_get (source->node, key, on_part, read);
}

const ConfigSource config_source_own = {
  .create = create,
  .destroy = destroy,
  .read = read_head,
  .watch = watch_head,
  .unwatch = unwatch_head,
  .part = read_part,
  .watch_most_us = PLATFORM_WATCH_MOST_US,
  .serves_empty = TRUE,
};
