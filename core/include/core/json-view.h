/*
 * Checked reading of JSON: every fault is noted with its JSON path, and nothing is
 * used before the whole text has been read. Keys that nobody asked for are faults.
 */
#ifndef CORE_JSON_VIEW_H
#define CORE_JSON_VIEW_H

#include <glib.h>
#include <json-glib/json-glib.h>

typedef struct JsonFaults JsonFaults;
typedef struct JsonView JsonView;

/* The list of faults found so far. */
JsonFaults *json_faults_create (void);
void json_faults_destroy (JsonFaults *faults);
void json_faults_add (JsonFaults *faults, const char *path, const char *format, ...)
    G_GNUC_PRINTF (3, 4);
guint json_faults_count (const JsonFaults *faults);
/* One line, "PATH: what is wrong". */
const char *json_faults_get (const JsonFaults *faults, guint index);
/* All lines, each with its line end; the caller frees it. */
char *json_faults_text (const JsonFaults *faults);

/* Parses a text whose root is an object; NULL with a fault noted otherwise. */
JsonView *json_view_parse (const char *text, gssize len, JsonFaults *faults);

/* Reads `node`, which stands at `path`; NULL with a fault noted unless it is an object.
 */
JsonView *json_view_create (JsonNode *node, const char *path, JsonFaults *faults);

/* Notes a fault for each key that was never asked for, and frees the view. */
void json_view_close (JsonView *view);

/* Frees the view without a look at the other keys: for texts of a peer that may be newer.
 */
void json_view_release (JsonView *view);

/* The path of this view, for faults found by the caller. */
const char *json_view_path (const JsonView *view);
JsonFaults *json_view_faults (const JsonView *view);
gboolean json_view_has (JsonView *view, const char *key);

/* Each getter returns `fallback` and notes a fault when the member is of another kind. */
const char *
json_view_string (JsonView *view, const char *key, gsize max, const char *fallback);
/* As json_view_string, but a missing or empty member is a fault; "" is returned then. */
const char *json_view_required (JsonView *view, const char *key, gsize max);
/* A required member that may hold any text, of any length. */
const char *json_view_text (JsonView *view, const char *key);
gint64
json_view_int (JsonView *view, const char *key, gint64 min, gint64 max, gint64 fallback);
/*
 * A figure that others choose: a fraction is rounded down, and what lies outside the
 * range is taken as its nearest end. Only what is no number is a fault.
 */
gint64 json_view_floor (
    JsonView *view, const char *key, gint64 min, gint64 max, gint64 fallback);
/* A number with or without a fraction. */
double json_view_double (
    JsonView *view, const char *key, double min, double max, double fallback);
gboolean json_view_bool (JsonView *view, const char *key, gboolean fallback);
/* The place of the member in `names` (NULL-terminated). */
guint json_view_choice (JsonView *view,
                        const char *key,
                        const char *const *names,
                        guint fallback);
/* An object member, or NULL when it is missing or no object. */
JsonView *json_view_object (JsonView *view, const char *key);
/* How many elements an array member has; 0 when missing. */
guint json_view_array_length (JsonView *view, const char *key);
/* An element as an object; NULL with a fault noted otherwise. */
JsonView *json_view_array_object (JsonView *view, const char *key, guint index);
/* An element as a string of at most `max` bytes; NULL with a fault noted otherwise. */
const char *
json_view_array_string (JsonView *view, const char *key, guint index, gsize max);

#endif
