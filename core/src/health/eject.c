#include <core/eject.h>

#include <string.h>

/* Returns the worst sick item that has not been considered yet, or NULL. */
static EjectItem *
next_worst (EjectItem *items, guint count, const gboolean *seen)
{
  EjectItem *found = NULL;

  for (guint i = 0; i < count; i++)
    {
      EjectItem *item = &items[i];

      if (seen[i] || !item->available || item->severity == 0)
        continue;
      if (!found || item->severity > found->severity ||
          (item->severity == found->severity && strcmp (item->name, found->name) < 0))
        found = item;
    }
  return found;
}

guint
eject_apply (EjectItem *items, guint count, guint floor_slots)
{
  gboolean *seen = g_new0 (gboolean, count + 1);
  guint stay = 0;
  EjectItem *item;

  for (guint i = 0; i < count; i++)
    {
      items[i].ejected = FALSE;
      if (items[i].available)
        stay += items[i].slots;
    }
  while ((item = next_worst (items, count, seen)))
    {
      seen[item - items] = TRUE;
      if (stay < item->slots || stay - item->slots < MAX (floor_slots, 1))
        continue; /* even without a floor one target remains: any answer beats none */
      item->ejected = TRUE;
      stay -= item->slots;
    }
  g_free (seen);
  return stay;
}
