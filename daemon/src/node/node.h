/*
 * The state shared by the parts of a node. Each part is opaque and has its own header.
 */
#ifndef DAEMON_NODE_H
#define DAEMON_NODE_H

#include <core/balancer.h>
#include <core/departures.h>
#include <core/fingerprint.h>
#include <core/members.h>
#include <core/settings.h>
#include <io/http-client.h>
#include <io/loop.h>
#include <io/mem-account.h>
#include <io/rpc.h>
#include <io/worker.h>

#include "events.h"
#include "fleet-list.h"
#include "metrics.h"
#include "traffic.h"

typedef struct Peers Peers;
typedef struct PeerReads PeerReads;
typedef struct Gossip Gossip;
typedef struct ConfigSync ConfigSync;
typedef struct Sidecar Sidecar;
typedef struct Ingress Ingress;
typedef struct Operators Operators;
typedef struct VmList VmList;
typedef struct Registry Registry;
typedef struct PathProbes PathProbes;
typedef struct AccountStats AccountStats;
typedef struct Allowances Allowances;
typedef struct QuarantineNode QuarantineNode;
typedef struct PlatformEra PlatformEra;
typedef struct Readiness Readiness;
typedef struct MetricsListener MetricsListener;
struct Adapter;

typedef struct
{
  const Settings *settings;
  const struct Adapter *adapter;
  ServiceDefaults defaults; /* from the settings as last reloaded */
  Clock *clock;
  Loop *loop;
  Worker *worker; /* runs jobs that would block the loop */
  GRand *rand;
  guint64 incarnation; /* random, new with each start */
  gint64 started_us;
  FingerprintKey *fingerprints;
  MemAccount *memory; /* what requests hold */
  Metrics *metrics;
  Traffic *traffic;
  Events *events;
  HttpClient *http;
  Members *members;
  Departures *departures; /* of targets, as all nodes have told */
  FleetList *list;        /* the platform's list of the fleet's nodes */
  Balancer *balancer;
  Peers *peers;
  PeerReads *reads;
  PathProbes *paths;
  Gossip *gossip;
  ConfigSync *config;
  PlatformEra *era; /* of the platform's store */
  Sidecar *sidecar;
  QuarantineNode *quarantine;
  Allowances *allowances;
  AccountStats *account_stats;
  Ingress *ingress;
  Operators *operators;
  VmList *vm_list;                   /* NULL where the platform keeps no such list */
  Registry *registry;                /* NULL where targets do not register themselves */
  MetricsListener *metrics_listener; /* NULL for no such listener */
  Readiness *readiness;              /* NULL for no such listener */
  gpointer discovery;                /* the adapter's; NULL for none */
  gpointer halls;                    /* the adapter's; NULL for none */
  gboolean stopping;
  gint64 stop_began_us; /* while `stopping`, as the next */
  gint64 work_until_us; /* by when work that comes during the stop must have ended */
} Node;

#endif
