/*
 * Internals of the commands: commands.c has the queries and the plans, commands-logs.c
 * the commands that read log files, and commands-quarantine.c the quarantine.
 */
#ifndef CLIENT_COMMANDS_PRIVATE_H
#define CLIENT_COMMANDS_PRIVATE_H

#include "commands.h"

/* Returns the JSON object of an answer, or NULL if there is none. The result owns it. */
JsonObject *command_object (const ApiResult *result);

/* Prints the error of a failed call and the node's advice. Returns the exit code. */
ExitCode command_report_error (const ApiResult *result, const Options *options);

/* Gets an object from a node and prints it, as JSON with --json. */
ExitCode command_show (const Options *options,
                       const char *path,
                       void (*print) (JsonObject *object));

ExitCode command_explain (const Options *options);
ExitCode command_outcomes (const Options *options);
ExitCode command_quarantine (const Options *options);

#endif
