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

enum answer_state {
    ANSWER_NONE,
    ANSWER_HELD,   /* kept until it is whole */
    ANSWER_EVENTS, /* a stream of events; its head is sent with the first */
    ANSWER_RAW,    /* passed on in pieces as they come */
};

struct forwards {
    struct forwards_parts parts;
    struct forwards_settings settings;
    GHashTable *budgets; /* service to struct attempt_budget */
    GRand *random;
    GQueue parked; /* struct forward, until a configuration is known */
    struct loop_timer *wake_timer;
};

struct forward {
    struct forwards *forwards;
    struct caller *caller;
    struct call_terms terms;
    GByteArray *common; /* head to the endpoint, as far as it is the same */
    char *method;
    char *target;
    const GByteArray *body;
    struct catalog *catalog;
    struct admitted admitted;
    uint64_t begun_ms;
    uint64_t ends_ms;
    struct loop_timer *timer;
    bool parked; /* no configuration was known yet */
    /* The attempt in progress. */
    struct upstream *upstream;
    struct assignment assignment;
    /* All attempts. */
    char *tried[FORWARD_MAX_TRIED];
    uint32_t tried_count;
    uint32_t sends;
    uint32_t unreached;
    bool may_have_run;
    uint32_t busy_ms; /* expected until there is room; 0: not known */
    /* The answer. */
    enum answer_state answer;
    uint32_t status;
    bool head_sent;
    bool paused;
    GByteArray *answer_head;
    GByteArray *held;
    struct event_stream *events;
    struct stream_pace pace;
};

enum attempt_result {
    ATTEMPT_UNREACHED, /* the endpoint has not seen the request */
    ATTEMPT_NOT_RUN,   /* it has refused it */
    ATTEMPT_BROKEN,    /* it may have run it */
};

/* The caller's id of the request, for logs; "-": none. */
const char *forward_id(const struct forward *forward);

uint64_t forward_now_ms(const struct forward *forward);
struct peers *forward_peers(const struct forward *forward);

/* Whether the request may go to one more endpoint. */
bool forward_may_send_again(const struct forward *forward);

/* The attempt has failed: tries again, or gives up. The request may be gone
   after it. */
void forward_end_attempt(struct forward *forward, enum attempt_result result,
                         const char *why);

#endif
