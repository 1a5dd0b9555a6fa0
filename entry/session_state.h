#ifndef ENTRY_SESSION_STATE_H
#define ENTRY_SESSION_STATE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/message.h"
#include "entry/prompt.h"
#include "entry/session.h"

/* The state of sessions, shared by session.c, which binds a request to an
   endpoint and sends its response, and session_route.c, which checks it and
   finds its route. Loop thread only. */

struct drain_admission;
struct group;
struct request;
struct retry_budget;

struct sessions {
    struct loop *loop;
    struct sessions_settings settings;
    struct members *members;
    struct requests *requests;
    struct worker_pool *workers;
    struct claims *claims;
    struct endpoint_crashes *crashes;
    GRand *rand;
    GHashTable *retry_budgets; /* route name to struct retry_budget */
    struct drain_admission *drain;
};

struct session {
    struct sessions *sessions;
    struct exchange *exchange; /* NULL: closed while calls were pending */
    uint32_t pending_calls;    /* callbacks that are still to come */
    bool disconnected;         /* the caller has disconnected */
    uint64_t started_ms;

    /* From the request. */
    char *account;
    GBytes *body;
    struct prompt prompt;
    const char *parse_error;

    /* Set while the request is routed. */
    enum work_class work_class;
    bool repeatable;
    bool streamed; /* the response is sent as it arrives */
    char *pool;
    char *route;
    uint64_t prompt_tokens;
    uint64_t affinity;
    uint32_t time_limit_ms;
    char *claim_key; /* in the key-value service; NULL: no claim */
    /* Modification index of the claim of the request that this one joined. A
       later attempt of this session replaces that claim. 0: none. */
    uint64_t claim_index;
    uint64_t fingerprint;
    char *digest; /* from request_digest(); NULL: not routed yet */

    struct request *request; /* NULL: not started, or waits for a group */
    struct group *group;     /* NULL: one engine is enough */
    uint32_t group_attempts;
    bool responded;

    uint32_t status;
    char content_type[MESSAGE_NAME_BYTES];
    GByteArray *response_body; /* buffered, unless streamed */
    uint64_t reserved_bytes;   /* for response_body */
    bool too_large;            /* the rest of the response is dropped */
    bool streaming;            /* the head has been sent to the caller */
};

/* Called once in each pending callback. Returns false if the caller has
   disconnected or the exchange has ended; the session may then have been
   freed. */
bool session_complete_call(struct session *session);

/* Responds that the request is not run. */
void session_refuse(struct session *session, uint32_t status, const char *code,
                    const char *message, uint32_t retry_after_ms);
void session_refuse_bad_request(struct session *session, uint32_t status,
                                const char *message);

struct retry_budget *session_retry_budget(struct sessions *sessions,
                                          const char *route);

/* Whether the request is under quarantine, and for how long. left_ms may be
   NULL. */
bool session_is_quarantined(const struct session *session, uint32_t *left_ms);

/* At least 1. */
uint32_t session_time_left_ms(const struct session *session);

/* With a group, node is where the prompt runs, memory_tokens its memory there
   and parts the group's holds. parts is NULL without a group; any node of the
   pool may then run the request. */
void session_start_request(struct session *session, uint32_t node,
                           uint64_t memory_tokens, const char *parts);

/* Starts a prompt that needs the memory of several engines. */
void session_begin_group(struct session *session);

#endif
