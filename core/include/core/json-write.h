/*
 * Writing of JSON: json_write_* add a member to a JsonBuilder. json_put_* append to a
 * string without building a tree, for texts with tens of thousands of members.
 */
#ifndef CORE_JSON_WRITE_H
#define CORE_JSON_WRITE_H

#include <json-glib/json-glib.h>

void json_write_string (JsonBuilder *builder, const char *name, const char *value);
void json_write_int (JsonBuilder *builder, const char *name, gint64 value);
void json_write_double (JsonBuilder *builder, const char *name, double value);
void json_write_bool (JsonBuilder *builder, const char *name, gboolean value);

/* Append a member to the text of an object, after a comma unless it is the first. */
void json_put_key (GString *text, const char *name);
void json_put_string (GString *text, const char *name, const char *value);
void json_put_int (GString *text, const char *name, gint64 value);
void json_put_double (GString *text, const char *name, double value);
void json_put_bool (GString *text, const char *name, gboolean value);
/* Appends a string element to the text of an array. */
void json_put_element (GString *text, const char *value);

#endif
