#include "fleet-private.h"

void
fleet_start_platform (Fleet *fleet)
{
  g_autofree char *path = fleet_program (fleet->objects ? "standins/standin-store"
                                                        : "standins/standin-platform");
  g_autofree char *address = fleet_address ("platform", 0);
  char *words[] = { path, address, NULL };

  fleet->platform = fleet_spawn (fleet, "log", words);
  fleet_await_port (address, "/_stats");
}

void
fleet_start_target (Fleet *fleet, guint i, guint slots, guint latency_ms)
{
  g_autofree char *path = fleet_program ("standins/standin-target");
  g_autofree char *address = fleet_address ("targets", i);
  g_autofree char *slot_text = g_strdup_printf ("%u", slots);
  g_autofree char *latency = g_strdup_printf ("%u", latency_ms);
  g_autofree char *seed = g_strdup_printf ("%u", i + 1);
  g_autofree char *name = g_strdup_printf ("runs-%u", i);
  g_autofree char *runs = fleet_path (fleet, name);
  char *words[] = { path, address, slot_text, latency, seed, runs, NULL };

  fleet->targets[i] = fleet_spawn (fleet, "log", words);
  fleet_await_port (address, "/_runs");
}

/* Starts relay `i` to an address. */
static GPid
start_relay (Fleet *fleet, guint i, char *to)
{
  g_autofree char *path = fleet_program ("standins/standin-relay");
  g_autofree char *listen = fleet_address ("relays", i);
  g_autofree char *controls = fleet_address ("controls", i);
  char *words[] = { path, listen, to, controls, NULL };
  GPid pid = fleet_spawn (fleet, "log", words);

  fleet_await_port (controls, "/_control");
  return pid;
}

void
fleet_start_relay (Fleet *fleet, guint i)
{
  g_autofree char *to = fleet_address ("nodes", i);

  fleet->relays[i] = start_relay (fleet, i, to);
}

void
fleet_start_platform_relay (Fleet *fleet)
{
  g_autofree char *to = fleet_address ("platform", 0);

  fleet->platform_relay = start_relay (fleet, FLEET_PLATFORM_RELAY, to);
}

void
fleet_start_node (Fleet *fleet, guint i)
{
  g_autofree char *path = fleet_program ("daemon/switchmilld");
  g_autofree char *name = g_strdup_printf ("vm-%u.json", i);
  g_autofree char *settings = fleet_path (fleet, name);
  g_autofree char *address = fleet_address ("callers", i);
  char *words[] = { path, settings, NULL };

  fleet_write_settings (fleet, i, settings);
  fleet->node_pids[i] = fleet_spawn (fleet, "log", words);
  fleet_await_port (address, "/");
}

void
fleet_start (Fleet *fleet, guint slots, guint latency_ms)
{
  fleet_start_platform (fleet);
  for (guint i = 0; i < fleet->nodes; i++)
    {
      fleet_start_target (fleet, i, slots, latency_ms);
      fleet_start_node (fleet, i);
    }
  for (guint i = 0; i < fleet->nodes; i++)
    fleet_await (fleet, i, "$.ready", 1);
}
