/*
 * Members of a JSON object being built, one call each. What is written by the ten
 * thousand goes into a text at once, without a tree of it.
 */
#ifndef CORE_JSON_WRITE_H
#define CORE_JSON_WRITE_H

#include <json-glib/json-glib.h>

void json_write_string (JsonBuilder *builder, const char *name, const char *value);
void json_write_int (JsonBuilder *builder, const char *name, gint64 value);
void json_write_double (JsonBuilder *builder, const char *name, double value);
void json_write_bool (JsonBuilder *builder, const char *name, gboolean value);

/* The same at the end of an object's text; a comma comes before it where one is due. */
void json_put_key (GString *text, const char *name);
void json_put_string (GString *text, const char *name, const char *value);
void json_put_int (GString *text, const char *name, gint64 value);
void json_put_double (GString *text, const char *name, double value);
void json_put_bool (GString *text, const char *name, gboolean value);
/* An element of an array's text. */
void json_put_text (GString *text, const char *value);

#endif
