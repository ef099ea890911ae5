/* The command for quarantined requests: lists them, or lifts a quarantine. */
#include "commands-private.h"

#include <core/http-status.h>

#include <stdio.h>
#include <string.h>

#include "print.h"

static char *
lift_body (const char *request)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  g_autoptr (JsonNode) root = NULL;

  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "request");
  json_builder_add_string_value (builder, request);
  json_builder_end_object (builder);
  root = json_builder_get_root (builder);
  return json_to_string (root, FALSE);
}

static ExitCode
lift (const Options *options, const char *request)
{
  g_autofree char *body = lift_body (request);
  ApiResult *result = api_call (&options->api, "POST", "/v1/quarantine/lift", body);
  ExitCode code = CODE_OK;

  if (result->status != HTTP_OK)
    code = command_report_error (result, options);
  else if (!options->json)
    printf ("quarantine of %s lifted; further crashes will quarantine it again\n",
            request);
  api_result_free (result);
  return code;
}

ExitCode
command_quarantine (const Options *options)
{
  if (options->word_count == 0)
    return command_show (options, "/v1/quarantine", print_quarantine);
  if (options->word_count == 2 && strcmp (options->words[0], "lift") == 0)
    return lift (options, options->words[1]);
  fprintf (stderr, "usage: switchmill quarantine [lift REQUEST]\n");
  return CODE_USAGE;
}
