#ifndef CORE_OUTCOME_H
#define CORE_OUTCOME_H

/* What is known of a request's execution when its final answer is given. */

/* Stated to the caller in the X-Dandelionfork-Outcome header. */
enum outcome {
    OUTCOME_NOT_RUN, /* the request was never started and never will be */
    OUTCOME_RAN,     /* the endpoint has started or finished the request */
    OUTCOME_UNKNOWN, /* granted, and whether it started can't be learnt */
};

/* Why a request or a reservation ended without its answer. */
enum reason {
    REASON_NONE,
    REASON_OVERLOADED,      /* no room, or no hope within the time limit */
    REASON_NO_ENDPOINT,     /* no candidate is reachable */
    REASON_TIME_LIMIT,      /* the time limit has passed */
    REASON_ENDPOINT_FAILED, /* the endpoint failed or its answer was broken */
    REASON_LINK_LOST,       /* the agent could not be reached in time */
    REASON_STALE_GRANT,     /* the grant came after its offer had lapsed */
    REASON_OLD_GENERATION,  /* routed under an older configuration */
    REASON_LEAVING,         /* the endpoint is shutting down */
    REASON_CANCELLED,       /* the caller went away */
    REASON_STORE_DOWN,      /* the key-value service can't confirm a claim */
    REASON_KEY_REUSED,      /* the idempotency key was used otherwise */
    REASON_TOO_LARGE, /* needs more memory than the pool's engines have */
    REASON_COUNT,
};

/* Both return a static lower-case name for logs and headers. */
const char *outcome_name(enum outcome outcome);
const char *reason_name(enum reason reason);

#endif
