/*
 * Query arguments of the control paths, as in "/_control?answer=whole&latency_ms=5".
 */
#ifndef STANDINS_TARGET_QUERY_H
#define STANDINS_TARGET_QUERY_H

#include <glib.h>

/* Returns the value of an argument, or NULL if it is missing; the caller frees it. */
char *target_query_text (const char *path, const char *key);
gint64 target_query_number (const char *path, const char *key, gint64 fallback);

#endif
