/*
 * Validated reading of JSON. Every fault is collected with its JSON path, so that the
 * caller can read a whole text and reject it with all its faults. Keys that were not read
 * are faults too (json_view_close).
 */
#ifndef CORE_JSON_VIEW_H
#define CORE_JSON_VIEW_H

#include <glib.h>
#include <json-glib/json-glib.h>

typedef struct JsonFaults JsonFaults;
typedef struct JsonView JsonView;

/* A list of faults; it keeps the first 100. */
JsonFaults *json_faults_create (void);
void json_faults_destroy (JsonFaults *faults);
void json_faults_add (JsonFaults *faults, const char *path, const char *format, ...)
    G_GNUC_PRINTF (3, 4);
guint json_faults_count (const JsonFaults *faults);
/* Returns one line, "PATH: MESSAGE"; owned by the list. */
const char *json_faults_get (const JsonFaults *faults, guint index);
/* Returns all lines, each with a newline; the caller frees the string. */
char *json_faults_text (const JsonFaults *faults);

/* Parses a text whose root is an object; otherwise notes a fault and returns NULL. */
JsonView *json_view_parse (const char *text, gssize len, JsonFaults *faults);

/* Creates a view of `node`, whose JSON path is `path`. Notes a fault and returns NULL
   unless it is an object. */
JsonView *json_view_create (JsonNode *node, const char *path, JsonFaults *faults);

/* Notes a fault for each key that was never read, and frees the view. */
void json_view_close (JsonView *view);

/* Frees the view and allows unknown keys, for texts from a peer that may be newer. */
void json_view_release (JsonView *view);

/* Returns the view's JSON path, for faults that the caller finds. */
const char *json_view_path (const JsonView *view);
JsonFaults *json_view_faults (const JsonView *view);
/* Returns whether the member exists and is not null; counts as reading it. */
gboolean json_view_has (JsonView *view, const char *key);

/* The getters return `fallback` when the member is missing or null. When it has another
   type or is out of range they note a fault as well. */
const char *
json_view_string (JsonView *view, const char *key, gsize max, const char *fallback);
/* Like json_view_string, but notes a fault and returns "" when the member is missing or
   empty. */
const char *json_view_required (JsonView *view, const char *key, gsize max);
/* Reads a required string of any content and length; otherwise notes a fault and returns
   "". */
const char *json_view_text (JsonView *view, const char *key);
gint64
json_view_int (JsonView *view, const char *key, gint64 min, gint64 max, gint64 fallback);
/* Like json_view_int, but notes a fault and returns `min` when the member is missing. */
gint64 json_view_required_int (JsonView *view, const char *key, gint64 min, gint64 max);
/*
 * Reads a number from a system that may send other values than ours: rounds a fraction
 * down and clamps the value to the range. Only a member that is no number is a fault.
 */
gint64 json_view_clamped_int (
    JsonView *view, const char *key, gint64 min, gint64 max, gint64 fallback);
double json_view_double (
    JsonView *view, const char *key, double min, double max, double fallback);
gboolean json_view_bool (JsonView *view, const char *key, gboolean fallback);
/* Returns the index of the member's text in `names` (NULL-terminated). */
guint json_view_choice (JsonView *view,
                        const char *key,
                        const char *const *names,
                        guint fallback);
/* Returns NULL when the member is missing, and with a fault when it is no object. */
JsonView *json_view_object (JsonView *view, const char *key);
/* Returns the number of elements of an array member; 0 when it is missing, and with a
   fault when it is no array. */
guint json_view_array_length (JsonView *view, const char *key);
/* Returns an element of an existing array; NULL with a fault when it is no object. */
JsonView *json_view_array_object (JsonView *view, const char *key, guint index);
/* Returns an element of an existing array; NULL with a fault when it is no string of at
   most `max` bytes. */
const char *
json_view_array_string (JsonView *view, const char *key, guint index, gsize max);

#endif
