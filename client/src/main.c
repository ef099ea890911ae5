/*
 * switchmill: the operators' command line.
 */
#include <argtable2.h>
#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#include "commands.h"

#define WORDS_MAX 1000

static void
print_help (void **table)
{
  printf ("Usage: switchmill");
  arg_print_syntax (stdout, table, "\n\n");
  arg_print_glossary (stdout, table, "  %-24s %s\n");
  printf ("\nCommands:\n");
  for (const Command *command = commands; command->name; command++)
    {
      g_autofree char *usage = g_strconcat (command->name, " ", command->arguments, NULL);

      printf ("  %-32s %s\n", usage, command->summary);
    }
  printf ("\nExit codes: 0 success, 1 error, 2 usage, 3 invalid, 4 denied, 5 stale,\n"
          "6 below a floor, 7 unreachable, 8 unknown whether accepted.\n");
}

static const Command *
find_command (const char *name)
{
  for (const Command *command = commands; command->name; command++)
    if (strcmp (command->name, name) == 0)
      return command;
  return NULL;
}

static ExitCode
run_command (Options *options, const char *name)
{
  const Command *command = find_command (name);

  if (!command)
    {
      fprintf (stderr, "switchmill: unknown command \"%s\"; see --help\n", name);
      return CODE_USAGE;
    }
  if (options->word_count < command->words_min ||
      options->word_count > command->words_max)
    {
      fprintf (stderr, "usage: switchmill %s %s\n", command->name, command->arguments);
      return CODE_USAGE;
    }
  return command->run (options);
}

static const char *
value_or_environment (const struct arg_str *given, const char *name, const char *fallback)
{
  if (given->count > 0)
    return given->sval[0];
  return g_getenv (name) ? g_getenv (name) : fallback;
}

int
main (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "show this help");
  struct arg_lit *version = arg_lit0 (NULL, "version", "show the version");
  struct arg_lit *json = arg_lit0 (NULL, "json", "print JSON");
  struct arg_lit *yes = arg_lit0 ("y", "yes", "confirm the plan immediately");
  struct arg_lit *force =
      arg_lit0 (NULL, "force", "confirm a plan that goes below a floor");
  struct arg_int *span =
      arg_int0 (NULL, "span", "SECONDS", "count by spans of this length (outcomes)");
  struct arg_str *node = arg_str0 ("n", "node", "ADDRESS:PORT",
                                   "a node's operator listener (or SWITCHMILL_NODE)");
  struct arg_str *token =
      arg_str0 (NULL, "token", "TOKEN", "an operator's token (or SWITCHMILL_TOKEN)");
  struct arg_str *words = arg_strn (NULL, NULL, "COMMAND", 0, WORDS_MAX, NULL);
  struct arg_end *end = arg_end (5);
  void *table[] = { help, version, json, yes, force, span, node, token, words, end };
  int faults = arg_parse (argc, argv, table);
  ExitCode code = CODE_OK;
  Options options = { 0 };

  if (help->count > 0)
    print_help (table);
  else if (version->count > 0)
    printf ("switchmill %s\n", SWITCHMILL_VERSION);
  else if (span->count > 0 && span->ival[0] <= 0)
    {
      fprintf (stderr, "switchmill: --span must be a whole number above 0\n");
      code = CODE_USAGE;
    }
  else if (faults > 0 || words->count == 0)
    {
      arg_print_errors (stderr, end, "switchmill");
      fprintf (stderr, "switchmill: give a command; see --help\n");
      code = CODE_USAGE;
    }
  else
    {
      curl_global_init (CURL_GLOBAL_DEFAULT);
      options.api.address =
          (char *)value_or_environment (node, "SWITCHMILL_NODE", "127.0.0.1:7100");
      options.api.token = (char *)value_or_environment (token, "SWITCHMILL_TOKEN", "");
      options.json = json->count > 0;
      options.yes = yes->count > 0;
      options.force = force->count > 0;
      options.span_s = span->count > 0 ? (guint)span->ival[0] : 0;
      options.words = words->sval + 1;
      options.word_count = words->count - 1;
      code = run_command (&options, words->sval[0]);
      curl_global_cleanup ();
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return (int)code;
}
