/*
 * Answers operators' queries with this node's view of itself, targets and members, in
 * JSON.
 */
#ifndef DAEMON_STATUS_H
#define DAEMON_STATUS_H

#include <io/http-server.h>

#include "node.h"

void status_answer (Node *node, HttpRequest *request);
void status_answer_events (Node *node, HttpRequest *request);
/* Answers with the accounts that are counted here by name or, with the query argument
   "id", with that account and its number of keys. */
void status_answer_accounts (Node *node, HttpRequest *request);

/* Answers with the quarantine's entries: requests that were running when targets
   crashed. */
void status_answer_quarantine (Node *node, HttpRequest *request);

/* Returns all metrics of the node in the Prometheus text format; the caller frees the
   text. */
char *status_metrics_text (const Node *node);

#endif
