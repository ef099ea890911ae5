/*
 * What the files of the simulated fleet share: allowance-net.c the nodes and their
 * messages, allowance-net-load.c what comes, what happens, and what is counted.
 */
#ifndef BENCH_ALLOWANCE_NET_PRIVATE_H
#define BENCH_ALLOWANCE_NET_PRIVATE_H

#include "allowance-net.h"

#define STEP_US (5 * MS_US)
#define STEPS_PER_S ((guint)(SECOND_US / STEP_US))
#define RUN_S 60u
#define STEPS (RUN_S * STEPS_PER_S)
#define WINDOW_S 5u
/* Before it everyone knows everyone, and buckets have filled. */
#define SETTLE_US (20 * SECOND_US)
#define TIMEOUT_US (60 * MS_US)
#define LENDER_SILENT_SKIP_US (500 * MS_US)
#define NOT_LENDER_SKIP_US (50 * MS_US)
#define STARTUP_US SECOND_US
#define MOST_KEPT_US (30 * SECOND_US)
/* When trouble begins, how long it lasts, and how long until it is known. */
#define TROUBLE_S 20u
#define CUT_S 15u
#define DETECT_S 5u
#define HEAL_S 2u
#define CONFIG_S 2u
/* Of a question and its answer, with the heads of RPC and record. */
#define QUESTION_BYTES 104.0
#define ANSWER_BYTES 44.0

#define LARGE_PER_S 264.0
#define FLOOD 5.0
#define USUAL 0.62

typedef struct
{
  char *name;
  guint hall;
  AllowanceBook *book;
  AllowanceCache *cache;
  AllowanceTerms terms;
  gint64 started_us;
  gint64 config_us; /* when it hears of the lowered allowance */
  /* The question on its way. */
  guint waiting;
  guint wanted;
  gint64 waits_since_us;
  gint64 asked_us;
  gint64 due_us; /* of its answer; 0 for none */
  gint lender;
} SimNode;

typedef struct
{
  const AllowanceCase *it;
  Clock *clock;
  GRand *rand;
  SimNode *nodes;
  guint halls;
  char **hall_names;
  GArray *views[2]; /* of AllowanceNode: what hall 0 sees, what the others see */
  guint lenders[2][ALLOWANCE_LENDERS]; /* by view, as places */
  guint lender_counts[2];
  gint64 changed_us[2];
  gint64 most_until_us;
  gboolean cut;
  AllowanceTerms terms; /* those in force */
  guint *passed;        /* by step */
  guint asked;
  guint let;
  guint refused;
  guint messages;
  double ideal_level;
  guint ideal;
  gint64 moved_us;
} Sim;

extern const AllowanceRule sim_rule;

/* Since everyone knows everyone. */
gint64 sim_now (const Sim *sim);
/* What a view sees, and who lends by it; whenever that changes. */
void sim_fill_view (Sim *sim, guint view);
/* A node begins a new life. */
void sim_start_node (Sim *sim, SimNode *node);

/* Where the next request comes, and how many a second do. */
SimNode *sim_pick_node (Sim *sim);
double sim_demand (const Sim *sim);
/* A random number of requests of that mean. */
guint sim_arrivals (Sim *sim, double mean);
/* What happens to nodes and views at a step. */
void sim_trouble (Sim *sim, guint step);
/* The worst window over what is allowed in one. */
double sim_worst_window (const Sim *sim);

#endif
