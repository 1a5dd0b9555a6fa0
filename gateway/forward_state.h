#ifndef GATEWAY_FORWARD_STATE_H
#define GATEWAY_FORWARD_STATE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/admission.h"
#include "core/availability.h"
#include "core/call_metadata.h"
#include "core/room.h"
#include "core/room_queue.h"
#include "core/stream_latency.h"
#include "gateway/assignment.h"
#include "gateway/crash_monitor.h"
#include "gateway/forward.h"

/* The state of one forwarded request, shared by forward.c, which chooses
   endpoints and sends the request, and relay.c, which returns the response to
   the caller. Loop thread only. Times are of loop_now_ms(). */

struct caller;
struct drain_admission;
struct event_stream;
struct upstream;
struct upstream_handlers;

enum {
    FORWARD_MAX_TRIED = 8 /* endpoints that one request is sent to */
};

enum response_state {
    RESPONSE_NONE,
    RESPONSE_BUFFERED, /* kept until it is complete */
    RESPONSE_EVENTS,   /* events; the head is sent with the first one */
    RESPONSE_CHUNKS,   /* relayed as it arrives */
};

struct forwarder {
    struct forwarder_deps deps;
    struct forwarder_settings settings;
    GHashTable *budgets; /* service name to struct attempt_budget, owned */
    GRand *random;
    GQueue waiting; /* struct forward, for the first configuration */
    struct loop_timer *resume_timer;
    GQueue catching_up;      /* struct forward, see forwarder_settings */
    struct room_queue *room; /* struct forward.room, waiting for engines */
    struct loop_timer *room_timer;
    GHashTable *ranks; /* service name to struct room_ranks, owned */
    struct drain_admission *drain;
    bool draining; /* no request waits any more */
};

struct forward {
    struct forwarder *forwarder;
    struct caller *caller;
    struct request_metadata metadata;
    GByteArray *common_head; /* part of the head that all attempts share */
    char *method;
    char *target;
    GByteArray *body;        /* borrowed from the caller */
    struct catalog *catalog; /* a reference, until the request ends */
    struct admitted admitted;
    char *digest; /* from request_digest(); NULL: not admitted yet */
    uint64_t started_ms;
    uint64_t deadline_ms;
    /* Ends the wait for a configuration; after that, runs at deadline_ms. */
    struct loop_timer *timer;
    bool waiting; /* in the forwarder's queue */
    bool catching_up;
    struct room_waiting room;
    uint64_t room_since_ms; /* when it began to wait there; 0: it has not */
    bool room_admitted;     /* it need not wait any more */
    /* The attempt in progress. */
    struct upstream *upstream; /* NULL: none */
    uint64_t sent_ms;
    /* Whom the endpoint that refuses the attempt names; NULL: none but itself.
       Borrowed from the assignment. */
    struct endpoint *helper_at_fault;
    struct assignment assignment;
    /* All attempts. */
    char *tried_ids[FORWARD_MAX_TRIED];
    uint32_t tried_count;
    uint32_t attempts;    /* sent to endpoints */
    uint32_t unreachable; /* endpoints that gave no connection or no hold */
    bool may_have_run;
    uint32_t expected_wait_ms; /* until it could be placed; 0: unknown */
    /* Why no endpoint may get it; set when it is placed. */
    struct availability unavailable;
    /* The response to the caller. */
    enum response_state response;
    uint32_t status;
    bool unframed; /* the end of the connection ends the response */
    bool has_length;
    uint64_t length_bytes; /* Content-Length, if it has one */
    bool head_sent;
    bool paused; /* the caller's queue is full; the upstream isn't read */
    uint64_t paused_ms;  /* when it was paused last */
    uint64_t held_up_ms; /* end of the last long pause; 0: none */
    GByteArray *response_head;
    GByteArray *response_body;
    struct event_stream *events;
    struct stream_latency latency;
};

enum attempt_result {
    ATTEMPT_NOT_SENT,     /* the endpoint has not received it */
    ATTEMPT_REJECTED,     /* the endpoint has refused to run it */
    ATTEMPT_MAY_HAVE_RUN, /* the endpoint may have run it */
    ATTEMPT_UNREAD,       /* as above, but its response was not read in time */
};

/* The caller's id of the request for logs, owned by the request; "-": none. */
const char *forward_id(const struct forward *forward);

/* Borrowed from the request. */
struct crash_suspects forward_suspects(const struct forward *forward);

uint64_t forward_now_ms(const struct forward *forward);
struct peers *forward_peers(const struct forward *forward);

/* Whether the request may be sent to one more endpoint, by its route, its
   number of attempts and the time left. */
bool forward_may_retry(const struct forward *forward);

/* Starts the first attempt or a retry. The request may be freed on return. */
void forward_dispatch(struct forward *forward);

/* Ends a failed attempt, then retries the request or answers it with an error.
   why is a short static text for logs. The request may be freed on return. */
void forward_end_attempt(struct forward *forward, enum attempt_result result,
                         const char *why);

#endif
