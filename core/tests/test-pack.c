/* Tests of configuration parts that are compressed for the transfer between nodes. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#include <core/config.h>
#include <core/pack.h>

#define ROUTES 66u
#define TARGETS 12000u

/* Returns a shard of the size that it has with 4,200 routes in the configuration. */
static GBytes *
shard_text (void)
{
  GString *text = g_string_new ("{\"routes\":[");

  for (guint i = 0; i < ROUTES; i++)
    g_string_append_printf (text,
                            "%s{\"host\":\"shop.example\",\"prefix\":\"/more/%u/\","
                            "\"class\":\"r-%u\",\"service\":\"pay\",\"methods\":[\"*\"],"
                            "\"repeatable\":true,\"attempts\":2,\"deadline_ms\":3000}",
                            i ? "," : "", i * 7919u, i);
  g_string_append (text, "]}");
  return g_string_free_to_bytes (text);
}

/*
 * Guards against transfers that delay requests: adding 1,400 routes changes all 64
 * shards, and 700 KB went to each of 79 nodes over links of 10 Mbit/s, mostly from the
 * same few nodes. The texts are repetitive and must shrink to a fifth or less.
 */
static void
test_a_shard_packs_to_a_fifth (void **state)
{
  g_autoptr (GBytes) text = shard_text ();
  JsonFaults *faults = json_faults_create ();
  ConfigPart *part = config_part_parse ("routes/00", text, faults);
  GBytes *packed = config_part_packed (part);
  ConfigPart *opened = config_part_parse_packed ("routes/00", packed, faults);

  assert_true (5 * g_bytes_get_size (packed) <= g_bytes_get_size (text));
  assert_non_null (opened);
  assert_string_equal (config_part_digest (opened), config_part_digest (part));
  assert_true (g_bytes_equal (config_part_text (opened), text));
  config_part_unref (opened);
  config_part_unref (part);
  json_faults_destroy (faults);
}

static void
test_invalid_packed_data_is_a_fault (void **state)
{
  g_autoptr (GBytes) text = shard_text ();
  g_autoptr (GBytes) packed = pack_compress (text);
  g_autoptr (GBytes) cut =
      g_bytes_new_from_bytes (packed, 0, g_bytes_get_size (packed) / 2);
  JsonFaults *faults = json_faults_create ();

  assert_null (config_part_parse_packed ("routes/00", text, faults));
  assert_int_equal (json_faults_count (faults), 1);
  assert_null (config_part_parse_packed ("routes/00", cut, faults));
  assert_int_equal (json_faults_count (faults), 2);
  json_faults_destroy (faults);
}

/* A few bytes may unpack to more than a node's memory holds. */
static void
test_unpacking_is_bounded (void **state)
{
  static const char zeros[CONFIG_PART_MAX + 1];
  g_autoptr (GBytes) most = g_bytes_new_static (zeros, CONFIG_PART_MAX);
  g_autoptr (GBytes) more = g_bytes_new_static (zeros, CONFIG_PART_MAX + 1);
  g_autoptr (GBytes) packed_most = pack_compress (most);
  g_autoptr (GBytes) packed_more = pack_compress (more);
  g_autoptr (GBytes) opened = pack_decompress (packed_most, CONFIG_PART_MAX);

  assert_true (g_bytes_equal (opened, most));
  assert_null (pack_decompress (packed_more, CONFIG_PART_MAX));
}

/* Returns a part of the largest planned size, a service with all of its targets. */
static GBytes *
service_text (void)
{
  GString *text = g_string_new ("{\"name\":\"pay\",\"tenant\":\"default\",\"targets\":[");

  for (guint i = 0; i < TARGETS; i++)
    g_string_append_printf (text,
                            "%s{\"name\":\"pay-%u\",\"vm\":\"vm-%u\",\"hall\":\"hall-a\","
                            "\"address\":\"127.0.0.1:8080\",\"slots\":4}",
                            i ? "," : "", i, i);
  g_string_append (text, "]}");
  return g_string_free_to_bytes (text);
}

/* The others must accept each part that a node has in force and passes on, because a node
   does not fall back to the platform after a bad part from a peer. */
static void
test_the_largest_part_is_accepted_by_peers (void **state)
{
  g_autoptr (GBytes) text = service_text ();
  JsonFaults *faults = json_faults_create ();
  ConfigPart *part = config_part_parse ("service/pay", text, faults);
  ConfigPart *opened;

  assert_non_null (part);
  opened = config_part_parse_packed ("service/pay", config_part_packed (part), faults);
  print_message ("%" G_GSIZE_FORMAT " bytes, %" G_GSIZE_FORMAT " packed\n",
                 g_bytes_get_size (text), g_bytes_get_size (config_part_packed (part)));
  assert_non_null (opened);
  assert_string_equal (config_part_digest (opened), config_part_digest (part));
  config_part_unref (opened);
  config_part_unref (part);
  json_faults_destroy (faults);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_a_shard_packs_to_a_fifth),
    cmocka_unit_test (test_invalid_packed_data_is_a_fault),
    cmocka_unit_test (test_unpacking_is_bounded),
    cmocka_unit_test (test_the_largest_part_is_accepted_by_peers),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
