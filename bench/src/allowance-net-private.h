/*
 * Shared declarations of the simulated fleet. allowance-net.c has the nodes and their
 * messages; allowance-net-load.c has demand, injected faults and the worst window.
 */
#ifndef BENCH_ALLOWANCE_NET_PRIVATE_H
#define BENCH_ALLOWANCE_NET_PRIVATE_H

#include "allowance-net.h"

#define STEP_US (5 * MS_US)
#define STEPS_PER_S ((guint)(SECOND_US / STEP_US))
#define RUN_S 60u
#define STEPS (RUN_S * STEPS_PER_S)
#define WINDOW_S 5u
/* The clock is advanced by this before the run, so that the buckets are full. All nodes
   know each other. */
#define SETTLE_US (20 * SECOND_US)
#define TIMEOUT_US (60 * MS_US)
#define LENDER_SILENT_SKIP_US (500 * MS_US)
#define NOT_LENDER_SKIP_US (50 * MS_US)
#define STARTUP_US SECOND_US
#define FLEET_SIZE_KEPT_US (30 * SECOND_US)
/* The fault begins at FAULT_S. A cut lasts CUT_S; views change DETECT_S after its start
   and HEAL_S after its end. A new configuration reaches all nodes within CONFIG_S. */
#define FAULT_S 20u
#define CUT_S 15u
#define DETECT_S 5u
#define HEAL_S 2u
#define CONFIG_S 2u
/* Sizes of a request to a lender and of its answer, with RPC and record headers. */
#define LEND_REQUEST_BYTES 104.0
#define ANSWER_BYTES 44.0

#define LARGE_PER_S 264.0
#define HIGH_DEMAND 5.0
#define NORMAL_DEMAND 0.62

typedef struct
{
  char *name;
  guint hall;
  AllowanceBuckets *buckets;
  AllowanceCache *cache;
  AllowanceTerms terms;
  gint64 started_us;
  gint64 config_us; /* when the node receives the lowered allowance */
  /* The request to a lender that is in progress. */
  guint waiting;
  guint wanted;
  gint64 waits_since_us;
  gint64 asked_us;
  gint64 due_us; /* time of the answer or time-out; 0 if no request is in progress */
  gint lender;
} SimNode;

typedef struct
{
  const AllowanceCase *params;
  Clock *clock;
  GRand *rand;
  SimNode *nodes;
  guint halls;
  char **hall_names;
  GArray *views[2]; /* AllowanceNode: the nodes seen from hall 0, and from other halls */
  guint lenders[2][ALLOWANCE_LENDERS]; /* by view; indices into `nodes` */
  guint lender_counts[2];
  gint64 changed_us[2];
  gint64 fleet_size_until_us;
  gboolean cut;
  AllowanceTerms terms; /* the newest configuration */
  guint *passed;        /* requests let through, by step */
  guint asked;
  guint let;
  guint refused;
  guint messages;
  double reference_level;
  guint ideal;
  gint64 longest_wait_us;
} Sim;

extern const AllowanceRule sim_rule;

/* Returns the microseconds since the end of SETTLE_US. */
gint64 sim_now (const Sim *sim);
/* Rebuilds a view and its lenders after a change. */
void sim_fill_view (Sim *sim, guint view);
/* Starts or restarts a node with empty buckets. */
void sim_start_node (Sim *sim, SimNode *node);

/* Returns the node that receives the next request. */
SimNode *sim_pick_node (Sim *sim);
/* Returns the mean number of requests per second in the whole fleet. */
double sim_demand (const Sim *sim);
/* Returns a random number of arrivals, Poisson distributed. */
guint sim_arrivals (Sim *sim, double mean);
/* Applies the faults and configuration changes of a step. */
void sim_apply_faults (Sim *sim, guint step);
/* Returns the requests of the worst window, divided by the bound for a window. */
double sim_worst_window (const Sim *sim);

#endif
