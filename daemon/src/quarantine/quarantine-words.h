/*
 * The quarantine's news as it stands in messages between nodes, and back. Ages there are
 * in whole milliseconds.
 */
#ifndef DAEMON_QUARANTINE_WORDS_H
#define DAEMON_QUARANTINE_WORDS_H

#include <core/quarantine.h>
#include <wire/message.h>

/* Fills words whose list of ends the caller frees. */
void quarantine_words_fill (const QuarantineNews *news, sw_quarantine *words);
/* FALSE for words that say more than there can be. */
gboolean quarantine_words_read (const sw_quarantine *words, QuarantineNews *news);

#endif
