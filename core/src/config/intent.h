/*
 * Intents: an operator's requested changes, applied to the parts of a configuration.
 */
#ifndef CORE_CONFIG_INTENT_H
#define CORE_CONFIG_INTENT_H

#include "model.h"

/*
 * Returns the parts that the intent changes: a table of key → new text, where "" means
 * that the part is removed. The caller owns the table. Returns NULL and adds faults if
 * the intent is not valid or refers to things that the base does not have.
 */
GHashTable *
intent_apply (const Snapshot *base, const char *text, gssize len, JsonFaults *faults);

#endif
