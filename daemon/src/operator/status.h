/*
 * The node's view of itself, of targets and of members, as JSON for operators.
 */
#ifndef DAEMON_STATUS_H
#define DAEMON_STATUS_H

#include <io/http-server.h>

#include "node.h"

void status_answer (Node *node, HttpRequest *request);
void status_answer_events (Node *node, HttpRequest *request);

#endif
