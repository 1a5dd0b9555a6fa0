#ifndef CORE_BINDING_H
#define CORE_BINDING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/message.h"
#include "core/outcome.h"

/* The entry's decisions about one request: reservations at a few candidate
   endpoints in stages, one grant, the answer put together and checked, and a
   truthful final result within the time limit. No input or output; each call
   takes the present monotonic time in milliseconds. */

struct binding;

enum {
    BINDING_MAX_CANDIDATES = 16
};

struct binding_settings {
    uint32_t first_candidates; /* reservations made at once */
    uint32_t widen_step;       /* reservations added at a time */
    uint32_t widen_ms;         /* time between two stages */
    uint32_t max_candidates;   /* up to BINDING_MAX_CANDIDATES */
    uint32_t resume_ms;        /* how long a lost link may be away */
    uint32_t max_attempts;
};

struct binding_request {
    struct request_id id;
    uint32_t time_limit_ms;
    bool repeatable;
    bool streamed; /* the caller gets the answer while it comes */
    bool keyed;    /* has an idempotency key, to be claimed */
};

struct binding_result {
    bool complete; /* the whole answer was delivered and checked */
    enum outcome outcome;
    enum reason reason;
    uint32_t retry_after_ms; /* 0 if complete */
};

/* Candidates are named by numbers of the owner's choice. None of these may
   destroy the binding. */
struct binding_ops {
    /* Fills nodes, the best first, and returns how many. */
    size_t (*candidates)(void *context, uint32_t attempt, uint32_t *nodes,
                         size_t max);
    /* Returns false if the candidate can't be reached now. */
    bool (*reserve)(void *context, uint32_t node, uint32_t attempt,
                    uint32_t budget_ms);
    void (*withdraw)(void *context, uint32_t node, uint32_t attempt);
    /* Only with a key: claim it for this offer, then call
       binding_claimed(). */
    void (*claim)(void *context, uint32_t node, uint32_t attempt);
    void (*grant)(void *context, uint32_t node, uint32_t attempt,
                  uint32_t budget_ms);
    void (*cancel)(void *context, uint32_t node, uint32_t attempt);
    void (*resume)(void *context, uint32_t node, uint32_t attempt,
                   uint64_t offset);
    /* May one more attempt be made? Takes it from the retry budget. */
    bool (*may_retry)(void *context);
    void (*head)(void *context, uint32_t status, const char *content_type);
    void (*data)(void *context, const uint8_t *bytes, size_t count);
    /* What came so far is void: the answer starts anew. */
    void (*restart)(void *context);
    /* The last call, exactly once unless the binding is abandoned. */
    void (*finish)(void *context, const struct binding_result *result);
};

struct binding *binding_create(const struct binding_settings *settings,
                               const struct binding_request *request,
                               const struct binding_ops *ops, void *context);
void binding_destroy(struct binding *binding);

void binding_start(struct binding *binding, uint64_t now_ms);

/* The claim belongs to another request with the same key: gives the offer
   back and joins the work granted there, to get the same answer. If that work
   proves not to have run, the binding goes on with attempts of its own. */
void binding_join(struct binding *binding, uint32_t node, uint32_t attempt,
                  uint64_t incarnation, uint64_t now_ms);

/* The work of the other request can't be asked about: its agent is gone. */
void binding_join_lost(struct binding *binding);

/* A frame from the agent of a node; incarnation is that agent's. */
void binding_message(struct binding *binding, uint32_t node,
                     uint64_t incarnation, const struct message *message,
                     uint64_t now_ms);

/* The result of a claim: ours, or a final refusal with a reason. */
void binding_claimed(struct binding *binding, bool ours, enum reason reason,
                     uint64_t now_ms);

/* The link to a node was lost or never came up; or it is silent although its
   agent has work of ours; or it is there again. */
void binding_link_down(struct binding *binding, uint32_t node,
                       uint64_t now_ms);
void binding_link_silent(struct binding *binding, uint32_t node,
                         uint64_t now_ms);
void binding_link_up(struct binding *binding, uint32_t node,
                     uint64_t incarnation, uint64_t now_ms);

/* The platform's list says that the node takes no new work. */
void binding_node_leaving(struct binding *binding, uint32_t node,
                          uint64_t now_ms);

/* The caller went away: ends everything without a result. */
void binding_abandon(struct binding *binding);

/* When binding_timeout() wants to be called. */
uint64_t binding_next_ms(const struct binding *binding);
void binding_timeout(struct binding *binding, uint64_t now_ms);

bool binding_is_done(const struct binding *binding);
uint32_t binding_attempt(const struct binding *binding);
/* The attempt that was granted; another request's if it was joined. */
uint32_t binding_bound_attempt(const struct binding *binding);
/* The node the request is bound to; false if none. */
bool binding_bound_node(const struct binding *binding, uint32_t *node);
/* Bytes of the answer that have come, for credits. */
uint64_t binding_received_bytes(const struct binding *binding);

#endif
