/*
 * The platform's lagging list of VMs, the fallback for a planned departure that a node
 * was not told of itself: the watchers of a hall read it and tell the VMs that leave.
 * One that cannot be told cannot be given work either, for work goes the same way.
 */
#ifndef DAEMON_VM_LIST_H
#define DAEMON_VM_LIST_H

#include "node.h"

VmList *vm_list_create (Node *node);
void vm_list_destroy (VmList *list);

#endif
