/*
 * The targets that have registered themselves: what each node says of the target beside
 * it. The node beside a target is the authority; all others hear of it by gossip.
 */
#ifndef CORE_DIRECTORY_H
#define CORE_DIRECTORY_H

#include <core/config.h>

typedef struct Directory Directory;

/* One target, as the node beside it tells. All texts are copied. */
typedef struct
{
  const char *name; /* of this start of the target; a restart brings a new one */
  const char *service;
  const char *address; /* where its HTTP is; "" at other nodes */
  guint slots;
  gboolean leaving;
} Registration;

Directory *directory_create (void);
void directory_destroy (Directory *directory);

/*
 * Replaces what is held of the target beside `vm` in `hall`; NULL when it has none.
 * TRUE when that changed anything.
 */
gboolean directory_set (Directory *directory,
                        const char *vm,
                        const char *hall,
                        const Registration *registration);

/* The targets by service, for snapshot_with_targets; borrowed until the next change. */
GHashTable *directory_targets (Directory *directory);

#endif
