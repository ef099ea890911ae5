/*
 * Broken paths: a node that did not answer from here gets no work from here until it has
 * answered a ping. Requests are too good to find out with.
 */
#ifndef DAEMON_PATH_PROBE_H
#define DAEMON_PATH_PROBE_H

#include "node.h"

/* The node's peers tell it of nodes that do not answer: it outlives them. */
PathProbes *path_probes_create (Node *node);
void path_probes_destroy (PathProbes *probes);

/* Calls to a node went unanswered: closes the path there, and pings until it opens. */
void path_probes_begin (PathProbes *probes, const char *vm);

#endif
