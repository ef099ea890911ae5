/*
 * Validation of names and addresses in settings and configuration.
 */
#ifndef CORE_NAMES_H
#define CORE_NAMES_H

#include <core/json-view.h>

#define NAME_MAX_LEN 63

/* Reads a required name: letters, digits, '.', '_' and '-', at most NAME_MAX_LEN bytes.
   Notes a fault and returns "" when it is missing or invalid. */
const char *names_required (JsonView *view, const char *key);

gboolean names_valid (const char *text);

/* Returns whether `text` is an IPv4 address and a port, "127.0.0.1:80". */
gboolean names_address_valid (const char *text);

/* Reads a required address; faults are handled as in names_required. */
const char *names_required_address (JsonView *view, const char *key);

#endif
