/*
 * What makes a node fit one kind of deployment: where its configuration comes from, how
 * its members find each other, and which HTTP dialect callers and targets speak.
 */
#ifndef DAEMON_ADAPTER_H
#define DAEMON_ADAPTER_H

#include "config-source.h"
#include "dialect.h"

typedef struct Adapter
{
  const ConfigSource *config;
  const Dialect *dialect;
  /* Starts what finds other nodes; NULL where settings name enough of them. */
  gpointer (*discovery_create) (Node *node);
  void (*discovery_destroy) (gpointer discovery);
  /* Follows what the platform says of evacuated data halls; NULL where it says nothing.
   */
  gpointer (*halls_create) (Node *node);
  void (*halls_destroy) (gpointer halls);
  gboolean vm_list; /* the platform keeps a list of VMs */
} Adapter;

/* This project's own object API and headers. */
extern const Adapter adapter_own;

#endif
