/*
 * The client's output for people, from the node's JSON answers.
 */
#ifndef CLIENT_PRINT_H
#define CLIENT_PRINT_H

#include <json-glib/json-glib.h>

void print_plan (JsonObject *plan);
void print_status (JsonObject *status);
/* `only` names the only service to print, here and in print_targets; NULL prints all. */
void print_services (JsonObject *status, const char *only);
void print_targets (JsonObject *status, const char *only);
void print_events (JsonArray *events);

/* Prints the requests under which targets have crashed, as known to a node. */
void print_quarantine (JsonObject *answer);

/* Prints client accounts with their allowances and the outcomes of their requests at the
   node. */
void print_accounts (JsonObject *answer);

#endif
