/*
 * The client's output for people.
 */
#ifndef CLIENT_PRINT_H
#define CLIENT_PRINT_H

#include <json-glib/json-glib.h>

void print_plan (JsonObject *plan);
void print_status (JsonObject *status);
void print_services (JsonObject *status, const char *only);
void print_targets (JsonObject *status, const char *only);
void print_events (JsonArray *events);

/* The requests that targets have ended under, as a node knows them. */
void print_quarantine (JsonObject *answer);

/* Client accounts with their allowances, and what became of their requests at the node.
 */
void print_accounts (JsonObject *answer);

#endif
