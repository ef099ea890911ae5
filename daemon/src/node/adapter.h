/*
 * An adapter fits a node to one kind of deployment: where the configuration comes from,
 * how nodes find each other, and which HTTP dialect callers and targets speak.
 */
#ifndef DAEMON_ADAPTER_H
#define DAEMON_ADAPTER_H

#include "config-source.h"
#include "dialect.h"

/* Called once, possibly inside the call that saves. */
typedef void (*DeparturesSavedFunc) (gboolean saved, gpointer data);

typedef struct Adapter
{
  const ConfigSource *config;
  const Dialect *dialect;
  /* Starts the discovery of other nodes; NULL where the settings name enough of them. */
  gpointer (*discovery_create) (Node *node);
  void (*discovery_destroy) (gpointer discovery);
  /* Saves the announced ends of targets on this VM where they outlast all processes, and
     repeats a call that fails; `saved` may be NULL. A discovery that starts reads them
     and reports that with registry_note_told. NULL where the platform has no such place.
   */
  void (*save_departures) (gpointer discovery, DeparturesSavedFunc saved, gpointer data);
  /* Saves the end of a target on another VM in the same place, for the node there. NULL
     together with save_departures. */
  void (*save_departure_of) (gpointer discovery,
                             const char *vm,
                             const char *start,
                             DeparturesSavedFunc saved,
                             gpointer data);
  /* Starts following the platform's list of evacuated data halls; NULL where the platform
     has none. */
  gpointer (*halls_create) (Node *node);
  void (*halls_destroy) (gpointer halls);
  /* Completes the defaults of services by what the platform's contracts call for; NULL if
     they call for nothing. */
  void (*apply_contracts) (const char *const *contracts, ServiceDefaults *defaults);
  gboolean vm_list; /* the platform keeps a list of VMs */
} Adapter;

/* The adapter for this project's own object API and headers. */
extern const Adapter adapter_own;

#endif
