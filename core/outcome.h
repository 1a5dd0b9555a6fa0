#ifndef CORE_OUTCOME_H
#define CORE_OUTCOME_H

/* Whether a request ran, and why it ended without a complete response. */

/* What is known of a request's execution when it ends. The caller gets it in
   the X-Dandelionfork-Outcome header. */
enum outcome {
    OUTCOME_NOT_RUN, /* the request did not start and never will */
    OUTCOME_RAN,     /* the endpoint started the request */
    OUTCOME_UNKNOWN, /* granted; it can't be known whether it started */
};

/* Why a request or a reservation ended; REASON_NONE if it succeeded. */
enum reason {
    REASON_NONE,
    REASON_OVERLOADED,      /* no capacity, or too long a wait for it */
    REASON_NO_ENDPOINT,     /* there is no candidate */
    REASON_TIME_LIMIT,      /* the time limit has passed */
    REASON_ENDPOINT_FAILED, /* unhealthy, failed or gave an invalid response */
    REASON_LINK_LOST,       /* the agent could not be reached in time */
    REASON_STALE_GRANT,     /* the offer expired before the whole grant came */
    /* Reserved under an older configuration, or for another pool. */
    REASON_OLD_GENERATION,
    REASON_LEAVING,    /* the agent is draining and takes no new work */
    REASON_CANCELLED,  /* the caller disconnected, or the entry gave up */
    REASON_STORE_DOWN, /* the key-value service can't confirm a claim */
    REASON_KEY_REUSED, /* the idempotency key was used for other content */
    /* From an agent: the request needs more KV memory than the engine has.
       From an entry: it needs more than the pool's engines have together, or
       its response, which the entry buffers, is longer than 8 MiB. */
    REASON_TOO_LARGE,
    REASON_COUNT,
};

/* Return a static lower-case name for logs and headers. */
const char *outcome_name(enum outcome outcome);
const char *reason_name(enum reason reason);

#endif
