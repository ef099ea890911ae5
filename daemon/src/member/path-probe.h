/*
 * Probes broken paths. Until a node that did not answer calls has answered a ping, this
 * node sends it requests only if no other target is available, so that callers' requests
 * do not serve as probes.
 */
#ifndef DAEMON_PATH_PROBE_H
#define DAEMON_PATH_PROBE_H

#include "node.h"

/* node->peers reports nodes that do not answer, and so must be destroyed first. */
PathProbes *path_probes_create (Node *node);
void path_probes_destroy (PathProbes *probes);

/* Closes the path to a node that has not answered calls, and pings the node until it
   answers or the membership holds it dead. Does nothing if it is probed already. */
void path_probes_start (PathProbes *probes, const char *vm);

#endif
