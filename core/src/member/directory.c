#include <core/directory.h>

#include <string.h>

struct Directory
{
  GHashTable *by_vm;    /* vm → Target */
  GHashTable *services; /* vm → service name */
  GHashTable *targets;  /* service → GPtrArray of Target, borrowed from `by_vm` */
  gboolean changed;     /* since `targets` was built */
};

Directory *
directory_create (void)
{
  Directory *directory = g_new0 (Directory, 1);

  directory->by_vm = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                            (GDestroyNotify)target_free);
  directory->services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  directory->targets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                              (GDestroyNotify)g_ptr_array_unref);
  return directory;
}

void
directory_destroy (Directory *directory)
{
  if (!directory)
    return;
  g_hash_table_unref (directory->targets);
  g_hash_table_unref (directory->services);
  g_hash_table_unref (directory->by_vm);
  g_free (directory);
}

static gboolean
is_same (const Target *target, const char *service, const Registration *registration)
{
  return strcmp (target->name, registration->name) == 0 &&
         strcmp (service, registration->service) == 0 &&
         strcmp (target->address, registration->address) == 0 &&
         target->slots == registration->slots &&
         (target->state == TARGET_LEAVING) == registration->leaving;
}

static void
index_targets (Directory *directory)
{
  GHashTableIter iter;
  gpointer vm;
  gpointer target;

  directory->changed = FALSE;
  g_hash_table_remove_all (directory->targets);
  g_hash_table_iter_init (&iter, directory->by_vm);
  while (g_hash_table_iter_next (&iter, &vm, &target))
    {
      const char *service = g_hash_table_lookup (directory->services, vm);
      GPtrArray *list = g_hash_table_lookup (directory->targets, service);

      if (!list)
        {
          list = g_ptr_array_new ();
          g_hash_table_insert (directory->targets, g_strdup (service), list);
        }
      g_ptr_array_add (list, target);
    }
}

static Target *
target_from_registration (const char *vm,
                          const char *hall,
                          const Registration *registration)
{
  Target *target = g_new0 (Target, 1);

  target->name = g_strdup (registration->name);
  target->vm = g_strdup (vm);
  target->hall = g_strdup (hall);
  target->address = g_strdup (registration->address);
  target->slots = MAX (registration->slots, 1);
  target->connections = target->slots;
  target->state = registration->leaving ? TARGET_LEAVING : TARGET_SERVING;
  return target;
}

gboolean
directory_set (Directory *directory,
               const char *vm,
               const char *hall,
               const Registration *registration)
{
  const Target *held = g_hash_table_lookup (directory->by_vm, vm);

  if (!held && !registration)
    return FALSE;
  if (held && registration &&
      is_same (held, g_hash_table_lookup (directory->services, vm), registration))
    return FALSE;
  if (registration)
    {
      g_hash_table_insert (directory->services, g_strdup (vm),
                           g_strdup (registration->service));
      g_hash_table_insert (directory->by_vm, g_strdup (vm),
                           target_from_registration (vm, hall, registration));
    }
  else
    {
      g_hash_table_remove (directory->by_vm, vm);
      g_hash_table_remove (directory->services, vm);
    }
  directory->changed = TRUE;
  return TRUE;
}

GHashTable *
directory_targets (Directory *directory)
{
  /* Rebuilt here so that several registrations in a row cost one rebuild. */
  if (directory->changed)
    index_targets (directory);
  return directory->targets;
}
