#ifndef CORE_BINDING_H
#define CORE_BINDING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/message.h"
#include "core/outcome.h"

/* Late binding of one request at an entry, the process that accepts requests
   from callers (HTTP clients). The entry reserves at a few candidate nodes,
   adds more of them in stages, and grants the request to the node that offers
   capacity first. A node is an endpoint with its agent, the process in front
   of it. The binding then assembles and checks the response, and reports
   within the time limit whether the request ran.

   The module does no input or output of its own and isn't thread-safe. Every
   now_ms comes from one monotonic clock, in milliseconds. */

struct binding;

enum {
    BINDING_MAX_CANDIDATES = 16
};

struct binding_settings {
    uint32_t first_candidates; /* reservations made at once */
    uint32_t widen_step;       /* reservations added at each later stage */
    uint32_t widen_ms;         /* interval between stages */
    uint32_t max_candidates;   /* at most BINDING_MAX_CANDIDATES */
    /* How long to wait for a lost link. If the request isn't repeatable and
       the caller has received no part of the response body, the wait lasts
       until the time limit. */
    uint32_t resume_ms;
    uint32_t max_attempts; /* including the first */
};

struct binding_request {
    struct request_id id;
    uint32_t time_limit_ms;
    bool repeatable; /* running it twice does no harm */
    bool streamed;   /* the caller gets the response as it arrives */
    bool keyed;      /* an idempotency key must be claimed before the grant */
};

struct binding_result {
    bool complete; /* the whole response arrived, with the right checksum */
    enum outcome outcome;
    enum reason reason;
    uint32_t retry_after_ms; /* 0 if complete */
};

/* Callbacks; none of them may destroy the binding. The owner of the binding
   numbers the nodes. Budgets are the time that is left of the limit. */
struct binding_ops {
    /* Fills nodes with at most max candidates, the best first, and returns
       their number. */
    size_t (*candidates)(void *context, uint32_t attempt, uint32_t *nodes,
                         size_t max);
    /* Returns false if the node can't be reached now. */
    bool (*reserve)(void *context, uint32_t node, uint32_t attempt,
                    uint32_t budget_ms);
    /* Withdraws a reservation or declines an offer. */
    void (*withdraw)(void *context, uint32_t node, uint32_t attempt);
    /* Claims the idempotency key for the node's offer. The owner reports the
       result with binding_claimed(), binding_join() or binding_join_failed().
       Called only if the request is keyed. */
    void (*claim)(void *context, uint32_t node, uint32_t attempt);
    void (*grant)(void *context, uint32_t node, uint32_t attempt,
                  uint32_t budget_ms);
    /* Cancels a granted attempt. */
    void (*cancel)(void *context, uint32_t node, uint32_t attempt);
    /* Asks for the rest of the response from a byte offset, on a new link. */
    void (*resume)(void *context, uint32_t node, uint32_t attempt,
                   uint64_t offset);
    /* Returns whether the retry budget allows another attempt, and charges the
       budget if so. */
    bool (*may_retry)(void *context);
    /* Pass the owner the head of the response, and then its body in parts. */
    void (*head)(void *context, uint32_t status, const char *content_type);
    void (*data)(void *context, const uint8_t *bytes, size_t count);
    /* Discards what head() and data() passed; another attempt starts over. */
    void (*restart)(void *context);
    /* Reports the result. The last callback; it comes exactly once, unless the
       binding is abandoned. */
    void (*finish)(void *context, const struct binding_result *result);
};

struct binding *binding_create(const struct binding_settings *settings,
                               const struct binding_request *request,
                               const struct binding_ops *ops, void *context);
void binding_destroy(struct binding *binding);

/* Starts the time limit and the first attempt. */
void binding_start(struct binding *binding, uint64_t now_ms);

/* Reports that another request has claimed the key. The binding declines the
   offer and joins the work that was granted to the other request, to get the
   same response. If that work turns out not to have run, the binding makes
   further attempts of its own. node, attempt and incarnation (the agent's)
   identify the other grant. */
void binding_join(struct binding *binding, uint32_t node, uint32_t attempt,
                  uint64_t incarnation, uint64_t now_ms);

/* Reports that another request has claimed the key and that the agent which
   has its work can't be reached. The outcome is OUTCOME_UNKNOWN. */
void binding_join_failed(struct binding *binding);

/* Handles a message from the agent of a node; incarnation is that agent's. */
void binding_message(struct binding *binding, uint32_t node,
                     uint64_t incarnation, const struct message *message,
                     uint64_t now_ms);

/* Reports the result of ops.claim(). If ours is true, the claim holds and the
   binding sends the grant; if not, the request ends with the reason. */
void binding_claimed(struct binding *binding, bool ours, enum reason reason,
                     uint64_t now_ms);

/* Reports that the link to a node was lost or could not be established. */
void binding_link_down(struct binding *binding, uint32_t node,
                       uint64_t now_ms);
/* Reports that the agent sends nothing although it has work of this entry. */
void binding_link_silent(struct binding *binding, uint32_t node,
                         uint64_t now_ms);
/* Reports that the link is established; incarnation is the agent's. */
void binding_link_up(struct binding *binding, uint32_t node,
                     uint64_t incarnation, uint64_t now_ms);

/* Reports that the node takes no new work, by the platform's list. */
void binding_node_draining(struct binding *binding, uint32_t node,
                           uint64_t now_ms);

/* Ends the binding because the caller disconnected: withdraws or cancels
   everything, without a result. */
void binding_abandon(struct binding *binding);

/* Moves the time limit forward to that time, if it is later. */
void binding_end_by(struct binding *binding, uint64_t end_ms);

/* When binding_timeout() is to be called next, UINT64_MAX for never. */
uint64_t binding_next_ms(const struct binding *binding);
void binding_timeout(struct binding *binding, uint64_t now_ms);

bool binding_is_done(const struct binding *binding);
/* The current attempt, counted from 1; 0 before the start. binding_join()
   raises it to the other request's attempt if that is higher. */
uint32_t binding_attempt(const struct binding *binding);
/* The attempt that was granted; after binding_join() the other request's. */
uint32_t binding_bound_attempt(const struct binding *binding);
/* Whether the request is bound to a node. *node is set to the node that it was
   last bound to, 0 if it never was. */
bool binding_bound_node(const struct binding *binding, uint32_t *node);
/* Bytes of the response body received so far, for credits to the agent. */
uint64_t binding_received_bytes(const struct binding *binding);

#endif
