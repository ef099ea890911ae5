/* Counts of bytes sent to other nodes, by kind and by hall, and their metrics. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "traffic.h"

typedef struct
{
  Clock *clock;
  Loop *loop;
  Traffic *traffic;
} Fixture;

static Fixture
setup (void)
{
  Fixture fixture = { .clock = clock_create_manual (SECOND_US) };

  fixture.loop = loop_create (fixture.clock);
  fixture.traffic = traffic_create (fixture.loop);
  return fixture;
}

static void
teardown (Fixture *fixture)
{
  traffic_destroy (fixture->traffic);
  loop_destroy (fixture->loop);
  clock_destroy (fixture->clock);
}

static void
assert_exposed (const Traffic *traffic, const char *hall, const char *kind, guint bytes)
{
  g_autoptr (GString) text = g_string_new (NULL);
  g_autofree char *line =
      g_strdup_printf ("switchmill_node_sent_bytes_total{hall=\"%s\",kind=\"%s\"} %u\n",
                       hall, kind, bytes);

  traffic_append (traffic, text);
  assert_non_null (strstr (text->str, line));
}

static void
test_bytes_are_counted_by_kind_and_hall (void **state)
{
  Fixture fixture = setup ();

  traffic_add (fixture.traffic, TRAFFIC_RUMOURS, TRUE, 100);
  traffic_add (fixture.traffic, TRAFFIC_RUMOURS, FALSE, 30);
  traffic_add (fixture.traffic, TRAFFIC_RUMOURS, FALSE, 12);
  traffic_add (fixture.traffic, TRAFFIC_CONTROL, FALSE, 5);
  assert_exposed (fixture.traffic, "own", "rumours", 100);
  assert_exposed (fixture.traffic, "other", "rumours", 42);
  assert_exposed (fixture.traffic, "other", "control", 5);
  assert_exposed (fixture.traffic, "own", "control", 0);
  teardown (&fixture);
}

/* Bytes of a request count as requests until its refusal arrives. */
static void
test_bytes_can_be_moved_to_another_kind (void **state)
{
  Fixture fixture = setup ();

  traffic_add (fixture.traffic, TRAFFIC_REQUESTS, FALSE, 1500);
  traffic_recount (fixture.traffic, TRAFFIC_REQUESTS, TRAFFIC_REFUSED, FALSE, 1200);
  assert_exposed (fixture.traffic, "other", "requests", 300);
  assert_exposed (fixture.traffic, "other", "refused", 1200);
  assert_exposed (fixture.traffic, "own", "refused", 0);
  teardown (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_bytes_are_counted_by_kind_and_hall),
    cmocka_unit_test (test_bytes_can_be_moved_to_another_kind),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
