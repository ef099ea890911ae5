/*
 * `switchmill account LOG...`: what became of the requests in the logs of many nodes, and
 * why, by class and by spans of time.
 */
#ifndef CLIENT_ACCOUNT_H
#define CLIENT_ACCOUNT_H

#include <json-glib/json-glib.h>

typedef struct RequestAccount RequestAccount;

/* Requests are counted in spans of so many seconds by when they began; 0 for one span. */
RequestAccount *request_account_create (guint span_s);
void request_account_destroy (RequestAccount *account);

/* Takes a line of a log in; lines may come in any order, and some may be missing. */
void request_account_add (RequestAccount *account, const char *line, gssize len);

/* Requests whose last line was found. */
guint request_account_requests (const RequestAccount *account);
/* Lines that were cut or are no JSON. */
guint request_account_bad_lines (const RequestAccount *account);
/* Lines that nodes left out because there were too many, by their own count. */
guint64 request_account_omitted_lines (const RequestAccount *account);

/* As tables for people; the caller frees it. */
char *request_account_text (RequestAccount *account);
/* As one object for programs; the caller unrefs it. */
JsonNode *request_account_json (RequestAccount *account);

#endif
