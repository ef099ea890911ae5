/*
 * What the operators' names may look like, and how long they may be.
 */
#ifndef CORE_NAMES_H
#define CORE_NAMES_H

#include <core/json-view.h>

#define NAME_MAX_LEN 63

/* A required member that must be a name: letters, digits, '.', '_' and '-'. */
const char *names_required (JsonView *view, const char *key);

/* Whether `text` is a name. */
gboolean names_valid (const char *text);

/* Whether `text` is an IPv4 number with a port. */
gboolean names_address_valid (const char *text);

/* A required member that must be an address. */
const char *names_required_address (JsonView *view, const char *key);

#endif
