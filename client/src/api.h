/*
 * Calls to a node's operator API.
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

/* One call's result; `root` is NULL when the answer is no JSON. */
typedef struct
{
  long status; /* 0 when no answer came */
  char *text;
  JsonNode *root;
  char *error; /* for no answer: why */
} ApiResult;

ApiResult *
api_call (const Api *api, const char *method, const char *path, const char *body);
void api_result_free (ApiResult *result);

#endif
