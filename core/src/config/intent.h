/*
 * Intents: what an operator wants, as changes to the parts of a configuration.
 */
#ifndef CORE_CONFIG_INTENT_H
#define CORE_CONFIG_INTENT_H

#include "model.h"

/*
 * The parts that the intent touches, key → new text, "" for a part to be removed.
 * NULL, with faults noted, when it is not valid or does not fit the base.
 */
GHashTable *
intent_apply (const Snapshot *base, const char *text, gssize len, JsonFaults *faults);

#endif
