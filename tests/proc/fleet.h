/*
 * A small fleet of real processes for the process tests: one platform, targets, nodes
 * and relays on loopback. Only this harness starts processes; the product's never do.
 */
#ifndef TESTS_FLEET_H
#define TESTS_FLEET_H

#include <glib.h>

#define FLEET_NODES_MAX 64
/* Of the operator that every node knows. */
#define FLEET_TOKEN "process-test-operator"

typedef struct Fleet Fleet;

/* One HTTP answer; status 0 for none. */
typedef struct
{
  long status;
  char *outcome;
  char *retry_after;
  char *ticket;
  char *connection; /* the header, "" for none */
  char *body;
} Answer;

/* `nodes` nodes, each with a target (slots, latency) beside it; nothing runs yet. */
Fleet *fleet_create (guint nodes);
/* Ends what is left by SIGKILL and removes the files. */
void fleet_destroy (Fleet *fleet);

guint fleet_nodes (const Fleet *fleet);

/* The users' platform: the store's stand-in, nodes beside targets that register. */
void fleet_use_objects (Fleet *fleet);
/* From their next start on nodes of that kind are told that the platform says which data
   halls are evacuated: those that watch it then watch two kinds of object. */
void fleet_use_evacuations (Fleet *fleet);
/* From here on nodes of that kind are told that their whole fleet starts for the first
   time. */
void fleet_set_first_start (Fleet *fleet, gboolean first_start);
/* How long nodes of that kind linger after SIGTERM; they have four times that to end. */
void fleet_set_linger (Fleet *fleet, guint linger_ms);

/* A cmocka teardown: ends the fleet of a test that failed before its end. */
int fleet_teardown (void **state);

/* Nodes (bits) that have no way to the platform from their next start on. */
void fleet_hide_platform (Fleet *fleet, guint64 nodes);

void fleet_start_platform (Fleet *fleet);
void fleet_start_target (Fleet *fleet, guint i, guint slots, guint latency_ms);
void fleet_start_node (Fleet *fleet, guint i);
/* Lets the others reach node `i` through a relay; before the node is started. */
void fleet_start_relay (Fleet *fleet, guint i);
/* Platform, all targets and nodes; waits until every node is ready. */
void fleet_start (Fleet *fleet, guint slots, guint latency_ms);

void fleet_signal_node (Fleet *fleet, guint i, int signal);
void fleet_kill_target (Fleet *fleet, guint i);
void fleet_signal_target (Fleet *fleet, guint i, int signal);
/* Whether a target's process has ended by itself; it may be started again then. */
gboolean fleet_target_ended (Fleet *fleet, guint i);
/* Whether a node's process has ended; then *code is as fleet_wait_node says. */
gboolean fleet_node_ended (Fleet *fleet, guint i, int *code);
/* Leaves the folder with logs and settings when the fleet is destroyed. */
void fleet_keep_files (Fleet *fleet);
/* Waits for a node to end; its exit code, or -1 for a signal. */
int fleet_wait_node (Fleet *fleet, guint i);

/* Any HTTP call; `headers` are lines, NULL-terminated, or NULL. The caller frees it. */
Answer *fleet_http (const char *address,
                    const char *method,
                    const char *path,
                    const char *const *headers,
                    const char *body);

/* Calls: "GET" and so on; NULL body for none. The caller frees the answer. */
Answer *fleet_call (Fleet *fleet,
                    guint node,
                    const char *method,
                    const char *path,
                    const char *id,
                    const char *body);
/* The same with a ticket (or "new"). */
Answer *fleet_call_ticket (Fleet *fleet,
                           guint node,
                           const char *path,
                           const char *id,
                           const char *ticket,
                           const char *body);
Answer *fleet_operate (
    Fleet *fleet, guint node, const char *method, const char *path, const char *body);
void answer_free (Answer *answer);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (Answer, answer_free)

/* Stand-ins' controls: the query, as "answer=silent". */
void fleet_control_target (Fleet *fleet, guint i, const char *query);
void fleet_control_platform (Fleet *fleet, const char *query);
void fleet_control_relay (Fleet *fleet, guint i, const char *query);

/* How often a target ran a request, and all that it ran as "ID COUNT" lines. */
guint fleet_runs (Fleet *fleet, guint target, const char *id);
char *fleet_ids (Fleet *fleet, guint target);

/* One service "pay" on all nodes' targets, with POST /pay and GET /read. */
char *fleet_intent (Fleet *fleet, guint slots, guint floor, const char *extra);
/* Plans and confirms through a node; the status of the confirmation. */
long fleet_apply (Fleet *fleet, guint node, const char *intent, gboolean force);
/* The confirmation's body for an intent, by a plan made now. */
char *fleet_plan (Fleet *fleet, guint node, const char *intent, gboolean force);

/* A number out of a node's status, by a JSON path such as "$.generation"; -1 for none. */
gint64 fleet_status (Fleet *fleet, guint node, const char *path);
/* Waits until the number is at least that; fails the test after long enough. */
void fleet_await (Fleet *fleet, guint node, const char *path, gint64 at_least);

/* Starts the load tool on the nodes (bits) with more words, by spaces. */
GPid fleet_load (Fleet *fleet, guint nodes, const char *extra);
/* Waits for it and shows what it printed; its exit code. */
int fleet_join (Fleet *fleet, GPid pid);

/* Where something listens; FLEET_PORT_OFFSET in the environment is added to its port. */
char *fleet_address (const char *kind, guint i);

/* Now, on the clock of the nodes and stand-ins of this machine. */
gint64 fleet_now_us (void);

/* A path in the fleet's folder; the caller frees it. */
char *fleet_path (Fleet *fleet, const char *name);

#endif
