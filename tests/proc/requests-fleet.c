#include "requests-fleet.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <string.h>

Fleet *
requests_start (guint nodes, guint latency_ms)
{
  Fleet *fleet = fleet_create (nodes);
  g_autofree char *intent =
      fleet_intent (fleet, REQUESTS_SLOTS, nodes * REQUESTS_SLOTS, NULL);

  fleet_start (fleet, REQUESTS_SLOTS, latency_ms);
  assert_int_equal (fleet_apply (fleet, 0, intent, FALSE), 200);
  for (guint i = 0; i < nodes; i++)
    fleet_await (fleet, i, "$.generation", 1);
  return fleet;
}

void
requests_expect (Fleet *fleet,
                 const char *method,
                 const char *path,
                 const char *id,
                 const char *outcome,
                 const char *body_part)
{
  g_autoptr (Answer) answer =
      fleet_call (fleet, 0, method, path, id, method[0] == 'P' ? "fee=12" : NULL);

  if (strcmp (answer->outcome, outcome) != 0)
    fail_msg ("%s %s %s: %s (%ld %s)", method, path, id, answer->outcome, answer->status,
              answer->body);
  if (body_part && !strstr (answer->body, body_part))
    fail_msg ("%s: the answer belongs to another request: %s", id, answer->body);
  assert_null (strstr (answer->body, "STOLEN"));
}
