#include "fleet-private.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <sys/wait.h>

static void
control (const char *address, const char *query)
{
  g_autofree char *path = g_strconcat ("/_control?", query, NULL);
  g_autoptr (Answer) answer = fleet_http (address, "GET", path, NULL, NULL);

  assert_int_equal (answer->status, 200);
}

void
fleet_control_target (Fleet *fleet, guint i, const char *query)
{
  g_autofree char *address = fleet_address ("targets", i);

  control (address, query);
}

void
fleet_control_platform (Fleet *fleet, const char *query)
{
  g_autofree char *address = fleet_address ("platform", 0);

  control (address, query);
}

void
fleet_control_relay (Fleet *fleet, guint i, const char *query)
{
  g_autofree char *address = fleet_address ("controls", i);

  control (address, query);
}

void
fleet_control_platform_relay (Fleet *fleet, const char *query)
{
  fleet_control_relay (fleet, FLEET_PLATFORM_RELAY, query);
}

guint
fleet_runs (Fleet *fleet, guint target, const char *id)
{
  g_autofree char *address = fleet_address ("targets", target);
  g_autofree char *path = g_strconcat ("/_runs?id=", id, NULL);
  g_autoptr (Answer) answer = fleet_http (address, "GET", path, NULL, NULL);

  return (guint)g_ascii_strtoull (answer->body, NULL, 10);
}

guint
fleet_connections (Fleet *fleet, guint target)
{
  g_autofree char *address = fleet_address ("targets", target);
  g_autoptr (Answer) answer = fleet_http (address, "GET", "/_connections", NULL, NULL);

  return (guint)g_ascii_strtoull (answer->body, NULL, 10) - 1;
}

char *
fleet_ids (Fleet *fleet, guint target)
{
  g_autofree char *address = fleet_address ("targets", target);
  g_autoptr (Answer) answer = fleet_http (address, "GET", "/_ids", NULL, NULL);

  return g_steal_pointer (&answer->body);
}

GPid
fleet_start_load (Fleet *fleet, guint nodes, const char *extra)
{
  g_autofree char *path = fleet_program ("standins/standin-load");
  GPtrArray *words = g_ptr_array_new_with_free_func (g_free);
  g_auto (GStrv) more = g_strsplit (extra, " ", -1);
  GPid pid;

  g_ptr_array_add (words, g_strdup (path));
  for (guint i = 0; i < fleet->nodes; i++)
    {
      if (!(nodes & 1u << i))
        continue;
      g_ptr_array_add (words, g_strdup ("-u"));
      g_ptr_array_add (words, fleet_address ("callers", i));
    }
  for (guint i = 0; more[i]; i++)
    g_ptr_array_add (words, g_strdup (more[i]));
  g_ptr_array_add (words, NULL);
  pid = fleet_spawn (fleet, "load", (char **)words->pdata);
  g_ptr_array_unref (words);
  return pid;
}

int
fleet_wait_load (Fleet *fleet, GPid pid)
{
  g_autofree char *path = fleet_path (fleet, "load");
  g_autofree char *text = NULL;
  int status = 0;

  waitpid (pid, &status, 0);
  if (g_file_get_contents (path, &text, NULL, NULL))
    print_message ("%s", text);
  return WIFEXITED (status) ? WEXITSTATUS (status) : -1;
}
