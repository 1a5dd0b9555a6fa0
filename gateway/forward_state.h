#ifndef GATEWAY_FORWARD_STATE_H
#define GATEWAY_FORWARD_STATE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/admission.h"
#include "core/call_terms.h"
#include "core/stream_pace.h"
#include "gateway/assignment.h"
#include "gateway/forward.h"

/* One request on its way, as forward.c (where it goes) and relay.c (what comes
   back) share it. */

struct caller;
struct event_stream;
struct upstream;
struct upstream_handlers;

enum {
    FORWARD_MAX_TRIED = 8 /* endpoints of one request */
};

enum response_state {
    RESPONSE_NONE,
    RESPONSE_BUFFERED, /* kept until it is whole */
    RESPONSE_EVENTS, /* a stream of events; its head is sent with the first */
    RESPONSE_CHUNKS, /* passed on in pieces as they come */
};

struct forwarder {
    struct forwarder_deps deps;
    struct forwarder_settings settings;
    GHashTable *budgets; /* service to struct attempt_budget */
    GRand *random;
    GQueue waiting; /* struct forward, until a configuration is known */
    struct loop_timer *resume_timer;
};

struct forward {
    struct forwarder *forwarder;
    struct caller *caller;
    struct call_terms terms;
    GByteArray
        *common_head; /* head to the endpoint, as far as it is the same */
    char *method;
    char *target;
    const GByteArray *body;
    struct catalog *catalog;
    struct admitted admitted;
    uint64_t started_ms;
    uint64_t deadline_ms;
    struct loop_timer *timer;
    bool waiting; /* no configuration was known yet */
    /* The attempt in progress. */
    struct upstream *upstream;
    struct assignment assignment;
    /* All attempts. */
    char *tried_ids[FORWARD_MAX_TRIED];
    uint32_t tried_count;
    uint32_t attempts;
    uint32_t unreachable;
    bool may_have_run;
    uint32_t expected_wait_ms; /* expected until there is room; 0: not known */
    /* The answer. */
    enum response_state response;
    uint32_t status;
    bool head_sent;
    bool paused;
    GByteArray *response_head;
    GByteArray *response_body;
    struct event_stream *events;
    struct stream_pace pace;
};

enum attempt_result {
    ATTEMPT_NOT_SENT,     /* the endpoint has not seen the request */
    ATTEMPT_REJECTED,     /* it has refused it */
    ATTEMPT_MAY_HAVE_RUN, /* it may have run it */
};

/* The caller's id of the request, for logs; "-": none. */
const char *forward_id(const struct forward *forward);

uint64_t forward_now_ms(const struct forward *forward);
struct peers *forward_peers(const struct forward *forward);

/* Whether the request may go to one more endpoint. */
bool forward_may_retry(const struct forward *forward);

/* The attempt has failed: tries again, or gives up. The request may be gone
   after it. */
void forward_end_attempt(struct forward *forward, enum attempt_result result,
                         const char *why);

#endif
