/*
 * Messages between the nodes of a fleet (ONC RPC, RFC 5531; XDR, RFC 4506).
 *
 * Times: *_us are microseconds of the clock of the node that the field names,
 * *_ms are spans in milliseconds. No field holds a wall-clock time.
 */

const SW_NAME_MAX = 64;
const SW_BODY_MAX = 16777216;
const SW_TEXT_MAX = 16384;
const SW_HEADERS_MAX = 128;
const SW_STATES_MAX = 256;
const SW_RUMOURS_MAX = 64;
const SW_VERDICTS_MAX = 64;
const SW_REGISTRATIONS_MAX = 1;
const SW_PAYLOAD_MAX = 2048;
const SW_STATE_MAX = 1024;
const SW_BUCKETS = 64;
const SW_MEMBERS_MAX = 4096;
const SW_QUARANTINE_MAX = 4;
const SW_ENDS_MAX = 6;
const SW_EVACUATED_MAX = 16;
const SW_NEVER = 4294967295;

/* One try at a request: unique for ever, for a node never reuses an incarnation. */
struct sw_attempt {
  string node<SW_NAME_MAX>;
  unsigned hyper incarnation;
  unsigned hyper counter;
};

struct sw_header {
  string name<256>;
  string value<SW_TEXT_MAX>;
};

/* What a sidecar says of one of its targets, in each answer and in gossip. */
struct sw_target_state {
  string target<SW_NAME_MAX>;
  unsigned int serial;        /* rises with each change, within one incarnation */
  unsigned int in_use;
  unsigned int limit;
  unsigned int queued;
  unsigned int latency_us;    /* recent mean of the target's own answers */
  unsigned int failures_ppm;  /* recent failures in a million */
  unsigned int samples;       /* how many answers the two figures rest on */
  unsigned int severity;      /* 0 healthy; higher is worse */
  bool slow;                  /* sick by slowness alone: what it answers is good */
  bool draining;
  bool shedding;              /* it has turned work away though it had free slots */
  bool abrupt;                /* sick, and it breaks off at once what it is sent */
};

/* The sidecar's clock and incarnation at the moment of the answer. */
struct sw_stamp {
  string node<SW_NAME_MAX>;
  unsigned hyper incarnation;
  unsigned hyper clock_us;
};

/* What gossip tells of a target that is not, or was not always, simply well. */
struct sw_verdict {
  unsigned int serial;        /* of the target's state when this was said */
  unsigned int severity;
  unsigned int flags;         /* SW_VERDICT_* */
};

const SW_VERDICT_DRAINING = 1;
const SW_VERDICT_SHEDDING = 2;
const SW_VERDICT_ABRUPT = 4;

typedef string sw_target_name<SW_NAME_MAX>;

/* A target that has registered itself at the node beside it. */
struct sw_registration {
  string target<SW_NAME_MAX>;
  string service<SW_NAME_MAX>;
  unsigned int slots;
  bool leaving;
};

/*
 * The payload of a rumour, which seldom changes: the targets that the state's verdicts are
 * on, in their order, and the targets that registered themselves, at most one of them
 * serving.
 */
struct sw_member_payload {
  sw_target_name targets<SW_VERDICTS_MAX>;
  sw_registration registrations<SW_REGISTRATIONS_MAX>;
};

/* The state of a rumour, which changes as targets fall sick and recover. */
struct sw_member_state {
  sw_verdict verdicts<SW_VERDICTS_MAX>;
};

/*
 * One member as gossip tells it. A higher epoch wins, then a higher status, then a
 * higher serial; only the member itself raises its epoch and its serial.
 */
struct sw_rumour {
  string node<SW_NAME_MAX>;
  string hall<SW_NAME_MAX>;
  string address<SW_NAME_MAX>;  /* IP number and RPC port */
  unsigned hyper incarnation;   /* random, new with each start */
  unsigned int epoch;
  unsigned int status;
  unsigned int serial;
  unsigned int payload_serial;  /* the serial that the payload came with */
  opaque payload<SW_PAYLOAD_MAX>;
  opaque state<SW_STATE_MAX>;
};

/* A rumour for those who know the member: its name, addresses and payload left out. */
struct sw_brief {
  unsigned int id;              /* a hash of the name */
  unsigned int incarnation;     /* the low half */
  unsigned int epoch;
  unsigned int status;
  unsigned int serial;
  unsigned int payload_serial;
  opaque state<SW_STATE_MAX>;
};

/* Opens a connection: who calls, as gossip would tell it. */
struct sw_hello_args {
  sw_rumour from;
  string token<256>;
};

struct sw_hello_res {
  bool welcome;
  sw_stamp stamp;
  sw_target_state states<SW_STATES_MAX>;
};

/* A request may be sent whole, or only once a slot is held for it. */
enum sw_phase {
  SW_WHOLE = 0,       /* the request */
  SW_ASK = 1,         /* whether a slot can be held: without headers and body */
  SW_HELD_SUBMIT = 2  /* the request that a slot is held for */
};

struct sw_submit_args {
  sw_attempt attempt;
  unsigned hyper sidecar;      /* the incarnation addressed */
  unsigned hyper clock_us;     /* the sidecar's clock as the sender last saw it */
  string target<SW_NAME_MAX>;
  string tenant<SW_NAME_MAX>;
  sw_phase phase;
  unsigned int remaining_ms;
  unsigned int priority;       /* 0 first */
  bool repeatable;
  unsigned int retry;          /* what it is to the retry budget, as retry.h numbers it */
  bool even_sick;              /* the ingress knows that the target is held sick */
  bool may_queue;              /* else it is refused where it could not start at once */
  unsigned int wait_ms;        /* it had better be refused than wait longer; 0 for no such bound */
  unsigned int slack_ms;       /* it may wait so long and be answered within its objective */
  bool trial;                  /* and sends this only to learn whether it still is */
  bool proved_only;            /* it is refused unless the target has lately kept what it was sent */
  unsigned int route;          /* a hash of the route's class */
  unsigned int sibling_fit;    /* of its answers at the service's targets, as latency.h packs */
  unsigned int sibling_failures_ppm; /* their median; 0 for not known */
  string method<32>;
  string path<SW_TEXT_MAX>;
  sw_header headers<SW_HEADERS_MAX>;
  opaque body<SW_BODY_MAX>;
};

enum sw_result {
  SW_DONE = 0,        /* the target's whole answer */
  SW_REFUSED = 1,     /* proof that nothing ran, and that nothing will */
  SW_FAILED = 2,      /* sent to the target, without a whole answer */
  SW_STARTED = 3,     /* fence only: running still */
  SW_UNKNOWN = 4,     /* fence only: too old to tell, or no room to record */
  SW_HELD = 5         /* to SW_ASK only: a slot is held for a moment */
};

enum sw_reason {
  SW_REASON_NONE = 0,
  SW_REASON_OVERLOAD = 1,
  SW_REASON_DRAINING = 2,
  SW_REASON_INCARNATION = 3,
  SW_REASON_STALE = 4,
  SW_REASON_DEADLINE = 5,
  SW_REASON_NO_TARGET = 6,
  SW_REASON_DUPLICATE = 7,
  SW_REASON_FENCED = 8,
  SW_REASON_CONNECT = 9,
  SW_REASON_BROKEN = 10,
  SW_REASON_TIMEOUT = 11,
  SW_REASON_CROSSED = 12,
  SW_REASON_TOO_LARGE = 13,
  SW_REASON_TARGET_REFUSED = 14,
  SW_REASON_TARGET_FAILED = 15,
  SW_REASON_CANCELLED = 16,
  SW_REASON_SICK = 17,
  SW_REASON_BUDGET = 18,
  SW_REASON_UNPROVED = 19,
  SW_REASON_QUARANTINED = 20,
  SW_REASON_EVACUATED = 21
};

struct sw_answer {
  unsigned int status;
  sw_header headers<SW_HEADERS_MAX>;
  opaque body<SW_BODY_MAX>;
};

struct sw_submit_res {
  sw_attempt attempt;          /* echoed; one that differs is dropped */
  sw_result result;
  sw_reason reason;
  unsigned int retry_after_ms;
  unsigned int target_us;      /* time the target took */
  unsigned int route_fit;      /* of the route's answers there, as latency.h packs; 0 for none */
  sw_answer answer;
  sw_stamp stamp;
  sw_target_state state;
};

struct sw_fence_args {
  sw_attempt attempt;
  unsigned hyper sidecar;
  unsigned hyper clock_us;
  string target<SW_NAME_MAX>;
  unsigned int wait_ms;        /* how long the answer may be held while it runs */
};

/* A target's end under a request; its number is random, made where it was seen. */
struct sw_target_end {
  unsigned int id;
  unsigned int age_ms;
};

/* What is known of a request that targets have ended under, as quarantine.h has it. */
struct sw_quarantine {
  unsigned hyper head;          /* its fingerprint */
  unsigned hyper body;
  unsigned int service;         /* hashes */
  unsigned int software;        /* a hash of the version that ended last */
  unsigned int epoch;
  unsigned int cleared_age_ms;  /* SW_NEVER for not */
  unsigned int held_age_ms;     /* likewise */
  unsigned int turn;
  unsigned int trials;
  int due_in_ms;
  sw_target_end ends<SW_ENDS_MAX>;
};

typedef string sw_hall_name<SW_NAME_MAX>;

/* The data halls that are evacuated, read from the store at one moment: its era, then its
   revision. The newer of two replaces the older as a whole. */
struct sw_evacuations {
  unsigned hyper era;
  unsigned hyper revision;      /* 0 for not known */
  sw_hall_name halls<SW_EVACUATED_MAX>;
};

/* A probe or its answer, in one datagram. */
struct sw_gossip {
  unsigned hyper seal;          /* a digest of the fleet's token */
  string from<SW_NAME_MAX>;
  unsigned hyper generation;    /* of the configuration in force at the sender */
  unsigned hyper digest;        /* of the sender's view of members */
  string subject<SW_NAME_MAX>;  /* for SW_PROBE_VIA: whom to probe */
  sw_rumour rumours<SW_RUMOURS_MAX>;
  sw_brief briefs<SW_RUMOURS_MAX>;
  unsigned int quarantine_digest; /* of the sender's list; 0 for an empty one */
  sw_quarantine quarantine<SW_QUARANTINE_MAX>;
  sw_evacuations evacuations;
  unsigned hyper store_era;     /* of the platform's store; 0 for not known */
};

/* An attempt that nobody waits for any more. */
struct sw_cancel_args {
  sw_attempt attempt;
  unsigned hyper sidecar;
  unsigned hyper clock_us;
  string target<SW_NAME_MAX>;
  bool repeatable;
};

struct sw_head_res {
  unsigned hyper generation;
  opaque head<1048576>;
};

struct sw_part_args {
  string digest<SW_NAME_MAX>;
};

struct sw_part_res {
  bool found;
  opaque part<1048576>;        /* packed */
};

/* How many requests of an account a node wants to let through beyond what it has. */
struct sw_allow_args {
  string account<SW_NAME_MAX>;
  unsigned int wanted;
  unsigned hyper generation;   /* of the configuration that the terms are from */
  unsigned int per_s_milli;    /* the account's allowance, in thousandths of a request */
  unsigned int burst_milli;
};

struct sw_allow_res {
  bool lender;                 /* the node lends for this account, as far as it knows */
  unsigned int lent;
  unsigned int retry_after_ms; /* when to ask again, if less than wanted was lent */
};

/* A comparison of views: one digest for each bucket of members. */
struct sw_view_args {
  unsigned hyper buckets<SW_BUCKETS>;
};

/* The members in the buckets that differ. */
struct sw_view_res {
  sw_rumour rumours<SW_MEMBERS_MAX>;
};

program SWITCHMILL_PROGRAM {
  version SWITCHMILL_V1 {
    void SW_NULL (void) = 0;
    sw_hello_res SW_HELLO (sw_hello_args) = 1;
    sw_submit_res SW_SUBMIT (sw_submit_args) = 2;
    sw_submit_res SW_FENCE (sw_fence_args) = 3;
    sw_gossip SW_PROBE (sw_gossip) = 5;
    sw_gossip SW_PROBE_VIA (sw_gossip) = 6;
    sw_head_res SW_HEAD (void) = 7;
    sw_part_res SW_PART (sw_part_args) = 8;
    sw_view_res SW_VIEW (sw_view_args) = 9;
    void SW_CANCEL (sw_cancel_args) = 11;
    void SW_NEWS (sw_gossip) = 12;  /* not answered */
    sw_allow_res SW_ALLOW (sw_allow_args) = 13;
    void SW_LEAVE (void) = 10;  /* the platform says that the callee's VM leaves */
  } = 1;
} = 0x20057a11;
