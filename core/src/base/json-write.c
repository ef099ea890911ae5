#include <core/json-write.h>

void
json_write_string (JsonBuilder *builder, const char *name, const char *value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_string_value (builder, value);
}

void
json_write_int (JsonBuilder *builder, const char *name, gint64 value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_int_value (builder, value);
}

void
json_write_double (JsonBuilder *builder, const char *name, double value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_double_value (builder, value);
}

void
json_write_bool (JsonBuilder *builder, const char *name, gboolean value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_boolean_value (builder, value);
}
