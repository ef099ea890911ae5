/*
 * Parses JSON texts from outside the process. All parsing of such texts goes through this
 * module, because json-glib asserts on a missing text.
 */
#ifndef CORE_JSON_TEXT_H
#define CORE_JSON_TEXT_H

#include <json-glib/json-glib.h>

/*
 * Returns the root of a text of `len` bytes (-1: up to its NUL); the caller unrefs it.
 * `text` may be NULL, as the data of an empty body is. Returns NULL and sets `error` if
 * the text is no JSON value.
 */
JsonNode *json_text_parse (const char *text, gssize len, GError **error);

#endif
