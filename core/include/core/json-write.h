/*
 * Members of a JSON object being built, one call each.
 */
#ifndef CORE_JSON_WRITE_H
#define CORE_JSON_WRITE_H

#include <json-glib/json-glib.h>

void json_write_string (JsonBuilder *builder, const char *name, const char *value);
void json_write_int (JsonBuilder *builder, const char *name, gint64 value);
void json_write_double (JsonBuilder *builder, const char *name, double value);
void json_write_bool (JsonBuilder *builder, const char *name, gboolean value);

#endif
