/*
 * Measures the processor time of a watcher that reads the operator's configuration from
 * the store, the first time and again after one route has changed. Prints milliseconds.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <stored-reading.h>

#define ROUTES_DEFAULT 17000u
#define SERVICES 500u
#define CHANGES 5u

static const ServiceDefaults defaults = { .retry_ratio = 0.2,
                                          .retry_burst = 56,
                                          .floor_share = 0.7,
                                          .detection = DETECTION_STRICT,
                                          .queue = 16 };

/* Returns an answer in the format of the users' store. The last route's time-out depends
   on the version. */
static GBytes *
create_store_answer (guint routes, guint version)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (text,
                          "{\"items\":[{\"metadata\":{\"name\":\"main\",\"revision\":%u},"
                          "\"specification\":{\"version\":%u,\"routes\":[",
                          version, version);
  for (guint i = 0; i < routes; i++)
    g_string_append_printf (
        text,
        "%s{\"name\":\"r-%u\",\"host\":\"h%u.example\",\"prefix\":\"/p%u/\",\"kind\":"
        "\"%s\",\"timeout_ms\":%u,\"objective_ms\":1200,\"priority\":%u,\"service\":"
        "\"s%u\",\"attempts\":2,\"allow_anonymous\":false}",
        i ? "," : "", i, i % 97, i, i % 3 ? "safe" : "unsafe",
        i + 1 == routes ? 2000 + version : 2500, i % 4, i % SERVICES);
  g_string_append (text, "],\"services\":[");
  for (guint i = 0; i < SERVICES; i++)
    g_string_append_printf (text,
                            "%s{\"name\":\"s%u\",\"health_check_path\":\"/health\","
                            "\"connection_limit\":1590}",
                            i ? "," : "", i);
  g_string_append_printf (text,
                          "],\"limits\":{\"max_header_bytes\":16384}}}],\"more_pages\":"
                          "false,\"current_rev\":%u}",
                          version);
  return g_string_free_to_bytes (text);
}

static double
read_ms (guint routes, guint version)
{
  g_autoptr (GBytes) body = create_store_answer (routes, version);
  StoreRawAnswer raw = { STORE_OK, 1, body };
  StoredReading *reading =
      stored_reading_create (STORED_LISTED, &raw, &defaults, version - 1);
  double ms;

  stored_reading_run (reading);
  if (stored_reading_result (reading)->outcome != CONFIG_READ_HEAD)
    g_error ("reading the generated configuration failed");
  ms = (double)stored_reading_cpu_us (reading) / 1000;
  stored_reading_destroy (reading);
  return ms;
}

int
main (int argc, char **argv)
{
  guint routes = argc > 1 ? (guint)atoi (argv[1]) : ROUTES_DEFAULT;
  double again = 0;

  printf ("{\"first_ms\":%.1f,", read_ms (routes, 1));
  for (guint i = 0; i < CHANGES; i++)
    again += read_ms (routes, i + 2) / CHANGES;
  printf ("\"again_ms\":%.1f}\n", again);
  return 0;
}
