/*
 * switchmilld: the daemon, one process beside each target.
 *
 * Exit codes: 0 planned stop, no request aborted; 1 failure at the start; 2 invalid
 * settings or arguments; 3 requests were aborted by the stop.
 */
#include <argtable2.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <platform/adapter.h>

#include "adapter.h"
#include "log.h"
#include "node-run.h"

/* Allocations from this size on (bodies) get their own mapping, so that freeing them
   returns the memory to the system. */
#define MAP_THRESHOLD (256 * 1024)

enum
{
  EXIT_ABORTED = 3,
  EXIT_USAGE = 2
};

static int
open_signals (void)
{
  sigset_t set;

  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  sigaddset (&set, SIGHUP);
  sigprocmask (SIG_BLOCK, &set, NULL);
  signal (SIGPIPE, SIG_IGN);
  return signalfd (-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
}

/* The state that the signal handler uses. */
typedef struct
{
  NodeRun *run;
  const char *path; /* of the settings file */
} Program;

static Settings *
load_settings (const char *path)
{
  g_autofree char *text = NULL;
  g_autoptr (GError) error = NULL;
  JsonFaults *faults;
  Settings *settings;
  gsize len;

  if (!g_file_get_contents (path, &text, &len, &error))
    {
      fprintf (stderr, "switchmilld: %s\n", error->message);
      return NULL;
    }
  faults = json_faults_create ();
  settings = settings_parse (text, (gssize)len, faults);
  if (!settings)
    {
      g_autofree char *list = json_faults_text (faults);

      fprintf (stderr, "switchmilld: %s is not valid:\n%s", path, list);
    }
  json_faults_destroy (faults);
  return settings;
}

/* Reloads the settings; an invalid file leaves the current ones in force. */
static void
reload (Program *program)
{
  Settings *settings = load_settings (program->path);

  if (settings)
    node_run_reload (program->run, settings);
  else
    log_event (G_LOG_LEVEL_WARNING, "reload-refused", "DETAIL", program->path, NULL);
  settings_destroy (settings);
}

static void
on_signal (int fd, LoopEvents ready, gpointer data)
{
  Program *program = data;
  struct signalfd_siginfo info;

  while (read (fd, &info, sizeof info) == sizeof info)
    switch (info.ssi_signo)
      {
      case SIGHUP:
        reload (program);
        break;
      case SIGINT:
        node_run_interrupt (program->run);
        break;
      default:
        node_run_stop (program->run);
        break;
      }
}

static int
run_node (const Settings *settings, const char *path)
{
  Program program = { .path = path };
  g_autoptr (GError) error = NULL;
  Clock *clock = clock_create_boottime ();
  Loop *loop = loop_create (clock);
  int signals = open_signals ();
  const Adapter *adapter =
      settings->platform == PLATFORM_OBJECTS ? &adapter_objects : &adapter_own;
  NodeRun *run;
  LoopFd *watch;
  guint cut;

  log_init (settings->node, settings->log, clock);
  run = node_run_create (settings, adapter, clock, loop, &error);
  if (!run)
    {
      fprintf (stderr, "switchmilld: %s\n", error->message);
      return EXIT_FAILURE;
    }
  program.run = run;
  watch = loop_fd_create (loop, signals, LOOP_READ, on_signal, &program);
  log_event (G_LOG_LEVEL_INFO, "started", "VERSION", SWITCHMILL_VERSION, NULL);
  loop_run (loop);
  cut = node_run_aborted (run);
  loop_fd_destroy (watch);
  node_run_destroy (run);
  loop_destroy (loop);
  clock_destroy (clock);
  return cut ? EXIT_ABORTED : EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "show this help");
  struct arg_lit *version = arg_lit0 (NULL, "version", "show the version");
  struct arg_lit *check = arg_lit0 (NULL, "check", "check the settings and exit");
  struct arg_file *file = arg_file0 (NULL, NULL, "SETTINGS", "the node's settings, JSON");
  struct arg_end *end = arg_end (5);
  void *table[] = { help, version, check, file, end };
  int faults = arg_parse (argc, argv, table);
  Settings *settings = NULL;
  int code = EXIT_USAGE;

  if (help->count > 0)
    {
      printf ("Usage: switchmilld");
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-12s %s\n");
      code = EXIT_SUCCESS;
    }
  else if (version->count > 0)
    {
      printf ("switchmilld %s\n", SWITCHMILL_VERSION);
      code = EXIT_SUCCESS;
    }
  else if (faults > 0 || file->count == 0)
    {
      arg_print_errors (stderr, end, "switchmilld");
      fprintf (stderr, "switchmilld: give one settings file; see --help\n");
    }
  else if ((settings = load_settings (file->filename[0])) && check->count > 0)
    code = EXIT_SUCCESS;
  else if (settings)
    {
      mallopt (M_MMAP_THRESHOLD, MAP_THRESHOLD);
      code = run_node (settings, file->filename[0]);
    }
  settings_destroy (settings);
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}
