/*
 * The life of a node: made from its settings, run by the loop, stopped as planned.
 */
#ifndef DAEMON_NODE_RUN_H
#define DAEMON_NODE_RUN_H

#include "node.h"

typedef struct NodeRun NodeRun;

/* NULL, with `error` set, when an address cannot be bound. All arguments are borrowed. */
NodeRun *node_run_create (const Settings *settings,
                          const struct Adapter *adapter,
                          Clock *clock,
                          Loop *loop,
                          GError **error);
void node_run_destroy (NodeRun *run);

/*
 * A planned stop: nothing new is taken, what is in flight ends, then the loop quits; the
 * settings' time ends it at the latest. Calling it again changes nothing: a supervisor
 * that stops a node for two reasons must not cut what the first stop lets end.
 */
void node_run_stop (NodeRun *run);

/* For an operator at a terminal: the first call is a planned stop, the second ends it at
   once, and those whom it cuts are told. */
void node_run_hurry (NodeRun *run);

/*
 * Takes up what may change while the node runs: the log's threshold, and the defaults of
 * services, which hold from the next configuration on. `settings` is only looked at.
 */
void node_run_reload (NodeRun *run, const Settings *settings);

/* How many requests the stop has cut. */
guint node_run_cut (const NodeRun *run);

#endif
