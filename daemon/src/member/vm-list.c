#include "vm-list.h"

#include <string.h>

#include <core/json-member.h>
#include <core/json-text.h>

#include "config-sync.h"
#include "peers.h"
#include "platform.h"
#include "sidecar.h"

#define READ_INTERVAL_US (3 * SECOND_US)
#define NOTIFY_TIMEOUT_US (2 * SECOND_US)

struct VmList
{
  Node *node;
  LoopTimer *timer;
  char *version; /* of the list read last; NULL to read any */
};

typedef struct
{
  VmList *list;
  char *vm;
} Notice;

static const RpcProcedure leave = { SW_LEAVE, wire_void, wire_void, sizeof (int) };

static void
notice_free (Notice *notice)
{
  g_free (notice->vm);
  g_free (notice);
}

/* After a failure the version is forgotten, so that the next read delivers the list again
   and the node is notified then. */
static void
on_notified (RpcOutcome outcome, void *result, gpointer data)
{
  Notice *notice = data;

  if (outcome != RPC_OK)
    g_clear_pointer (&notice->list->version, g_free);
  notice_free (notice);
}

static void
on_open (const PeerStamp *stamp, gpointer data)
{
  Notice *notice = data;

  if (stamp)
    peers_call (notice->list->node->peers, notice->vm, &leave, NULL, NOTIFY_TIMEOUT_US,
                on_notified, notice);
  else
    on_notified (RPC_UNSENT, NULL, notice);
}

static void
notify_vm (VmList *list, const char *vm)
{
  Node *node = list->node;
  const Member *member = members_find (node->members, vm);
  Notice *notice;

  if (!member || !members_is_alive (member) ||
      strcmp (member->hall, node->settings->hall) != 0)
    return;
  if (member == members_self (node->members))
    {
      sidecar_drain (node->sidecar);
      return;
    }
  notice = g_new0 (Notice, 1);
  notice->list = list;
  notice->vm = g_strdup (vm);
  peers_open (node->peers, vm, NOTIFY_TIMEOUT_US, on_open, notice);
}

static void
apply_list (VmList *list, const char *text, gsize len)
{
  g_autoptr (JsonNode) root = json_text_parse_parts (text, (gssize)len, NULL, NULL);
  JsonArray *array;

  if (!root || !JSON_NODE_HOLDS_ARRAY (root))
    return;
  array = json_node_get_array (root);
  for (guint i = 0; i < json_array_get_length (array); i++)
    {
      JsonObject *vm = json_element_object (array, i);

      if (strcmp (json_member_text (vm, "state", ""), "leaving") == 0)
        notify_vm (list, json_member_text (vm, "name", ""));
    }
}

static void
on_list (const PlatformResult *result, gpointer data)
{
  VmList *list = data;

  if (result->outcome != PLATFORM_OK)
    return;
  g_free (list->version);
  list->version = g_strdup (result->version);
  apply_list (list, (const char *)result->body->data, result->body->len);
}

static void
on_timer (gpointer data)
{
  VmList *list = data;

  loop_timer_start (list->timer, READ_INTERVAL_US);
  if (config_sync_is_watcher (list->node->config))
    platform_vms (list->node, list->version ? list->version : "", on_list, list);
}

VmList *
vm_list_create (Node *node)
{
  VmList *list = g_new0 (VmList, 1);

  list->node = node;
  list->timer = loop_timer_create (node->loop, on_timer, list);
  loop_timer_start (list->timer, READ_INTERVAL_US);
  return list;
}

void
vm_list_destroy (VmList *list)
{
  if (!list)
    return;
  loop_timer_destroy (list->timer);
  g_free (list->version);
  g_free (list);
}
