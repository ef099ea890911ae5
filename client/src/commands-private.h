/*
 * What the files of the commands share: commands.c what is asked of a node and planned,
 * commands-logs.c what is read out of logs, commands-quarantine.c the quarantine.
 */
#ifndef CLIENT_COMMANDS_PRIVATE_H
#define CLIENT_COMMANDS_PRIVATE_H

#include "commands.h"

/* The object that a call was answered with, NULL for anything else. */
JsonObject *command_object (const ApiResult *result);

/* Says what went wrong and what to do; the code for a call that did not succeed. */
ExitCode command_complain (const ApiResult *result, const Options *options);

/* Asks a node for an object, and prints it, or its text where that is wanted. */
ExitCode command_show (const Options *options,
                       const char *path,
                       void (*print) (JsonObject *object));

ExitCode command_explain (const Options *options);
ExitCode command_outcomes (const Options *options);
ExitCode command_quarantine (const Options *options);

#endif
