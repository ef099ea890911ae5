#include "commands.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <core/json-member.h>
#include <core/settings.h>
#include <core/http-status.h>

#include "commands-private.h"
#include "print.h"

JsonObject *
command_object (const ApiResult *result)
{
  if (!result->root || !JSON_NODE_HOLDS_OBJECT (result->root))
    return NULL;
  return json_node_get_object (result->root);
}

static void
print_faults (JsonObject *object)
{
  JsonArray *faults = json_member_array (object, "faults");

  for (guint i = 0; faults && i < json_array_get_length (faults); i++)
    {
      const char *fault = json_element_text (faults, i);

      fprintf (stderr, "  %s\n", fault ? fault : "");
    }
}

ExitCode
command_report_error (const ApiResult *result, const Options *options)
{
  JsonObject *object = command_object (result);

  if (result->status == 0)
    {
      fprintf (stderr, "switchmill: no answer: %s\n", result->error);
      return CODE_UNREACHABLE;
    }
  if (options->json)
    fputs (result->text, stdout);
  if (object)
    {
      fprintf (stderr, "switchmill: %s\n", json_member_text (object, "error", "failed"));
      print_faults (object);
      if (json_object_has_member (object, "advice"))
        fprintf (stderr, "  %s\n", json_member_text (object, "advice", ""));
    }
  switch (result->status)
    {
    case HTTP_BAD_REQUEST:
      return CODE_INVALID;
    case HTTP_UNAUTHORIZED:
      return CODE_DENIED;
    case HTTP_CONFLICT:
      return CODE_STALE;
    case HTTP_UNAVAILABLE:
      return CODE_UNKNOWN;
    default:
      return CODE_FAULT;
    }
}

static ExitCode
show_status (const Options *options, void (*print) (JsonObject *status, const char *only))
{
  ApiResult *result = api_call (&options->api, "GET", "/v1/status", NULL);
  ExitCode code = CODE_OK;

  if (result->status != HTTP_OK || !command_object (result))
    code = command_report_error (result, options);
  else if (options->json)
    printf ("%s\n", result->text);
  else
    print (command_object (result), options->word_count ? options->words[0] : NULL);
  api_result_free (result);
  return code;
}

static void
print_whole_status (JsonObject *status, const char *only)
{
  print_status (status);
}

static ExitCode
run_status (const Options *options)
{
  return show_status (options, print_whole_status);
}

static ExitCode
run_service (const Options *options)
{
  return show_status (options, print_services);
}

static ExitCode
run_target (const Options *options)
{
  return show_status (options, print_targets);
}

ExitCode
command_show (const Options *options,
              const char *path,
              void (*print) (JsonObject *object))
{
  ApiResult *result = api_call (&options->api, "GET", path, NULL);
  ExitCode code = CODE_OK;

  if (result->status != HTTP_OK || !command_object (result))
    code = command_report_error (result, options);
  else if (options->json)
    printf ("%s\n", result->text);
  else
    print (command_object (result));
  api_result_free (result);
  return code;
}

static ExitCode
run_account (const Options *options)
{
  g_autofree char *id =
      options->word_count ? g_uri_escape_string (options->words[0], NULL, FALSE) : NULL;
  g_autofree char *path = g_strconcat ("/v1/accounts", id ? "?id=" : "", id, NULL);

  return command_show (options, path, print_accounts);
}

static ExitCode
run_events (const Options *options)
{
  ApiResult *result = api_call (&options->api, "GET", "/v1/events", NULL);
  ExitCode code = CODE_OK;

  if (result->status != HTTP_OK || !result->root || !JSON_NODE_HOLDS_ARRAY (result->root))
    code = command_report_error (result, options);
  else if (options->json)
    printf ("%s\n", result->text);
  else
    print_events (json_node_get_array (result->root));
  api_result_free (result);
  return code;
}

static char *
confirm_body (const Options *options,
              const char *intent,
              const char *id,
              gint64 base_generation)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  g_autoptr (JsonNode) root = NULL;

  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "intent");
  json_builder_add_string_value (builder, intent);
  json_builder_set_member_name (builder, "base_generation");
  json_builder_add_int_value (builder, base_generation);
  json_builder_set_member_name (builder, "id");
  json_builder_add_string_value (builder, id);
  json_builder_set_member_name (builder, "force");
  json_builder_add_boolean_value (builder, options->force);
  json_builder_end_object (builder);
  root = json_builder_get_root (builder);
  return json_to_string (root, FALSE);
}

static ExitCode
confirm (const Options *options,
         const char *intent,
         const char *id,
         gint64 base_generation)
{
  g_autofree char *body = confirm_body (options, intent, id, base_generation);
  ApiResult *result = api_call (&options->api, "POST", "/v1/confirm", body);
  ExitCode code = CODE_OK;

  if (result->status != HTTP_OK || !command_object (result))
    code = command_report_error (result, options);
  else if (options->json)
    fputs (result->text, stdout);
  else
    printf ("accepted as generation %" G_GINT64_FORMAT "\n",
            json_member_int (command_object (result), "generation", 0));
  /* Without an answer it is unknown whether the plan was written. */
  if (result->status == 0)
    {
      fprintf (stderr, "  the plan may have been accepted; confirm it again\n");
      code = CODE_UNKNOWN;
    }
  api_result_free (result);
  return code;
}

/* Plans an intent, prints the plan, and confirms it if `confirm_it` is set. */
static ExitCode
plan (const Options *options, const char *intent, gboolean confirm_it)
{
  ApiResult *result = api_call (&options->api, "POST", "/v1/plan", intent);
  JsonObject *object = command_object (result);
  ExitCode code = CODE_OK;

  if (result->status != HTTP_OK || !object)
    {
      code = command_report_error (result, options);
      api_result_free (result);
      return code;
    }
  if (options->json && !confirm_it)
    printf ("%s\n", result->text);
  else if (!options->json)
    print_plan (object);
  if (json_member_bool (object, "below_floor", FALSE) && !options->force)
    {
      fprintf (stderr, "switchmill: the plan takes healthy capacity below a floor\n"
                       "  change it, or confirm it with --force\n");
      code = CODE_BELOW_FLOOR;
    }
  else if (confirm_it)
    code = confirm (options, intent, json_member_text (object, "id", ""),
                    json_member_int (object, "base_generation", 0));
  api_result_free (result);
  return code;
}

static char *
read_file (const char *path)
{
  g_autoptr (GError) error = NULL;
  char *text = NULL;

  if (!g_file_get_contents (path, &text, NULL, &error))
    fprintf (stderr, "switchmill: %s\n", error->message);
  return text;
}

static ExitCode
run_plan (const Options *options)
{
  g_autofree char *intent = read_file (options->words[0]);

  return intent ? plan (options, intent, options->yes) : CODE_FAULT;
}

static ExitCode
run_confirm (const Options *options)
{
  g_autofree char *intent = read_file (options->words[0]);
  gint64 base_generation;

  if (!intent)
    return CODE_FAULT;
  if (!g_ascii_string_to_signed (options->words[2], 10, 0, G_MAXINT64, &base_generation,
                                 NULL))
    {
      fprintf (stderr, "switchmill: \"%s\" is not a generation number\n",
               options->words[2]);
      return CODE_USAGE;
    }
  return confirm (options, intent, options->words[1], base_generation);
}

/* Returns an intent with one member, an array of the arguments from `from` on. */
static char *
arguments_intent (const Options *options, int from, const char *member)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  g_autoptr (JsonNode) root = NULL;

  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, member);
  json_builder_begin_array (builder);
  for (int i = from; i < options->word_count; i++)
    json_builder_add_string_value (builder, options->words[i]);
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  root = json_builder_get_root (builder);
  return json_to_string (root, FALSE);
}

static ExitCode
run_drain (const Options *options)
{
  g_autofree char *intent = arguments_intent (options, 0, "drain");

  return plan (options, intent, options->yes);
}

static ExitCode
run_restore (const Options *options)
{
  g_autofree char *intent = arguments_intent (options, 0, "restore");

  return plan (options, intent, options->yes);
}

/* "hall evacuate HALL..." and "hall back HALL...". */
static ExitCode
run_hall (const Options *options)
{
  gboolean back = strcmp (options->words[0], "back") == 0;
  g_autofree char *intent = NULL;

  if (!back && strcmp (options->words[0], "evacuate") != 0)
    {
      fprintf (stderr, "usage: switchmill hall evacuate|back HALL...\n");
      return CODE_USAGE;
    }
  intent = arguments_intent (options, 1, back ? "take_back" : "evacuate");
  return plan (options, intent, options->yes);
}

/* "config check SETTINGS". */
static ExitCode
run_config (const Options *options)
{
  g_autofree char *text = NULL;
  g_autofree char *list = NULL;
  JsonFaults *faults;
  Settings *settings;
  ExitCode code;

  if (strcmp (options->words[0], "check") != 0)
    {
      fprintf (stderr, "usage: switchmill config check SETTINGS\n");
      return CODE_USAGE;
    }
  text = read_file (options->words[1]);
  if (!text)
    return CODE_FAULT;
  faults = json_faults_create ();
  settings = settings_parse (text, -1, faults);
  code = settings ? CODE_OK : CODE_INVALID;
  list = json_faults_text (faults);
  fputs (list, stderr);
  if (settings && !options->json)
    printf ("%s is valid\n", options->words[1]);
  settings_destroy (settings);
  json_faults_destroy (faults);
  return code;
}

const Command commands[] = {
  { "status", "", "show a node's whole status", 0, 0, run_status },
  { "service", "[NAME]", "show all services, or one", 0, 1, run_service },
  { "target", "[SERVICE]", "show the targets and their verdicts", 0, 1, run_target },
  { "account", "[ID]", "show a client account, or the busiest ones at a node", 0, 1,
    run_account },
  { "quarantine", "[lift REQUEST]",
    "show the requests under which targets crashed, or lift a quarantine", 0, 2,
    command_quarantine },
  { "events", "", "show a node's last events", 0, 0, run_events },
  { "plan", "INTENT", "show what an intent file would change; --yes confirms", 1, 1,
    run_plan },
  { "confirm", "INTENT PLAN GENERATION", "confirm a plan that was shown before", 3, 3,
    run_confirm },
  { "drain", "TARGET...", "plan to send targets no new requests; --yes confirms", 1,
    G_MAXINT, run_drain },
  { "restore", "TARGET...", "plan to send targets requests again; --yes confirms", 1,
    G_MAXINT, run_restore },
  { "hall", "evacuate|back HALL...",
    "plan to evacuate data halls (no new requests), or to use them again; --yes confirms",
    2, G_MAXINT, run_hall },
  { "config", "check SETTINGS", "check a node's settings file", 2, 2, run_config },
  { "explain", "ID [LOG...]", "show one request's path, from nodes' logs", 1, G_MAXINT,
    command_explain },
  { "outcomes", "[LOG...]",
    "count the outcomes and failure causes of the requests in nodes' logs", 0, G_MAXINT,
    command_outcomes },
  { NULL, NULL, NULL, 0, 0, NULL },
};
