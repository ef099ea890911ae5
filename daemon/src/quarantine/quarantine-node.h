/*
 * The node's side of the quarantine (core/quarantine.h): it takes the crashes and answers
 * that its own sidecar observes and the updates of other nodes, and logs changes. The
 * ingress checks a request here before sending it on, the sidecar before starting it.
 */
#ifndef DAEMON_QUARANTINE_NODE_H
#define DAEMON_QUARANTINE_NODE_H

#include <core/quarantine.h>
#include <json-glib/json-glib.h>
#include <wire/message.h>

#include "node.h"

typedef struct QuarantineNode QuarantineNode;

/* A request's fingerprints, computed only as far as they are needed. A zeroed struct has
   none. */
typedef struct
{
  gboolean has_body;
  guint worst; /* index of the fingerprint with the worst verdict, after a check */
  Fingerprints prints;
} RequestFingerprints;

/* Called when there are updates to disseminate soon. */
typedef void (*QuarantineNotifyFunc) (gpointer data);

QuarantineNode *quarantine_node_create (Node *node);
void quarantine_node_destroy (QuarantineNode *quarantine);
void quarantine_node_set_notify (QuarantineNode *quarantine,
                                 QuarantineNotifyFunc func,
                                 gpointer data);

/* Returns whether the quarantine has entries for the service. Only then are the next
   three functions called, so that other requests need no fingerprint. */
gboolean quarantine_node_watches (const QuarantineNode *quarantine, const char *service);

/* Returns the worst verdict on any of the request's fingerprints. Those that `print`
   lacks are computed from `words`. */
QuarantineVerdict quarantine_node_check (QuarantineNode *quarantine,
                                         RequestFingerprints *print,
                                         const FingerprintInput *words);

/* Returns whether the sidecar may start a request. A quarantined request may start only
   as a trial that is due, if the attempt was `offered` as one. `*trial` is set only for a
   quarantined request: to whether it starts as a trial. */
gboolean quarantine_node_admits (QuarantineNode *quarantine,
                                 RequestFingerprints *print,
                                 const FingerprintInput *words,
                                 gboolean offered,
                                 gboolean *trial,
                                 gint64 *retry_after_us);

/* Notes that a request has had a good answer from a target of this VM. */
void quarantine_node_note_answer (QuarantineNode *quarantine,
                                  RequestFingerprints *print,
                                  const FingerprintInput *words);
/* Notes that a trial on this VM ended with neither a good answer nor a crash. */
void quarantine_node_trial_undecided (QuarantineNode *quarantine,
                                      const Fingerprints *prints);

/* Notes that a target of this VM crashed while it ran these requests (Fingerprint).
   `version` is that of its software, NULL if not known. */
void quarantine_node_note_end (QuarantineNode *quarantine,
                               const char *service,
                               const char *version,
                               const GArray *requests);
/* Notes the version of the service's software that a target of this VM runs. */
void quarantine_node_note_version (QuarantineNode *quarantine,
                                   const char *service,
                                   const char *version);

/* Adds updates to a message for the member `to`, NULL if the receiver is not known.
   quarantine_node_clear_gossip frees them. */
void quarantine_node_fill_gossip (QuarantineNode *quarantine,
                                  const char *to,
                                  sw_gossip *message);
void quarantine_node_clear_gossip (sw_gossip *message);
/* Merges the updates of a message. Returns TRUE if they changed something and have to be
   disseminated. */
gboolean quarantine_node_merge_gossip (QuarantineNode *quarantine,
                                       const sw_gossip *message);
QuarantineUrgency quarantine_node_urgency (const QuarantineNode *quarantine);

/* Called periodically: quarantines and forgets entries whose time has come. */
void quarantine_node_tick (QuarantineNode *quarantine);

/* Lifts the quarantine of a request on an operator's command. `digits` are the first of
   its fingerprint. Returns FALSE if no entry or several entries match. */
gboolean quarantine_node_lift (QuarantineNode *quarantine, const char *digits);

/* Returns the number of quarantined requests. */
guint quarantine_node_held (const QuarantineNode *quarantine);

/* Appends an array of all entries. */
void quarantine_node_write (const QuarantineNode *quarantine, JsonBuilder *builder);

#endif
