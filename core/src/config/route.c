#include "model.h"

#include <string.h>

#include <core/names.h>
#include <core/json-write.h>

#define HOST_MAX 253
#define PREFIX_MAX 1024
#define DEADLINE_DEFAULT_MS 5000
#define DEADLINE_MIN_MS 10
#define ATTEMPTS_DEFAULT 3
#define ATTEMPTS_MAX 16
#define WEIGHT_MAX 1000000
/* In the list of a route's methods: all methods, including those not in method_names. */
#define METHOD_ANY "*"
/* Shared by all methods that are not in method_names; only METHOD_ANY includes it. */
#define METHOD_BIT_OTHER (1u << 31)

static const char *const method_names[] = { "GET",    "HEAD",  "POST",    "PUT",
                                            "DELETE", "PATCH", "OPTIONS", NULL };

/* Safe methods (RFC 9110, section 9.2.1), which may be repeated. */
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
  return METHOD_BIT_OTHER;
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
      if (strcmp (name, METHOD_ANY) == 0)
        return ROUTE_METHODS_ANY;
      if (route_method_bit (name) == METHOD_BIT_OTHER)
        json_faults_add (json_view_faults (view), json_view_path (view),
                         "method \"%s\" is not supported", name);
      bits |= route_method_bit (name);
    }
  if (bits)
    return bits;
  for (guint i = 0; safe_names[i]; i++)
    bits |= route_method_bit (safe_names[i]);
  return bits;
}

static gboolean
methods_are_safe (guint methods)
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

/* Removes trailing slashes: "/pay/" becomes "/pay"; "/" is kept. */
static void
trim_slash (char *prefix)
{
  gsize len = strlen (prefix);

  while (len > 1 && prefix[len - 1] == '/')
    prefix[--len] = '\0';
}

static void
clear_share (gpointer data)
{
  g_free (((RouteShare *)data)->service);
}

/* Reads "split", a list of services with weights, or "service" if there is no split. */
static void
read_split (Route *route, JsonView *view)
{
  guint count = json_view_array_length (view, "split");

  for (guint i = 0; i < count; i++)
    {
      JsonView *item = json_view_array_object (view, "split", i);
      RouteShare share = { 0 };

      if (!item)
        continue;
      share.service = g_strdup (names_required (item, "service"));
      share.weight = (guint)json_view_int (item, "weight", 0, WEIGHT_MAX, 1);
      g_array_append_val (route->split, share);
      json_view_close (item);
    }
  if (count > 0)
    route->service = g_strdup (g_array_index (route->split, RouteShare, 0).service);
  else
    route->service = g_strdup (names_required (view, "service"));
}

Route *
route_read (JsonView *view)
{
  Route *route = g_new0 (Route, 1);

  route->split = g_array_new (FALSE, FALSE, sizeof (RouteShare));
  g_array_set_clear_func (route->split, clear_share);

  route->host = g_strdup (json_view_string (view, "host", HOST_MAX, ""));
  route->prefix = g_strdup (json_view_required (view, "prefix", PREFIX_MAX));
  read_split (route, view);
  route->class = g_strdup (json_view_string (view, "class", NAME_MAX_LEN, "default"));
  route->methods = read_methods (view);
  route->priority = (guint)json_view_int (view, "priority", 0, CONFIG_PRIORITIES - 1, 1);
  /* Without "repeatable", a route is repeatable only if all its methods are safe. */
  route->repeatable =
      json_view_bool (view, "repeatable", methods_are_safe (route->methods));
  route->account = json_view_bool (view, "account", FALSE);
  route->deadline_us = 1000 * json_view_int (view, "deadline_ms", DEADLINE_MIN_MS,
                                             CONFIG_DEADLINE_MAX_MS, DEADLINE_DEFAULT_MS);
  route->objective_us =
      1000 * json_view_int (view, "objective_ms", 0, CONFIG_DEADLINE_MAX_MS, 0);
  route->attempts =
      (guint)json_view_int (view, "attempts", 1, ATTEMPTS_MAX, ATTEMPTS_DEFAULT);
  trim_slash (route->prefix);
  if (*route->prefix && *route->prefix != '/')
    json_faults_add (json_view_faults (view), json_view_path (view),
                     "\"prefix\" must begin with '/'");
  if (!names_valid (route->class))
    json_faults_add (json_view_faults (view), json_view_path (view),
                     "\"class\" must be a valid name");
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
  g_array_unref (route->split);
  g_free (route);
}

static void
write_services (const Route *route, GString *text)
{
  if (route->split->len == 0)
    {
      json_put_string (text, "service", route->service);
      return;
    }
  json_put_key (text, "split");
  g_string_append_c (text, '[');
  for (guint i = 0; i < route->split->len; i++)
    {
      const RouteShare *share = &g_array_index (route->split, RouteShare, i);

      g_string_append (text, i ? ",{" : "{");
      json_put_string (text, "service", share->service);
      json_put_int (text, "weight", share->weight);
      g_string_append_c (text, '}');
    }
  g_string_append_c (text, ']');
}

static void
write_methods (const Route *route, GString *text)
{
  json_put_key (text, "methods");
  g_string_append_c (text, '[');
  if (route->methods == ROUTE_METHODS_ANY)
    json_put_element (text, METHOD_ANY);
  else
    for (guint i = 0; method_names[i]; i++)
      if (route->methods & 1u << i)
        json_put_element (text, method_names[i]);
  g_string_append_c (text, ']');
}

void
route_write (const Route *route, GString *text)
{
  g_string_append_c (text, '{');
  json_put_string (text, "host", route->host);
  json_put_string (text, "prefix", route->prefix);
  write_services (route, text);
  json_put_string (text, "class", route->class);
  write_methods (route, text);
  json_put_int (text, "priority", route->priority);
  json_put_bool (text, "repeatable", route->repeatable);
  json_put_bool (text, "account", route->account);
  json_put_int (text, "attempts", route->attempts);
  json_put_int (text, "deadline_ms", route->deadline_us / 1000);
  if (route->objective_us > 0)
    json_put_int (text, "objective_ms", route->objective_us / 1000);
  g_string_append_c (text, '}');
}

Route *
route_copy (const Route *route)
{
  Route *copy = g_memdup2 (route, sizeof *route);

  copy->host = g_strdup (route->host);
  copy->prefix = g_strdup (route->prefix);
  trim_slash (copy->prefix);
  copy->service = g_strdup (route->service);
  copy->class = g_strdup (route->class);
  copy->split = g_array_sized_new (FALSE, FALSE, sizeof (RouteShare), route->split->len);
  g_array_set_clear_func (copy->split, clear_share);
  for (guint i = 0; i < route->split->len; i++)
    {
      RouteShare share = g_array_index (route->split, RouteShare, i);

      share.service = g_strdup (share.service);
      g_array_append_val (copy->split, share);
    }
  return copy;
}
