#include "traffic.h"

#include "log.h"

/* One log line a minute is enough to tell a bad minute from the others. */
#define LOG_EVERY_US (60 * SECOND_US)
#define HALLS 2u

struct Traffic
{
  guint64 sent[HALLS][TRAFFIC_COUNT]; /* [0] within this hall, [1] to other halls */
  LoopTimer *timer;
};

static const char *const hall_names[HALLS] = { "own", "other" };

static const char *const kind_names[TRAFFIC_COUNT] = { "probes",    "rumours", "views",
                                                       "sessions",  "config",  "requests",
                                                       "refused",   "answers", "control",
                                                       "allowances" };

static void
on_timer (gpointer data)
{
  Traffic *traffic = data;

  traffic_log (traffic);
  loop_timer_start (traffic->timer, LOG_EVERY_US);
}

Traffic *
traffic_create (Loop *loop)
{
  Traffic *traffic = g_new0 (Traffic, 1);

  traffic->timer = loop_timer_create (loop, on_timer, traffic);
  loop_timer_start (traffic->timer, LOG_EVERY_US);
  return traffic;
}

void
traffic_destroy (Traffic *traffic)
{
  if (!traffic)
    return;
  loop_timer_destroy (traffic->timer);
  g_free (traffic);
}

void
traffic_add (Traffic *traffic, TrafficKind kind, gboolean own_hall, gsize bytes)
{
  traffic->sent[!own_hall][kind] += bytes;
}

void
traffic_recount (
    Traffic *traffic, TrafficKind from, TrafficKind to, gboolean own_hall, gsize bytes)
{
  traffic->sent[!own_hall][from] -= bytes;
  traffic->sent[!own_hall][to] += bytes;
}

static char *
kinds_text (const guint64 *sent)
{
  GString *text = g_string_new (NULL);

  for (guint kind = 0; kind < TRAFFIC_COUNT; kind++)
    g_string_append_printf (text, "%s%s=%" G_GUINT64_FORMAT, kind ? " " : "",
                            kind_names[kind], sent[kind]);
  return g_string_free (text, FALSE);
}

void
traffic_log (const Traffic *traffic)
{
  g_autofree char *own = kinds_text (traffic->sent[0]);
  g_autofree char *other = kinds_text (traffic->sent[1]);

  log_event (G_LOG_LEVEL_INFO, "bytes-sent", "OWN_HALL", own, "OTHER_HALLS", other, NULL);
}

void
traffic_append (const Traffic *traffic, GString *text)
{
  g_string_append (text, "# TYPE switchmill_node_sent_bytes_total counter\n");
  for (guint hall = 0; hall < HALLS; hall++)
    for (guint kind = 0; kind < TRAFFIC_COUNT; kind++)
      g_string_append_printf (text,
                              "switchmill_node_sent_bytes_total{hall=\"%s\",kind=\"%s\"} "
                              "%" G_GUINT64_FORMAT "\n",
                              hall_names[hall], kind_names[kind],
                              traffic->sent[hall][kind]);
}
