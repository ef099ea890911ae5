/*
 * Reads the platform's lagging list of VMs, as a fallback for planned departures that
 * a node was not notified of directly. The watchers of a hall read the list and
 * notify the nodes whose VMs are leaving. A node that cannot be notified cannot be given
 * work either, because work takes the same path.
 */
#ifndef DAEMON_VM_LIST_H
#define DAEMON_VM_LIST_H

#include "node.h"

VmList *vm_list_create (Node *node);
void vm_list_destroy (VmList *list);

#endif
