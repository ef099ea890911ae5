/*
 * What the files of a fleet share: fleet.c its life and where its parts listen,
 * fleet-process.c processes and signals, fleet-start.c the start of each part,
 * fleet-settings.c the nodes' settings, fleet-standins.c what the stand-ins are told and
 * tell, fleet-operator.c what an operator does, fleet-http.c calls.
 */
#ifndef TESTS_FLEET_PRIVATE_H
#define TESTS_FLEET_PRIVATE_H

#include "fleet.h"

#define FLEET_POLL_US 20000
/* A wait that never ends is a failure; how long it takes is not measured here. */
#define FLEET_WAIT_TRIES 3000

struct Fleet
{
  char *dir;
  guint nodes;
  gboolean objects; /* the users' platform */
  guint linger_ms;  /* of nodes there */
  gboolean first_start;
  gboolean evacuations;
  gboolean keep_files;
  guint64 hidden; /* nodes (bits) that start without a way to the platform */
  GPid platform;
  GPid targets[FLEET_NODES_MAX];
  GPid node_pids[FLEET_NODES_MAX];
  GPid relays[FLEET_NODES_MAX];
};

/* Where a program of the build lies; the caller frees it. */
char *fleet_program (const char *name);

/* Starts a process, whose output is added to a file of the fleet's folder. */
GPid fleet_spawn (Fleet *fleet, const char *log_name, char **words);
/* Ends it by SIGKILL, if there is one, and forgets it. */
void fleet_end (GPid *pid);

/* Waits until something answers HTTP there; fails the test after long enough. */
void fleet_await_port (const char *address, const char *path);

/* Writes the settings of node `i`. */
void fleet_write_settings (Fleet *fleet, guint i, const char *path);

#endif
