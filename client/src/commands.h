/*
 * The commands of switchmill and its exit codes.
 */
#ifndef CLIENT_COMMANDS_H
#define CLIENT_COMMANDS_H

#include "api.h"

typedef enum
{
  CODE_OK = 0,
  CODE_FAULT = 1,       /* a file cannot be read, or the node's answer is unexpected */
  CODE_USAGE = 2,       /* wrong arguments */
  CODE_INVALID = 3,     /* settings or intent are not valid */
  CODE_DENIED = 4,      /* the token is not an operator's */
  CODE_STALE = 5,       /* another change was accepted before: nothing was changed */
  CODE_BELOW_FLOOR = 6, /* the plan takes capacity below a floor: nothing was changed */
  CODE_UNREACHABLE = 7, /* no answer from the node */
  CODE_UNKNOWN = 8      /* the plan may have been accepted: confirm it again */
} ExitCode;

/* The options and arguments of the command line. */
typedef struct
{
  Api api;
  gboolean json;
  gboolean force;
  gboolean yes;
  guint span_s;       /* length of a span in a count of outcomes; 0 for a single span */
  const char **words; /* the command's arguments */
  int word_count;
} Options;

typedef struct
{
  const char *name;
  const char *arguments;
  const char *summary;
  int words_min;
  int words_max;
  ExitCode (*run) (const Options *options);
} Command;

/* All commands, ended by one with a NULL name. */
extern const Command commands[];

#endif
