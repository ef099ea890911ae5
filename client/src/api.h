/*
 * HTTP calls to a node's operator API.
 */
#ifndef CLIENT_API_H
#define CLIENT_API_H

#include <glib.h>
#include <json-glib/json-glib.h>

typedef struct
{
  char *address; /* of a node's operator listener */
  char *token;
} Api;

/* The result of a call. `root` is NULL if the answer is not JSON. */
typedef struct
{
  long status; /* 0 if no answer arrived */
  char *text;
  JsonNode *root;
  char *error; /* why no answer arrived; else NULL */
} ApiResult;

/* Calls the API and waits for the answer, for a minute at most. `body` may be NULL. The
   caller frees the result. */
ApiResult *
api_call (const Api *api, const char *method, const char *path, const char *body);
void api_result_free (ApiResult *result);

#endif
