/*
 * A node's part in the quarantine (core/quarantine.h): what its own sidecar sees, what
 * others tell, what is logged of it. Ingress and sidecar ask here before a request is
 * sent on or started.
 */
#ifndef DAEMON_QUARANTINE_NODE_H
#define DAEMON_QUARANTINE_NODE_H

#include <core/quarantine.h>
#include <json-glib/json-glib.h>
#include <wire/message.h>

#include "node.h"

typedef struct QuarantineNode QuarantineNode;

/* A request's fingerprints, made only as far as they are needed. A zeroed one has none.
 */
typedef struct
{
  gboolean has_body;
  guint worst; /* which of the prints most is known of, after a check */
  Fingerprints prints;
} RequestPrint;

/* Told that there is news to be spread soon. */
typedef void (*QuarantineNewsFunc) (gpointer data);

QuarantineNode *quarantine_node_create (Node *node);
void quarantine_node_destroy (QuarantineNode *quarantine);
void quarantine_node_set_news (QuarantineNode *quarantine,
                               QuarantineNewsFunc func,
                               gpointer data);

/* Whether requests to the service may be known: the three that follow are asked only
   then, so that nothing is made of requests that nothing is known of. */
gboolean quarantine_node_watches (const QuarantineNode *quarantine, const char *service);

/* What may become of a request now; `words` are read where the print lacks something. */
QuarantineVerdict quarantine_node_check (QuarantineNode *quarantine,
                                         RequestPrint *print,
                                         const FingerprintWords *words);

/* The sidecar is about to start a request: whether it may; `*trial` becomes TRUE where
   this is the trial of one that is held back, which only an attempt that offers itself
   is. */
gboolean quarantine_node_admits (QuarantineNode *quarantine,
                                 RequestPrint *print,
                                 const FingerprintWords *words,
                                 gboolean offered,
                                 gboolean *trial,
                                 gint64 *retry_after_us);

/* A request has run to a good answer here. */
void quarantine_node_note_answer (QuarantineNode *quarantine,
                                  RequestPrint *print,
                                  const FingerprintWords *words);
/* A trial here came to neither an answer nor an end. */
void quarantine_node_trial_undecided (QuarantineNode *quarantine,
                                      const Fingerprints *prints);

/* A target of this VM has ended under these requests (Fingerprint); `version` is of its
   software, NULL for not known. */
void quarantine_node_note_end (QuarantineNode *quarantine,
                               const char *service,
                               const char *version,
                               const GArray *requests);
/* A target of this VM runs a version of its service's software. */
void quarantine_node_note_version (QuarantineNode *quarantine,
                                   const char *service,
                                   const char *version);

/* News for `to` (NULL for nobody known) on a message, which quarantine_node_drop_news
   frees; and what a message brings: TRUE when it is to be told on. */
void
quarantine_node_put_news (QuarantineNode *quarantine, const char *to, sw_gossip *message);
void quarantine_node_drop_news (sw_gossip *message);
gboolean quarantine_node_take_news (QuarantineNode *quarantine, const sw_gossip *message);
QuarantineUrgency quarantine_node_urgency (const QuarantineNode *quarantine);

/* What time brings about. */
void quarantine_node_tick (QuarantineNode *quarantine);

/* An operator lets a request go, by its first digits; FALSE for none or several. */
gboolean quarantine_node_lift (QuarantineNode *quarantine, const char *digits);

/* Requests that are held back now. */
guint quarantine_node_held (const QuarantineNode *quarantine);

/* Appends the list of what is known. */
void quarantine_node_write (const QuarantineNode *quarantine, JsonBuilder *builder);

#endif
