#include "balancer-private.h"

#include <string.h>

/* Minimum number of samples for a failure rate to count in the median. */
#define MEDIAN_SAMPLES_MIN 10u

static gint
compare_uints (gconstpointer a, gconstpointer b)
{
  guint x = *(const guint *)a;
  guint y = *(const guint *)b;

  return (x > y) - (x < y);
}

static guint
median (GArray *values)
{
  if (values->len == 0)
    return 0;
  g_array_sort (values, compare_uints);
  return g_array_index (values, guint, (values->len - 1) / 2);
}

guint
balancer_failures_ppm (Balancer *balancer, const Service *service)
{
  g_autoptr (GArray) failures = g_array_new (FALSE, FALSE, sizeof (guint));

  for (guint i = 0; i < service->targets->len; i++)
    {
      const Target *target = g_ptr_array_index (service->targets, i);
      const TargetView *view = balancer_view (balancer, target->name);

      if (view->known && view->report.samples >= MEDIAN_SAMPLES_MIN)
        g_array_append_val (failures, view->report.failures_ppm);
    }
  /* A single known target is either the one to be compared, or one other; then it is
     unclear which of the two is at fault. */
  return failures->len < 2 ? 0 : median (failures);
}

TargetStatus
balancer_status (Balancer *balancer, const Service *service, const Target *target)
{
  guint count = service->targets->len;
  g_autofree EjectItem *items = g_new0 (EjectItem, count + 1);
  const TargetView *view = balancer_view (balancer, target->name);
  const Path *path = balancer_path (balancer, target->vm);
  TargetStatus status = { view->report, view->known, !path->dead, FALSE, FALSE };

  status.path_open = path_usable (path, clock_now (balancer->clock));
  status.report.target = target->name;
  status.report.draining |=
      target_statements_is_leaving (balancer->statements, target->name);
  balancer_apply_ejections (balancer, service, items);
  for (guint i = 0; i < count; i++)
    if (strcmp (items[i].name, target->name) == 0)
      status.ejected = items[i].ejected;
  return status;
}

guint
balancer_slots_in_service (Balancer *balancer, const Service *service)
{
  g_autofree EjectItem *items = g_new0 (EjectItem, service->targets->len + 1);

  return balancer_apply_ejections (balancer, service, items);
}
