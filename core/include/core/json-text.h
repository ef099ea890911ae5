/*
 * Parses JSON texts from outside the process. All parsing of such texts goes through this
 * module, because json-glib asserts on a missing text and recurses into nested values
 * without a bound.
 */
#ifndef CORE_JSON_TEXT_H
#define CORE_JSON_TEXT_H

#include <json-glib/json-glib.h>

/* Arrays and objects that may be open at a time; texts of ours have ten. */
#define JSON_TEXT_DEPTH_MAX 64u

/*
 * Returns the root of a text of `len` bytes (-1: up to its NUL); the caller unrefs it.
 * `text` may be NULL, as the data of an empty body is. Returns NULL and sets `error` if
 * the text is no JSON value (RFC 8259), or nested too deeply.
 */
JsonNode *json_text_parse (const char *text, gssize len, GError **error);

/*
 * Does the same for a text whose parts come from different writers, so that an odd part
 * hides no other: a value that is nested too deeply reads as null, and bytes that are not
 * UTF-8 and escapes of half a character read as U+FFFD. `repaired` is set if there were
 * any; it may be NULL.
 */
JsonNode *
json_text_parse_parts (const char *text, gssize len, gboolean *repaired, GError **error);

#endif
