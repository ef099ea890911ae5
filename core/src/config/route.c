#include "model.h"

#include <string.h>

#include <core/names.h>

#define HOST_MAX 253
#define PREFIX_MAX 1024
#define DIGEST_LEN 64
#define DEADLINE_DEFAULT_MS 5000
#define DEADLINE_MIN_MS 10

static const char *const method_names[] = { "GET",    "HEAD",  "POST",    "PUT",
                                            "DELETE", "PATCH", "OPTIONS", NULL };

/* Methods that HTTP itself calls safe to repeat (RFC 9110, section 9.2.1). */
static const char *const safe_names[] = { "GET", "HEAD", "OPTIONS", NULL };

char *
route_key (const char *host, const char *prefix)
{
  return g_strconcat (host, " ", prefix, NULL);
}

int
route_compare (const Route *route, const char *host, const char *prefix)
{
  int order = strcmp (route->host, host);

  return order ? order : strcmp (route->prefix, prefix);
}

guint
route_method_bit (const char *name)
{
  for (guint i = 0; method_names[i]; i++)
    if (strcmp (method_names[i], name) == 0)
      return 1u << i;
  return 0;
}

static guint
read_methods (JsonView *view)
{
  guint count = json_view_array_length (view, "methods");
  guint bits = 0;

  for (guint i = 0; i < count; i++)
    {
      const char *name = json_view_array_string (view, "methods", i, NAME_MAX_LEN);

      if (!name)
        continue;
      if (!route_method_bit (name))
        json_faults_add (json_view_faults (view), json_view_path (view),
                         "\"%s\" is no method known here", name);
      bits |= route_method_bit (name);
    }
  if (bits)
    return bits;
  for (guint i = 0; safe_names[i]; i++)
    bits |= route_method_bit (safe_names[i]);
  return bits;
}

static gboolean
all_safe (guint methods)
{
  guint safe = 0;

  for (guint i = 0; safe_names[i]; i++)
    safe |= route_method_bit (safe_names[i]);
  return (methods & ~safe) == 0;
}

static gint
compare_routes (gconstpointer a, gconstpointer b)
{
  const Route *route = *(Route *const *)b;

  const Route *other = *(Route *const *)a;
  int order = route_compare (other, route->host, route->prefix);

  return order ? order
               : (other->methods > route->methods) - (other->methods < route->methods);
}

void
routes_sort (GPtrArray *routes)
{
  g_ptr_array_sort (routes, compare_routes);
}

/* "/pay/" is "/pay"; "/" stays. */
static void
trim_slash (char *prefix)
{
  gsize len = strlen (prefix);

  while (len > 1 && prefix[len - 1] == '/')
    prefix[--len] = '\0';
}

Route *
route_read (JsonView *view)
{
  Route *route = g_new0 (Route, 1);

  route->host = g_strdup (json_view_string (view, "host", HOST_MAX, ""));
  route->prefix = g_strdup (json_view_required (view, "prefix", PREFIX_MAX));
  route->service = g_strdup (names_required (view, "service"));
  route->class = g_strdup (json_view_string (view, "class", NAME_MAX_LEN, "default"));
  route->methods = read_methods (view);
  route->priority = (guint)json_view_int (view, "priority", 0, CONFIG_PRIORITIES - 1, 1);
  /* What nobody marked is taken as unrepeatable unless every method is safe. */
  route->repeatable = json_view_bool (view, "repeatable", all_safe (route->methods));
  route->account = json_view_bool (view, "account", FALSE);
  route->deadline_us = 1000 * json_view_int (view, "deadline_ms", DEADLINE_MIN_MS,
                                             CONFIG_DEADLINE_MAX_MS, DEADLINE_DEFAULT_MS);
  trim_slash (route->prefix);
  if (*route->prefix && *route->prefix != '/')
    json_faults_add (json_view_faults (view), json_view_path (view),
                     "the prefix must begin with '/'");
  if (!names_valid (route->class))
    json_faults_add (json_view_faults (view), json_view_path (view),
                     "the class must be a name");
  return route;
}

void
route_free (Route *route)
{
  if (!route)
    return;
  g_free (route->host);
  g_free (route->prefix);
  g_free (route->service);
  g_free (route->class);
  g_free (route);
}

void
route_write (const Route *route, JsonBuilder *builder)
{
  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "host");
  json_builder_add_string_value (builder, route->host);
  json_builder_set_member_name (builder, "prefix");
  json_builder_add_string_value (builder, route->prefix);
  json_builder_set_member_name (builder, "service");
  json_builder_add_string_value (builder, route->service);
  json_builder_set_member_name (builder, "class");
  json_builder_add_string_value (builder, route->class);
  json_builder_set_member_name (builder, "methods");
  json_builder_begin_array (builder);
  for (guint i = 0; method_names[i]; i++)
    if (route->methods & 1u << i)
      json_builder_add_string_value (builder, method_names[i]);
  json_builder_end_array (builder);
  json_builder_set_member_name (builder, "priority");
  json_builder_add_int_value (builder, route->priority);
  json_builder_set_member_name (builder, "repeatable");
  json_builder_add_boolean_value (builder, route->repeatable);
  json_builder_set_member_name (builder, "account");
  json_builder_add_boolean_value (builder, route->account);
  json_builder_set_member_name (builder, "deadline_ms");
  json_builder_add_int_value (builder, route->deadline_us / 1000);
  json_builder_end_object (builder);
}

Account *
account_read (JsonView *view)
{
  Account *account = g_new0 (Account, 1);

  account->id = g_strdup (names_required (view, "id"));
  account->tenant = g_strdup (names_required (view, "tenant"));
  account->key_sha256 = g_strdup (json_view_required (view, "key_sha256", DIGEST_LEN));
  if (strlen (account->key_sha256) != DIGEST_LEN ||
      strspn (account->key_sha256, "0123456789abcdef") != DIGEST_LEN)
    json_faults_add (json_view_faults (view), json_view_path (view),
                     "\"key_sha256\" must be 64 lower-case hexadecimal digits");
  return account;
}

void
account_free (Account *account)
{
  if (!account)
    return;
  g_free (account->id);
  g_free (account->tenant);
  g_free (account->key_sha256);
  g_free (account);
}

void
account_write (const Account *account, JsonBuilder *builder)
{
  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "id");
  json_builder_add_string_value (builder, account->id);
  json_builder_set_member_name (builder, "tenant");
  json_builder_add_string_value (builder, account->tenant);
  json_builder_set_member_name (builder, "key_sha256");
  json_builder_add_string_value (builder, account->key_sha256);
  json_builder_end_object (builder);
}

static gint
compare_accounts (gconstpointer a, gconstpointer b)
{
  return strcmp ((*(Account *const *)a)->id, (*(Account *const *)b)->id);
}

void
accounts_sort (GPtrArray *accounts)
{
  g_ptr_array_sort (accounts, compare_accounts);
}
