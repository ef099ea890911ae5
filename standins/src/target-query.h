/*
 * The arguments of a stand-in's own paths: "/_control?answer=whole&latency_ms=5".
 */
#ifndef STANDINS_TARGET_QUERY_H
#define STANDINS_TARGET_QUERY_H

#include <glib.h>

/* The value of an argument, NULL where it is missing; the caller frees it. */
char *target_query_text (const char *path, const char *key);
gint64 target_query_number (const char *path, const char *key, gint64 fallback);

#endif
