/*
 * The node's view of itself, of targets and of members, as JSON for operators.
 */
#ifndef DAEMON_STATUS_H
#define DAEMON_STATUS_H

#include <io/http-server.h>

#include "node.h"

void status_answer (Node *node, HttpRequest *request);
void status_answer_events (Node *node, HttpRequest *request);
/* The accounts that are busy here, or the one that "id" names, with its number of keys.
 */
void status_answer_accounts (Node *node, HttpRequest *request);

/* The requests that targets have ended under. */
void status_answer_quarantine (Node *node, HttpRequest *request);

/* All counters of the node in the usual text exposition; the caller frees it. */
char *status_metrics_text (const Node *node);

#endif
