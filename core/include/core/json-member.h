/*
 * Reads members of objects that another writer may have made. Each function returns its
 * fallback if the member is missing, null or of another type; json-glib's own getters do
 * so for a missing one alone. `object` may be NULL. Where faults are to be reported, see
 * json-view.h.
 */
#ifndef CORE_JSON_MEMBER_H
#define CORE_JSON_MEMBER_H

#include <json-glib/json-glib.h>

/* The text is owned by `object`. */
const char *json_member_text (JsonObject *object, const char *name, const char *fallback);
gint64 json_member_int (JsonObject *object, const char *name, gint64 fallback);
/* Takes whole numbers too. */
double json_member_double (JsonObject *object, const char *name, double fallback);
gboolean json_member_bool (JsonObject *object, const char *name, gboolean fallback);
/* The next two return NULL by default; `object` owns what they return. */
JsonObject *json_member_object (JsonObject *object, const char *name);
JsonArray *json_member_array (JsonObject *object, const char *name);

/* Returns the elements that are objects or texts; NULL for others. */
JsonObject *json_element_object (JsonArray *array, guint index);
const char *json_element_text (JsonArray *array, guint index);

#endif
