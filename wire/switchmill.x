/*
 * Messages between the nodes of a fleet (ONC RPC, RFC 5531; XDR, RFC 4506).
 *
 * Times: *_us are microseconds, of a node's own clock or of a span as the field says; *_ms
 * are spans in milliseconds. No field holds a wall-clock time.
 */

const SW_NAME_MAX = 64;
const SW_BODY_MAX = 16777216;
const SW_TEXT_MAX = 16384;
const SW_HEADERS_MAX = 128;
const SW_STATES_MAX = 256;
const SW_RUMOURS_MAX = 64;
const SW_VERDICTS_MAX = 64;
const SW_REGISTRATIONS_MAX = 1;
const SW_DEPARTED_MAX = 4;
const SW_PAYLOAD_MAX = 2048;
const SW_STATE_MAX = 1024;
const SW_BUCKETS = 64;
const SW_MEMBERS_MAX = 4096;
const SW_QUARANTINE_MAX = 4;
const SW_ENDS_MAX = 6;
const SW_EVACUATED_MAX = 16;
const SW_NEVER = 4294967295;
/* In place of a named rate: the target names none; nothing is known. */
const SW_RATE_NONE = 4294967295;
const SW_RATE_UNKNOWN = 4294967294;

/* One attempt at a request. It is unique for ever, because a node never reuses an
   incarnation. */
struct sw_attempt {
  string node<SW_NAME_MAX>;
  unsigned hyper incarnation;
  unsigned hyper counter;
};

struct sw_header {
  string name<256>;
  string value<SW_TEXT_MAX>;
};

/* A sidecar's state of one of its targets, sent in the answers to SW_HELLO, SW_SUBMIT and
   SW_FENCE. */
struct sw_target_state {
  string target<SW_NAME_MAX>;
  unsigned int serial;        /* rises with each change during one incarnation */
  unsigned int in_use;
  unsigned int limit;
  unsigned int queued;
  unsigned int latency_us;    /* recent mean time of the target's answers */
  unsigned int failures_ppm;  /* recent failures per million answers */
  unsigned int samples;       /* number of answers behind these two figures */
  unsigned int severity;      /* 0 healthy; higher is worse */
  bool slow;                  /* sick only because it is slow: its answers are good */
  bool draining;
  bool shedding;              /* it has refused requests although it had free slots */
  bool abrupt;                /* sick, and it breaks off requests at once */
  unsigned int rate_milli;    /* the rate that it has named, in thousandths of a request a
                                 second, or SW_RATE_NONE or SW_RATE_UNKNOWN */
  bool announced_leaving;     /* it has said in an answer that it leaves */
};

/* The sidecar's clock and incarnation at the time of the answer. */
struct sw_stamp {
  string node<SW_NAME_MAX>;
  unsigned hyper incarnation;
  unsigned hyper clock_us;
};

/* The gossip about a target that is not healthy, or has not always been healthy. */
struct sw_verdict {
  unsigned int serial;        /* of the target's state at the time of the verdict */
  unsigned int severity;
  unsigned int flags;         /* SW_VERDICT_* */
};

const SW_VERDICT_DRAINING = 1;
const SW_VERDICT_SHEDDING = 2;
const SW_VERDICT_ABRUPT = 4;

typedef string sw_target_name<SW_NAME_MAX>;

/* A target that has registered itself with its node. */
struct sw_registration {
  string target<SW_NAME_MAX>;
  string service<SW_NAME_MAX>;
  unsigned int slots;
  bool leaving;
};

/*
 * The payload of a rumour, which seldom changes: the targets of the state's verdicts, in the
 * order of the verdicts, the targets that have registered themselves, of which at most one
 * is serving, and the starts of targets on the member's VM that have announced their end.
 */
struct sw_member_payload {
  sw_target_name targets<SW_VERDICTS_MAX>;
  sw_registration registrations<SW_REGISTRATIONS_MAX>;
  sw_target_name departed<SW_DEPARTED_MAX>;
};

/* The state of a rumour, which changes when targets become sick and recover. */
struct sw_member_state {
  sw_verdict verdicts<SW_VERDICTS_MAX>;
};

/*
 * Gossip about one member. A higher epoch supersedes a lower one, then a higher status, then
 * a higher serial. Only the member itself raises its epoch and its serial.
 */
struct sw_rumour {
  string node<SW_NAME_MAX>;
  string hall<SW_NAME_MAX>;
  string address<SW_NAME_MAX>;  /* IP address and RPC port */
  unsigned hyper incarnation;   /* random, new with each start */
  unsigned int epoch;
  unsigned int status;
  unsigned int serial;
  unsigned int payload_serial;  /* the serial at which the payload last changed */
  opaque payload<SW_PAYLOAD_MAX>;
  opaque state<SW_STATE_MAX>;
};

/* A rumour for nodes that know the member, without its name, hall, address and payload. */
struct sw_member_delta {
  unsigned int id;              /* a hash of the node's name */
  unsigned int incarnation;     /* its low 32 bits */
  unsigned int epoch;
  unsigned int status;
  unsigned int serial;
  unsigned int payload_serial;
  opaque state<SW_STATE_MAX>;
};

/* The first call of a connection: the caller, as in gossip, and the fleet's token. */
struct sw_hello_args {
  sw_rumour from;
  string token<256>;
};

struct sw_hello_res {
  bool welcome;
  sw_stamp stamp;
  sw_target_state states<SW_STATES_MAX>;
};

/* A request is sent at once, or only after a slot has been reserved for it. */
enum sw_phase {
  SW_WHOLE = 0,       /* the whole request */
  SW_ASK = 1,         /* asks for a slot to be reserved; without headers and body */
  SW_HELD_SUBMIT = 2  /* the request for which a slot is reserved */
};

struct sw_submit_args {
  sw_attempt attempt;
  unsigned hyper sidecar;      /* the incarnation of the sidecar that is addressed */
  unsigned hyper clock_us;     /* the sidecar's clock as last seen by the sender */
  string target<SW_NAME_MAX>;
  string tenant<SW_NAME_MAX>;
  sw_phase phase;
  unsigned int remaining_ms;
  unsigned int priority;       /* 0 first */
  bool repeatable;
  unsigned int retry;          /* its kind for the retry budget, numbered as in retry.h */
  bool even_sick;              /* the ingress knows that the target counts as sick */
  bool may_queue;              /* if not set, it is refused unless it can start at once */
  unsigned int wait_ms;        /* it is refused rather than wait longer; 0 for no bound */
  unsigned int slack_ms;       /* wait that still allows an answer within its objective */
  bool trial;                  /* sent only to learn whether the target is still sick */
  bool proved_only;            /* refused unless the target lately kept a request; see proof.h */
  unsigned int route;          /* a hash of the route's class */
  unsigned int sibling_fit;    /* the route's fit at the service's targets, packed as in latency.h */
  unsigned int rate_milli;     /* the rate that the ingress remembers the target to have
                                  named, or SW_RATE_UNKNOWN */
  unsigned int sibling_failures_ppm; /* median of their failures; 0 for unknown */
  string method<32>;
  string path<SW_TEXT_MAX>;
  sw_header headers<SW_HEADERS_MAX>;
  opaque body<SW_BODY_MAX>;
};

enum sw_result {
  SW_DONE = 0,        /* the target's complete answer */
  SW_REFUSED = 1,     /* proof that the request did not run and will not run */
  SW_FAILED = 2,      /* sent to the target, without a complete answer */
  SW_STARTED = 3,     /* fence only: still running */
  SW_UNKNOWN = 4,     /* fence only: too old to be known, or the table is full */
  SW_HELD = 5         /* answer to SW_ASK only: a slot is reserved for a short time */
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
  SW_REASON_EVACUATED = 21,
  SW_REASON_RATE_LIMITED = 22
};

struct sw_answer {
  unsigned int status;
  sw_header headers<SW_HEADERS_MAX>;
  opaque body<SW_BODY_MAX>;
};

struct sw_submit_res {
  sw_attempt attempt;          /* echoed; an answer with another attempt is dropped */
  sw_result result;
  sw_reason reason;
  unsigned int retry_after_ms;
  unsigned int target_us;      /* time that the target took */
  unsigned int route_fit;      /* the route's fit at this target, packed as in latency.h; 0 for none */
  sw_answer answer;
  sw_stamp stamp;
  sw_target_state state;
};

struct sw_fence_args {
  sw_attempt attempt;
  unsigned hyper sidecar;
  unsigned hyper clock_us;
  string target<SW_NAME_MAX>;
  unsigned int wait_ms;        /* how long the answer may be delayed while the attempt runs */
};

/* A crash of a target under a request. The node that saw it chose a random id. */
struct sw_target_end {
  unsigned int id;
  unsigned int age_ms;
};

/* An entry for a request under which targets have crashed; see quarantine.h. */
struct sw_quarantine {
  unsigned hyper head;          /* the halves of its fingerprint; see fingerprint.h */
  unsigned hyper body;
  unsigned int service;         /* hashes */
  unsigned int software;        /* a hash of the version that crashed last */
  unsigned int epoch;
  unsigned int cleared_age_ms;  /* SW_NEVER if it has not been cleared */
  unsigned int held_age_ms;     /* SW_NEVER if it is not quarantined */
  unsigned int turn;
  unsigned int trials;
  int due_in_ms;
  sw_target_end ends<SW_ENDS_MAX>;
};

typedef string sw_hall_name<SW_NAME_MAX>;

/* The data halls that are evacuated, as read from the store at one time. Readings are
   ordered by era, then by revision, and a newer one replaces an older one as a whole. */
struct sw_evacuations {
  unsigned hyper era;
  unsigned hyper revision;      /* 0 for unknown */
  sw_hall_name halls<SW_EVACUATED_MAX>;
};

/* A probe or its answer, in one datagram. */
struct sw_gossip {
  unsigned hyper seal;          /* a digest of the fleet's token */
  string from<SW_NAME_MAX>;
  unsigned hyper generation;    /* of the configuration in force at the sender */
  unsigned hyper digest;        /* of the sender's view of members */
  string subject<SW_NAME_MAX>;  /* for SW_PROBE_VIA: the node to probe */
  sw_rumour rumours<SW_RUMOURS_MAX>;
  sw_member_delta deltas<SW_RUMOURS_MAX>;
  unsigned int quarantine_digest; /* of the sender's list; 0 for an empty one */
  sw_quarantine quarantine<SW_QUARANTINE_MAX>;
  sw_evacuations evacuations;
  unsigned hyper store_era;     /* of the platform's store; 0 for unknown */
  sw_target_name departed<SW_DEPARTED_MAX>; /* starts of targets on the receiver's VM that
                                               have announced their end */
};

/* Cancels an attempt whose answer is no longer wanted. */
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
  opaque part<1048576>;        /* compressed as in pack.h */
};

/* A node's question for more requests of an account's allowance. */
struct sw_allow_args {
  string account<SW_NAME_MAX>;
  unsigned int wanted;
  unsigned hyper generation;   /* of the configuration with these terms */
  unsigned int per_s_milli;    /* the account's allowance, in thousandths of a request */
  unsigned int burst_milli;
};

struct sw_allow_res {
  bool lender;                 /* the node is a lender for this account, by its own view */
  unsigned int lent;
  unsigned int retry_after_ms; /* when to ask again, if fewer than wanted were lent */
};

/* A start of a target on the caller's VM that has announced its end. */
struct sw_depart_args {
  string start<SW_NAME_MAX>;
};

/* The answer of a node to which a watcher delegates its duty. */
struct sw_delegate_res {
  bool watching;               /* the store has answered the node, which watches it now */
};

/* A comparison of member views, with one digest for each bucket of members. */
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
    void SW_UPDATES (sw_gossip) = 12;  /* has no answer */
    sw_allow_res SW_ALLOW (sw_allow_args) = 13;
    sw_delegate_res SW_DELEGATE (void) = 14;  /* the caller is to watch the store and does
                                                 not reach it */
    void SW_DEPART (sw_depart_args) = 15;  /* answered once the platform's store holds the
                                              end; without one, once the callee does */
    void SW_LEAVE (void) = 10;  /* the platform announces that the callee's VM will leave */
  } = 1;
} = 0x20057a11;
