/*
 * Converts quarantine updates to and from the form in which messages between nodes carry
 * them. Ages are in whole milliseconds there.
 */
#ifndef DAEMON_QUARANTINE_WIRE_H
#define DAEMON_QUARANTINE_WIRE_H

#include <core/quarantine.h>
#include <wire/message.h>

/* Fills in `words`; the caller frees its array of ends. */
void quarantine_wire_fill (const QuarantineUpdate *update, sw_quarantine *words);
/* Returns FALSE if `words` has more than QUARANTINE_ENDS_KEPT ends. */
gboolean quarantine_wire_read (const sw_quarantine *words, QuarantineUpdate *update);

#endif
