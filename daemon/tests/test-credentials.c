/* Parsing of access keys in callers' requests: accepted and rejected forms. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <string.h>

#include <io/http-types.h>

#include "credentials.h"

#define KEY "a828m82thhkmgjqnirth"
#define LONG_KEY (8 * 1024)

static Credentials
read_one (const char *name, const char *value, guint8 digest[CONFIG_KEY_DIGEST_LEN])
{
  g_autoptr (GArray) headers = http_headers_new ();

  http_headers_add (headers, "Host", "shop.example");
  http_headers_add (headers, name, value);
  return credentials_read (headers, digest);
}

static void
test_a_key_is_known_by_its_digest (void **state)
{
  static const char *const good[] = { "Bearer " KEY, "bearer " KEY, "BEARER   " KEY,
                                      "Bearer " KEY "  " };
  guint8 expected[CONFIG_KEY_DIGEST_LEN];
  guint8 digest[CONFIG_KEY_DIGEST_LEN];
  gsize size = sizeof expected;
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);

  g_checksum_update (sum, (const guchar *)KEY, -1);
  g_checksum_get_digest (sum, expected, &size);
  g_checksum_free (sum);
  for (gsize i = 0; i < G_N_ELEMENTS (good); i++)
    {
      assert_int_equal (read_one ("authorization", good[i], digest), CREDENTIALS_KEY);
      assert_memory_equal (digest, expected, sizeof expected);
    }
}

static void
test_malformed_keys_are_rejected (void **state)
{
  static const char *const bad[] = {
    "",           "Bearer", "Bearer ",     "Bearer    ",   "Bearer\t" KEY,
    "Basic " KEY, KEY,      "Bearer:" KEY, "Bearers " KEY,
  };
  guint8 digest[CONFIG_KEY_DIGEST_LEN];

  for (gsize i = 0; i < G_N_ELEMENTS (bad); i++)
    assert_int_equal (read_one ("Authorization", bad[i], digest), CREDENTIALS_BAD);
  assert_int_equal (read_one ("X-Authorization", "Bearer " KEY, digest),
                    CREDENTIALS_NONE);
  assert_int_equal (read_one ("Authorization_", "Bearer " KEY, digest), CREDENTIALS_NONE);
}

static void
test_a_key_that_is_too_long_is_not_digested (void **state)
{
  g_autoptr (GString) value = g_string_new ("Bearer ");
  guint8 digest[CONFIG_KEY_DIGEST_LEN];

  for (guint i = 0; i < LONG_KEY; i++)
    g_string_append_c (value, 'k');
  assert_int_equal (read_one ("Authorization", value->str, digest), CREDENTIALS_BAD);
}

static void
test_two_keys_are_rejected (void **state)
{
  g_autoptr (GArray) headers = http_headers_new ();
  guint8 digest[CONFIG_KEY_DIGEST_LEN];

  http_headers_add (headers, "Authorization", "Bearer " KEY);
  http_headers_add (headers, "AUTHORIZATION", "Bearer " KEY);
  assert_int_equal (credentials_read (headers, digest), CREDENTIALS_BAD);
}

static void
test_non_text_bytes_are_accepted_in_a_key (void **state)
{
  guint8 one[CONFIG_KEY_DIGEST_LEN];
  guint8 other[CONFIG_KEY_DIGEST_LEN];

  assert_int_equal (read_one ("Authorization", "Bearer \x01\x7f\xff", one),
                    CREDENTIALS_KEY);
  assert_int_equal (read_one ("Authorization", "Bearer \x01\x7f\xfe", other),
                    CREDENTIALS_KEY);
  assert_memory_not_equal (one, other, sizeof one);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_a_key_is_known_by_its_digest),
    cmocka_unit_test (test_malformed_keys_are_rejected),
    cmocka_unit_test (test_a_key_that_is_too_long_is_not_digested),
    cmocka_unit_test (test_two_keys_are_rejected),
    cmocka_unit_test (test_non_text_bytes_are_accepted_in_a_key),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
