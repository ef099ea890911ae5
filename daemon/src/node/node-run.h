/*
 * The life cycle of a node: created from its settings, run by the loop, and stopped.
 */
#ifndef DAEMON_NODE_RUN_H
#define DAEMON_NODE_RUN_H

#include "node.h"

typedef struct NodeRun NodeRun;

/* Returns NULL and sets `error` if an address cannot be bound. All arguments are borrowed
   for the lifetime of the node. */
NodeRun *node_run_create (const Settings *settings,
                          const struct Adapter *adapter,
                          Clock *clock,
                          Loop *loop,
                          GError **error);
void node_run_destroy (NodeRun *run);

/*
 * Starts a planned stop: after the settings' `linger_us` the node accepts no new
 * requests, those in flight finish, and the loop quits, `stop_us` after the call at the
 * latest. Another call changes nothing: a supervisor that stops a node for two reasons
 * must not abort requests that the first stop lets finish.
 */
void node_run_stop (NodeRun *run);

/* For an operator at a terminal: the first call starts a planned stop, the second ends it
   at once and answers the requests that it aborts. */
void node_run_interrupt (NodeRun *run);

/*
 * Applies the settings that may change while the node runs: the log threshold, and the
 * service defaults, which take effect with the next configuration. `settings` is not
 * kept.
 */
void node_run_reload (NodeRun *run, const Settings *settings);

/* Returns the number of requests that the stop has aborted. */
guint node_run_aborted (const NodeRun *run);

#endif
