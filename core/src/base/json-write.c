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

static void
put_quoted (GString *text, const char *value)
{
  g_string_append_c (text, '"');
  for (const char *p = value; *p; p++)
    if (*p == '"' || *p == '\\')
      g_string_append_printf (text, "\\%c", *p);
    else if (g_ascii_iscntrl (*p))
      g_string_append_printf (text, "\\u%04x", (guchar)*p);
    else
      g_string_append_c (text, *p);
  g_string_append_c (text, '"');
}

static void
put_comma (GString *text)
{
  char last = text->len > 0 ? text->str[text->len - 1] : '{';

  if (last != '{' && last != '[')
    g_string_append_c (text, ',');
}

void
json_put_key (GString *text, const char *name)
{
  put_comma (text);
  put_quoted (text, name);
  g_string_append_c (text, ':');
}

void
json_put_string (GString *text, const char *name, const char *value)
{
  json_put_key (text, name);
  put_quoted (text, value);
}

void
json_put_int (GString *text, const char *name, gint64 value)
{
  json_put_key (text, name);
  g_string_append_printf (text, "%" G_GINT64_FORMAT, value);
}

void
json_put_double (GString *text, const char *name, double value)
{
  char digits[G_ASCII_DTOSTR_BUF_SIZE];

  json_put_key (text, name);
  g_string_append (text, g_ascii_dtostr (digits, sizeof digits, value));
}

void
json_put_bool (GString *text, const char *name, gboolean value)
{
  json_put_key (text, name);
  g_string_append (text, value ? "true" : "false");
}

void
json_put_element (GString *text, const char *value)
{
  put_comma (text);
  put_quoted (text, value);
}
