/*
 * Targets that registered themselves, as published by the nodes. The node on a target's
 * VM is the authority for it; other nodes get the registration by gossip.
 */
#ifndef CORE_DIRECTORY_H
#define CORE_DIRECTORY_H

#include <core/config.h>

typedef struct Directory Directory;

/* A target as published by the node on its VM. directory_set copies the strings. */
typedef struct
{
  const char *name; /* names this start of the target; a restart has a new one */
  const char *service;
  const char *address; /* where it serves HTTP; "" at other nodes */
  guint slots;
  gboolean leaving;
} Registration;

Directory *directory_create (void);
void directory_destroy (Directory *directory);

/*
 * Replaces the registration of the target on `vm` in `hall`; NULL removes it. Returns
 * TRUE when something changed.
 */
gboolean directory_set (Directory *directory,
                        const char *vm,
                        const char *hall,
                        const Registration *registration);

/* Returns an array of Target for each service name, for snapshot_with_targets. It is
   borrowed and valid until the next change. */
GHashTable *directory_targets (Directory *directory);

#endif
