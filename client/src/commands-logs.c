/* The commands that read nodes' log files. */
#include "commands-private.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "explain.h"
#include "outcomes.h"

/* Handles a line of a log. */
typedef void (*LogLineFunc) (gpointer data, const char *line, gssize len);

static void
add_to_explanation (gpointer data, const char *line, gssize len)
{
  explanation_add (data, line, len);
}

static void
add_to_outcomes (gpointer data, const char *line, gssize len)
{
  request_outcomes_add (data, line, len);
}

/* Reads a file, or standard input for "-". Prints a message and returns FALSE if the file
   cannot be opened. */
static gboolean
read_log (const char *path, LogLineFunc take, gpointer data)
{
  gboolean is_stdin = strcmp (path, "-") == 0;
  FILE *file = is_stdin ? stdin : fopen (path, "r");
  char *line = NULL;
  size_t size = 0;
  ssize_t len;

  if (!file)
    {
      fprintf (stderr, "switchmill: %s: %s\n", path, g_strerror (errno));
      return FALSE;
    }
  while ((len = getline (&line, &size, file)) >= 0)
    take (data, line, len);
  free (line);
  if (!is_stdin)
    fclose (file);
  return TRUE;
}

/* Reads the files named by the arguments from `first` on, or standard input if there are
   none. */
static ExitCode
read_logs (const Options *options, int first, LogLineFunc take, gpointer data)
{
  ExitCode code = CODE_OK;

  if (options->word_count <= first && !read_log ("-", take, data))
    code = CODE_FAULT;
  for (int i = first; i < options->word_count; i++)
    if (!read_log (options->words[i], take, data))
      code = CODE_FAULT;
  return code;
}

static void
report_bad_lines (guint count)
{
  if (count > 0)
    fprintf (stderr, "switchmill: skipped %u lines that are not JSON\n", count);
}

ExitCode
command_explain (const Options *options)
{
  Explanation *explanation = explanation_create (options->words[0]);
  ExitCode code = read_logs (options, 1, add_to_explanation, explanation);
  g_autoptr (GPtrArray) lines = explanation_lines (explanation);

  for (guint i = 0; i < lines->len; i++)
    printf ("%s\n", (char *)g_ptr_array_index (lines, i));
  report_bad_lines (explanation_bad_lines (explanation));
  if (lines->len == 0)
    {
      fprintf (stderr, "switchmill: no log line about \"%s\"\n", options->words[0]);
      code = CODE_FAULT;
    }
  explanation_destroy (explanation);
  return code;
}

static void
print_outcomes (RequestOutcomes *outcomes, gboolean json)
{
  g_autoptr (JsonNode) node = NULL;
  g_autofree char *text = NULL;

  if (json)
    {
      node = request_outcomes_json (outcomes);
      text = json_to_string (node, TRUE);
      printf ("%s\n", text);
      return;
    }
  text = request_outcomes_text (outcomes);
  fputs (text, stdout);
}

ExitCode
command_outcomes (const Options *options)
{
  RequestOutcomes *outcomes = request_outcomes_create (options->span_s);
  ExitCode code = read_logs (options, 0, add_to_outcomes, outcomes);

  print_outcomes (outcomes, options->json);
  report_bad_lines (request_outcomes_bad_lines (outcomes));
  if (request_outcomes_omitted_lines (outcomes) > 0)
    fprintf (stderr,
             "switchmill: nodes omitted %" G_GUINT64_FORMAT
             " log lines, so the numbers of attempts are too low\n",
             request_outcomes_omitted_lines (outcomes));
  if (request_outcomes_requests (outcomes) == 0)
    {
      fprintf (stderr, "switchmill: no completed request found\n");
      code = CODE_FAULT;
    }
  request_outcomes_destroy (outcomes);
  return code;
}
