/* Tests which requests have the same fingerprint and which have different ones. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <core/fingerprint.h>

#include <string.h>

static const FingerprintInput plain = {
  "pay", "acme", "POST", "shop.example", "/pay/1?x=2", "body", sizeof "body" - 1
};

static Fingerprint
fingerprint_of (const char *secret, const FingerprintInput *words)
{
  FingerprintKey *key = fingerprint_key_create (secret);
  Fingerprints prints = fingerprint_all (key, words);

  fingerprint_key_destroy (key);
  return prints.of[0];
}

static void
assert_different (const FingerprintInput *words)
{
  Fingerprint a = fingerprint_of ("secret", &plain);
  Fingerprint b = fingerprint_of ("secret", words);

  assert_false (fingerprint_equal (&a, &b));
}

static void
test_equal_requests_have_equal_fingerprints (void **state)
{
  Fingerprint a = fingerprint_of ("secret", &plain);
  Fingerprint b = fingerprint_of ("secret", &plain);

  assert_true (fingerprint_equal (&a, &b));
}

static void
test_each_field_changes_the_fingerprint (void **state)
{
  FingerprintInput words = plain;

  words.service = "read";
  assert_different (&words);
  words = plain;
  words.account = "other";
  assert_different (&words);
  words.account = NULL;
  assert_different (&words);
  words = plain;
  words.method = "PUT";
  assert_different (&words);
  words = plain;
  words.host = "other.example";
  assert_different (&words);
  words = plain;
  words.path = "/pay/1?x=3";
  assert_different (&words);
  words = plain;
  words.body = "Body";
  assert_different (&words);
  words.body_len = 0;
  assert_different (&words);
}

/* The fields "a" and "bc" give another fingerprint than "ab" and "c". */
static void
test_fields_are_delimited (void **state)
{
  FingerprintInput one = { .service = "a", .account = "bc" };
  FingerprintInput two = { .service = "ab", .account = "c" };
  Fingerprint a = fingerprint_of ("secret", &one);
  Fingerprint b = fingerprint_of ("secret", &two);

  assert_false (fingerprint_equal (&a, &b));
}

/* The fingerprint is keyed, so that nobody without the fleet's secret can search for two
   requests that collide. */
static void
test_another_secret_gives_another_fingerprint (void **state)
{
  Fingerprint a = fingerprint_of ("secret", &plain);
  Fingerprint b = fingerprint_of ("other", &plain);

  assert_false (fingerprint_equal (&a, &b));
  assert_int_not_equal (a.body, b.body);
}

/* The head leaves the body's bytes out, because the body is digested only for requests
   whose head is known. */
static void
test_the_head_leaves_the_body_out (void **state)
{
  FingerprintInput words = plain;
  Fingerprint a = fingerprint_of ("secret", &plain);
  Fingerprint b;

  words.body = "ydob";
  b = fingerprint_of ("secret", &words);
  assert_int_equal (a.head, b.head);
  assert_int_not_equal (a.body, b.body);
}

/* A request with a query has two fingerprints. The second is that of the path alone,
   which is equal for every query. A request without a query has only that one. */
static void
test_the_path_alone_has_a_fingerprint (void **state)
{
  FingerprintKey *key = fingerprint_key_create ("secret");
  FingerprintInput words = plain;
  Fingerprints one = fingerprint_all (key, &plain);
  Fingerprints two;

  words.path = "/pay/1?x=3";
  two = fingerprint_all (key, &words);
  assert_int_equal (one.count, 2);
  assert_false (fingerprint_equal (&one.of[0], &two.of[0]));
  assert_true (fingerprint_equal (&one.of[1], &two.of[1]));
  words.path = "/pay/1";
  two = fingerprint_all (key, &words);
  assert_int_equal (two.count, 1);
  assert_true (fingerprint_equal (&one.of[1], &two.of[0]));
  fingerprint_key_destroy (key);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_equal_requests_have_equal_fingerprints),
    cmocka_unit_test (test_each_field_changes_the_fingerprint),
    cmocka_unit_test (test_fields_are_delimited),
    cmocka_unit_test (test_another_secret_gives_another_fingerprint),
    cmocka_unit_test (test_the_head_leaves_the_body_out),
    cmocka_unit_test (test_the_path_alone_has_a_fingerprint),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
